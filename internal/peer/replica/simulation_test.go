package replica

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

const (
	tickLength      = 100 * time.Millisecond
	convergenceTime = 5 * time.Second
)

type (
	// simulation is one test run: the simulated platform and routers, and the log
	// that serves as the oracle.
	simulation struct {
		t   *rapid.T
		now time.Time
		// writeLog holds every write to the platform; the write of version v is
		// writeLog[v-1].
		writeLog       []objects.Object
		current        map[objects.Key]objects.Object
		reachable      map[string]bool
		writtenStatus  status.Status
		routers        map[string]*simRouter
		inFlight       []message
		routersStarted uint64
		isolated       map[string]bool
		// listedVMs is the platform's VM list, which may lag behind.
		listedVMs map[string]bool
		// requireConfirm makes routers apply changes only some rounds after they
		// receive them.
		requireConfirm bool
		rounds         int
	}

	// simRouter is one router, with the state that its I/O loops would keep.
	simRouter struct {
		peer         Peer
		state        *State
		paused       bool
		readVersion  uint64
		watchVersion uint64
		pendingList  *objects.List
		listed       bool
		seen         map[objects.Key]uint64
		// applied is the configuration that the router serves callers with.
		applied configView
	}

	// configView is the set of live objects of a router and its complete version.
	configView struct {
		versions map[objects.Key]uint64
		complete uint64
	}

	// message is a request or a response in transit.
	message struct {
		from, to string
		deliver  func()
	}
)

func newSimulation(t *rapid.T) *simulation {
	return &simulation{t: t, now: time.Unix(1_800_000_000, 0), current: map[objects.Key]objects.Object{},
		reachable: map[string]bool{}, routers: map[string]*simRouter{}, isolated: map[string]bool{},
		listedVMs: map[string]bool{}}
}

// write stores the next version of an object and returns it.
func (sim *simulation) write(k objects.Key, data json.RawMessage, deleted bool) uint64 {
	o := objects.Object{Key: k, Version: uint64(len(sim.writeLog)) + 1, Data: data, Deleted: deleted}
	sim.writeLog = append(sim.writeLog, o)
	sim.current[k] = o
	if deleted {
		delete(sim.current, k)
	}
	return o.Version
}

// listConfiguration returns the platform's objects of the kinds that routers
// replicate.
func (sim *simulation) listConfiguration() []objects.Object {
	var all []objects.Object
	for _, o := range sim.current {
		if slices.Contains(Kinds(), o.Kind) {
			all = append(all, o)
		}
	}
	return all
}

// startRouter starts a router with an empty configuration. The name may have been
// used before.
func (sim *simulation) startRouter(name, domain string) {
	sim.routersStarted++
	p := Peer{Name: name, FailureDomain: domain}
	st := NewState(p, sim.routersStarted, DefaultTiming(), sim.now)
	st.requireConfirm = sim.requireConfirm
	sim.routers[name] = &simRouter{peer: p, state: st, seen: map[objects.Key]uint64{}}
	sim.reachable[name] = true
	sim.listedVMs[name] = true
	st.SetPeers(sim.peersOf(name))
}

func (sim *simulation) peersOf(name string) []Peer {
	var peers []Peer
	for _, n := range slices.Sorted(maps.Keys(sim.routers)) {
		if n != name {
			peers = append(peers, sim.routers[n].peer)
		}
	}
	return peers
}

// step lets one router do all work that is due.
func (sim *simulation) step(r *simRouter) {
	if r.paused {
		return
	}
	if sim.reachable[r.peer.Name] {
		sim.stepPlatform(r)
	}
	if sim.rounds%3 == 0 {
		r.applied = r.state.configView()
		r.state.Confirm(r.applied.complete, r.state.changeSequence)
	}
	sim.send(r, r.state.Tick(sim.now))
}

// configView returns the objects that the state currently holds.
func (s *State) configView() configView {
	v := configView{versions: map[objects.Key]uint64{}, complete: s.config.CompleteVersion()}
	for k, e := range s.config.entries {
		if !e.newest.Deleted {
			v.versions[k] = e.newest.Version
		}
	}
	return v
}

// stepPlatform performs one router's next calls to the platform.
func (sim *simulation) stepPlatform(r *simRouter) {
	st := r.state
	own := registrationKey(r.peer.Name)
	if st.registrationVersion == 0 {
		r.listed, r.pendingList = false, nil
		data, _ := json.Marshal(status.Registration{Incarnation: st.incarnation, FailureDomain: r.peer.FailureDomain})
		st.SetRegistrationVersion(sim.write(own, data, false))
		return
	}
	shouldWatch := st.ShouldWatch(sim.now)
	if r.pendingList != nil {
		st.HandleList(sim.now, r.pendingList.Objects, r.pendingList.Version)
		r.listed = true
		r.readVersion, r.watchVersion, r.pendingList = r.pendingList.Version, r.pendingList.Version, nil
		return
	}
	if !r.listed || shouldWatch && r.readVersion == 0 {
		r.pendingList = &objects.List{Objects: sim.listConfiguration(), Version: uint64(len(sim.writeLog))}
		return
	}
	if !shouldWatch {
		r.readVersion = 0
		return
	}
	for n := 0; r.readVersion < uint64(len(sim.writeLog)) && n < 3; n++ {
		o := sim.writeLog[r.readVersion]
		if slices.Contains(Kinds(), o.Kind) {
			st.HandleWatchEvent(sim.now, r.watchVersion, objects.Event{Object: o})
			r.watchVersion = o.Version
		}
		r.readVersion = o.Version
	}
	st.HandleWatchEvent(sim.now, r.watchVersion, objects.Event{Bookmark: true})
	sim.writeStatus(r)
}

// writeStatus does the work of a status writer, whatever its rank.
func (sim *simulation) writeStatus(r *simRouter) {
	if r.state.WriterRank() < 0 {
		return
	}
	var vms []objects.VM
	for name := range sim.listedVMs {
		vms = append(vms, objects.VM{Name: name, State: objects.VMLive})
	}
	for _, o := range r.state.RemovableRegistrations(sim.now, vms) {
		if sim.current[o.Key].Version == o.Version {
			sim.write(o.Key, nil, true)
		}
	}
	merged := sim.writtenStatus.Merge(r.state.Status())
	if merged.EqualContent(sim.writtenStatus) {
		return
	}
	if merged.InForce < sim.writtenStatus.InForce {
		sim.t.Fatalf("%s lowered the in-force version below %d", r.peer.Name, sim.writtenStatus.InForce)
	}
	sim.write(status.Key(), nil, false)
	sim.writtenStatus = merged
}

// send puts requests on the network, and their responses once the requests are
// delivered.
func (sim *simulation) send(r *simRouter, reqs []Request) {
	for _, m := range reqs {
		sim.inFlight = append(sim.inFlight, message{from: r.peer.Name, to: m.To.Name, deliver: func() { sim.receive(r, m) }})
	}
}

func (sim *simulation) respond(from, to *simRouter, fn func()) {
	sim.inFlight = append(sim.inFlight, message{from: from.peer.Name, to: to.peer.Name, deliver: func() {
		if sim.routers[to.peer.Name] == to {
			fn()
		}
	}})
}

func (sim *simulation) receive(r *simRouter, m Request) {
	to := sim.routers[m.To.Name]
	if to == nil {
		return
	}
	switch {
	case m.Pull != nil:
		resp := to.state.HandlePull(m.Pull)
		sim.respond(to, r, func() { r.state.HandlePullResponse(sim.now, to.peer, m.Pull.GetAfterVersion(), resp) })
	case m.Push != nil:
		_, _, more := to.state.HandlePush(sim.now, m.Push)
		sim.send(to, more)
	case m.Acknowledge != nil:
		resp, more := to.state.HandleAcknowledge(sim.now, m.Acknowledge)
		sim.send(to, more)
		sim.respond(to, r, func() { sim.send(r, r.state.HandleAcknowledgeResponse(sim.now, to.peer, m.Acknowledge, resp)) })
	}
}

// deliver delivers one message. It drops the message if the network is partitioned
// between its ends, and keeps it if the receiver is paused.
func (sim *simulation) deliver(i int) {
	m := sim.inFlight[i]
	to := sim.routers[m.to]
	if to != nil && to.paused {
		return
	}
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	if to == nil || sim.isolated[m.from] != sim.isolated[m.to] {
		return
	}
	m.deliver()
}

// runRound steps every router and delivers all messages then in transit.
func (sim *simulation) runRound() {
	sim.now = sim.now.Add(tickLength)
	sim.rounds++
	for _, name := range slices.Sorted(maps.Keys(sim.routers)) {
		sim.step(sim.routers[name])
	}
	for n := len(sim.inFlight); n > 0; n-- {
		sim.deliver(0)
	}
}

// checkAll compares every router with the oracle.
func (sim *simulation) checkAll() {
	for _, name := range slices.Sorted(maps.Keys(sim.routers)) {
		r := sim.routers[name]
		for k, e := range r.state.config.entries {
			if e.newest.Version < r.seen[k] {
				sim.t.Fatalf("%s went back from version %d to %d of %v", name, r.seen[k], e.newest.Version, k)
			}
			r.seen[k] = e.newest.Version
		}
		if r.state.Serving(sim.now) {
			sim.checkServing(name, r)
		}
	}
}

// checkServing checks that a serving router has every change that was reported in
// force.
func (sim *simulation) checkServing(name string, r *simRouter) {
	applied := r.state.configView()
	if sim.requireConfirm {
		applied = r.applied
	}
	for k, version := range sim.versionsAt(sim.writtenStatus.InForce) {
		held, live := applied.versions[k]
		if held >= version || !live && sim.deletedSince(k, version, max(r.state.config.CompleteVersion(), r.state.config.Version(k))) {
			continue
		}
		sim.t.Fatalf("%s serves with version %d of %v, but in-force version %d includes version %d", name, held, k, sim.writtenStatus.InForce, version)
	}
}

// deletedSince reports whether an object was deleted in the given range of versions,
// both ends included.
func (sim *simulation) deletedSince(k objects.Key, version, complete uint64) bool {
	if complete < version {
		return false
	}
	return slices.ContainsFunc(sim.writeLog[version-1:complete], func(o objects.Object) bool { return o.Key == k && o.Deleted })
}

// versionsAt returns the newest version of each resource as of a version.
func (sim *simulation) versionsAt(version uint64) map[objects.Key]uint64 {
	found := map[objects.Key]uint64{}
	for _, o := range sim.writeLog[:version] {
		if slices.Contains(resource.Kinds(), o.Kind) {
			found[o.Key] = o.Version
		}
	}
	return found
}

// checkEqual checks that every router holds the same objects of some kinds as the
// platform, and serves.
func (sim *simulation) checkEqual(kinds []string) {
	want := map[objects.Key]uint64{}
	for k, o := range sim.current {
		if slices.Contains(kinds, k.Kind) {
			want[k] = o.Version
		}
	}
	for name, r := range sim.routers {
		got := map[objects.Key]uint64{}
		for k, e := range r.state.config.entries {
			if !e.newest.Deleted && slices.Contains(kinds, k.Kind) {
				got[k] = e.newest.Version
			}
		}
		if !maps.Equal(got, want) {
			sim.t.Fatalf("%s holds %v, want the platform's %v", name, got, want)
		}
		if !r.state.Serving(sim.now) {
			sim.t.Fatalf("%s does not serve", name)
		}
	}
}

// clearFaults ends all faults.
func (sim *simulation) clearFaults() {
	clear(sim.isolated)
	sim.listedVMs = map[string]bool{}
	for name, r := range sim.routers {
		r.paused = false
		sim.reachable[name] = true
		sim.listedVMs[name] = true
		r.state.SetPeers(sim.peersOf(name))
	}
}

func serviceData(name string, valid bool) json.RawMessage {
	if !valid {
		return json.RawMessage(fmt.Sprintf(`{"name":%q,"protocol":"none"}`, name))
	}
	return json.RawMessage(fmt.Sprintf(`{"name":%q,"protocol":"chat","model":"m"}`, name))
}
