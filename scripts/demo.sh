#!/usr/bin/env bash
# Starts a small fleet on loopback, runs the chats and bookings of two workspaces
# against it, kills a router and an engine meanwhile, prints the results and
# reports, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."

workdir=$(mktemp -d)
declare -A pids=()
export HICKORYROCK_PLATFORM=http://127.0.0.1:7000

# The demo takes less than a minute. If it takes longer, something hangs, so abort it.
sleep 60 && kill $$ &
watchdog=$!

cleanup() {
  kill "$watchdog" 2>/dev/null || true
  # No calls need to be completed, so kill the processes without draining them.
  for pid in "${pids[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$workdir"
}
trap cleanup EXIT

# start NAME COMMAND... runs a process in the background and logs its output to a file.
start() {
  local name=$1
  shift
  "$@" >"$workdir/$name.log" 2>&1 &
  pids[$name]=$!
}

# crash NAME kills a process, to simulate the loss of its VM.
crash() {
  kill -9 "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
  echo "killed $1"
}

# router_config N prints the configuration of router N.
router_config() {
  cat <<YAML
name: router-$1
failure-domain: jylland-$1
listen:
  callers: 127.0.0.1:810$1
  peers: 127.0.0.1:820$1
  admin: 127.0.0.1:830$1
platform:
  addresses: [$HICKORYROCK_PLATFORM]
callers:
  keep-address: 2s
log:
  level: warn
YAML
}

# wait_for_port PORT waits up to five seconds until a port accepts connections.
wait_for_port() {
  for _ in $(seq 50); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then
      return
    fi
    sleep 0.1
  done
  echo "no process listens on port $1"
  exit 1
}

start platform bin/standin platform -listen 127.0.0.1:7000
wait_for_port 7000
for n in 1 2 3 4; do
  start "engine-$n" bin/standin engine -models care -token-time 20ms -name "engine-$n" -listen "127.0.0.1:910$n"
done
for n in 1 2 3; do
  start "pattern-engine-$n" bin/standin engine -models pattern -token-time 20ms -name "pattern-engine-$n" -listen "127.0.0.1:911$n"
done
for n in 1 2; do
  start "order-$n" bin/standin order -name "order-$n" -listen "127.0.0.1:920$n"
  start "kit-order-$n" bin/standin order -name "kit-order-$n" -listen "127.0.0.1:921$n"
done
for n in 1 2 3 4; do
  bin/standin vm -name "router-$n" -domain "jylland-$n" -peer "127.0.0.1:820$n" -caller "127.0.0.1:810$n"
  router_config "$n" >"$workdir/router-$n.yaml"
  bin/hickoryrock check-config -config "$workdir/router-$n.yaml" >/dev/null
  start "router-$n" bin/hickoryrock router -config "$workdir/router-$n.yaml"
done

echo '== resources'
bin/hickoryrock apply -f examples/kjaergaard.yaml
bin/hickoryrock apply -f examples/nusantara.yaml
bin/hickoryrock wait -timeout 20s
bin/hickoryrock nodes

routers=127.0.0.1:8101,127.0.0.1:8102,127.0.0.1:8103,127.0.0.1:8104
echo '== one chat and one booking'
HICKORYROCK_ROUTERS=$routers HICKORYROCK_TOKEN=kjaergaard-demo \
  bin/hickoryrock ask -model care "how do I reproof an oilskin?"
HICKORYROCK_ROUTERS=$routers HICKORYROCK_TOKEN=kjaergaard-demo \
  bin/hickoryrock book -service bookings -method book-batch -body '{"coats":12}'

echo '== load from both workspaces, with a router and an engine killed'
bin/standin caller -routers "$routers" -token kjaergaard-demo -model care -chats 40 -turns 5 -pause 500ms \
  -service bookings -method book-batch -bookings 60 \
  -orders 127.0.0.1:9201,127.0.0.1:9202 \
  -engines 127.0.0.1:9101,127.0.0.1:9102,127.0.0.1:9103,127.0.0.1:9104 \
  >"$workdir/kjaergaard.json" &
kjaergaard_pid=$!
bin/standin caller -routers "$routers" -token nusantara-demo -model pattern -chats 40 -turns 5 -pause 500ms \
  -service orders -method place-order -bookings 60 \
  -orders 127.0.0.1:9211,127.0.0.1:9212 \
  -engines 127.0.0.1:9111,127.0.0.1:9112,127.0.0.1:9113 \
  >"$workdir/nusantara.json" &
nusantara_pid=$!
sleep 3
crash router-2
sleep 1
crash engine-3

failed=0
wait "$kjaergaard_pid" || failed=1
wait "$nusantara_pid" || failed=1
echo "Kjaergaard: $(cat "$workdir/kjaergaard.json")"
echo "Nusantara:  $(cat "$workdir/nusantara.json")"

echo '== daily reports'
sleep 12
bin/hickoryrock report -workspace kjaergaard
bin/hickoryrock report -workspace nusantara
if [ "$failed" -ne 0 ]; then
  echo 'demo FAILED'
  tail -n 5 "$workdir"/*.log
  exit 1
fi
echo 'all responses complete, no duplicates'
