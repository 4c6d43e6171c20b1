#!/usr/bin/env bash
# Runs the property-based tests with random seeds, and the native fuzz tests, for
# the given number of seconds (default 600). Prints the seed of a failed
# property-based test, with which the failure can be reproduced.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-600}
end=$((SECONDS + seconds))
mapfile -t rapid_packages < <(git grep -l 'pgregory.net/rapid' -- '*_test.go' | xargs -n1 dirname | sort -u)
mapfile -t fuzz_packages < <(git grep -l 'func Fuzz.*testing.F' -- '*_test.go' | xargs -r -n1 dirname | sort -u)
rounds=0

while [ "$SECONDS" -lt "$end" ]; do
  seed=$((RANDOM * 32768 + RANDOM + 1))
  for package in "${rapid_packages[@]}"; do
    if [ "$SECONDS" -ge "$end" ]; then
      break
    fi
    echo "seed $seed: $package"
    if ! go test "./$package" -count=1 -timeout 600s -rapid.seed="$seed" -rapid.checks=1000 >/tmp/fuzz.$$ 2>&1; then
      cat /tmp/fuzz.$$
      echo "FAILED: go test ./$package -rapid.seed=$seed -rapid.checks=1000"
      exit 1
    fi
  done
  for package in "${fuzz_packages[@]}"; do
    for name in $(grep -ho 'func Fuzz[A-Za-z]*' "$package"/*_test.go | awk '{print $2}' | sort -u); do
      if grep -q "func $name(f \*testing.F)" "$package"/*_test.go; then
        go test "./$package" -run '^$' -fuzz "^$name\$" -fuzztime 10s >/tmp/fuzz.$$ 2>&1 || { cat /tmp/fuzz.$$; exit 1; }
      fi
    done
  done
  rounds=$((rounds + 1))
done
rm -f /tmp/fuzz.$$
echo "$rounds rounds completed in ${SECONDS}s, no failures"
