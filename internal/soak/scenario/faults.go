package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"hickoryrock/internal/soak/faultproxy"
	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/soak/traffic"
)

const (
	// deregisterDelay is the time from a target's crash until its entry is removed
	// from the store.
	deregisterDelay = 1500 * time.Millisecond
	// stepInterval is the pause between the actions of one event.
	stepInterval = 400 * time.Millisecond
	// rewriteTime is the longest time until everything has been written again that a store
	// lost which came back from an earlier state.
	rewriteTime = 1500 * time.Millisecond
)

// event is a fault or a planned change that affects the fleet for some time. Its
// own random source, which is seeded from the run's seed, selects the affected
// routers and targets.
type event struct {
	name string
	// planned events are not faults: invariants that assume no faults hold during them.
	planned bool
	// stops is set for planned stops of routers that do not reserve them.
	stops bool
	run   func(tb *testbed, rng *rand.Rand, duration time.Duration)
}

var events = []event{
	{name: "kill a router", run: func(tb *testbed, rng *rand.Rand, duration time.Duration) { tb.kill(tb.pickRouters(rng, 1), duration) }},
	{name: "kill all routers", run: func(tb *testbed, _ *rand.Rand, duration time.Duration) { tb.kill(tb.routers, duration/3) }},
	{name: "kill routers one after another", run: func(tb *testbed, rng *rand.Rand, _ time.Duration) {
		for _, r := range tb.pickRouters(rng, 3) {
			tb.kill([]*router{r}, stepInterval)
		}
	}},
	{name: "pause routers", run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		paused := tb.pickRouters(rng, 1+rng.IntN(2))
		for _, r := range paused {
			r.Signal(syscall.SIGSTOP)
		}
		time.Sleep(duration)
		for _, r := range paused {
			r.Signal(syscall.SIGCONT)
		}
	}},
	{name: "stop a router", planned: true, stops: true, run: func(tb *testbed, rng *rand.Rand, _ time.Duration) { tb.restartAll(tb.pickRouters(rng, 1)) }},
	{name: "stop routers in turn", planned: true, stops: true, run: func(tb *testbed, rng *rand.Rand, _ time.Duration) {
		tb.restartAll(tb.pickRouters(rng, 2))
	}},
	{name: "change settings", planned: true, run: func(tb *testbed, rng *rand.Rand, _ time.Duration) {
		for _, r := range tb.pickRouters(rng, 3) {
			_ = r.writeSettings() // If the disk is full, the router's next start fails.
			if rng.IntN(2) == 0 {
				r.Signal(syscall.SIGHUP)
			}
			time.Sleep(stepInterval)
		}
	}},
	{name: "change the configuration", planned: true, run: func(tb *testbed, _ *rand.Rand, _ time.Duration) { tb.writeConfiguration() }},
	{name: "change the configuration often", planned: true, run: func(tb *testbed, _ *rand.Rand, _ time.Duration) {
		for range 6 {
			tb.writeConfiguration()
			time.Sleep(stepInterval / 4)
		}
	}},
	{name: "replace a target", planned: true, run: func(tb *testbed, rng *rand.Rand, _ time.Duration) { tb.replaceTarget(rng) }},
	{name: "network fault between callers and routers", run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		tb.injectFault(rng, duration, tb.pickProxies(rng, func(r *router) *faultproxy.Proxy { return r.callerProxy }))
	}},
	{name: "network fault between routers and the store", run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		tb.injectFault(rng, duration, tb.pickProxies(rng, func(r *router) *faultproxy.Proxy { return r.storeProxy }))
	}},
	{name: "network fault between routers and a target", run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		if t := tb.pickTarget(rng); t != nil {
			defer t.BeginNetworkFault()()
			tb.injectFault(rng, duration, []*faultproxy.Proxy{t.Proxy})
		}
	}},
	targetFault("a target resets connections instead of responding", traffic.ResetAfterRun),
	targetFault("a target refuses calls", traffic.RefuseNotRun),
	targetFault("a target sends extra responses to other calls", traffic.ExtraResponse),
	targetFault("a target does not respond", traffic.Hang),
	targetFault("a target responds with 500", traffic.Respond500),
	{name: "crash a target", run: func(tb *testbed, rng *rand.Rand, _ time.Duration) {
		if t := tb.reserveTarget(rng); t != nil {
			t.crash()
			time.Sleep(deregisterDelay)
			tb.removeTarget(t.ID)
			tb.attempt(tb.addTarget)
		}
	}},
	{name: "restart a target under the same name", run: func(tb *testbed, rng *rand.Rand, _ time.Duration) {
		if t := tb.reserveTarget(rng); t != nil {
			t.crash()
			time.Sleep(stepInterval)
			tb.attempt(func() error { return tb.startTarget(t.ID, t.incarnation+1) })
		}
	}},
	{name: "the store is unavailable", run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		tb.store.Fail([]int{503, 429}[rng.IntN(2)])
		time.Sleep(duration)
		tb.store.Fail(0)
	}},
	{name: "watches receive no events and the history is compacted", run: func(tb *testbed, _ *rand.Rand, _ time.Duration) {
		tb.store.SuppressEvents(true)
		tb.writeConfiguration()
		time.Sleep(time.Second)
		tb.store.Compact()
		tb.store.SuppressEvents(false)
	}},
}

// storeReturns is the event of a store that comes back from a copy that lacks the changes of
// its duration. It is not in events, so that the schedules of recorded seeds stay.
var storeReturns = event{name: "the store comes back from an earlier state", run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
	tb.store.Save()
	time.Sleep(duration)
	tb.store.Fail(503)
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	tb.store.Restore()
	tb.store.Fail(0)
	time.Sleep(time.Duration(rng.IntN(int(rewriteTime))))
	tb.rewriteStore()
}}

// resetEarly is not in events, so that the schedules of recorded seeds stay.
var resetEarly = event{name: "targets respond to long bodies early and reset connections", run: func(tb *testbed, _ *rand.Rand, duration time.Duration) {
	tb.setResetsEarly(true)
	time.Sleep(duration)
	tb.setResetsEarly(false)
}}

// refuseAfterRun is not in events, so that the schedules of recorded seeds stay.
var refuseAfterRun = targetFault("a target refuses calls that it has run", traffic.RefuseAfterRun)

// plannedEvents returns the events that are planned changes.
func (tb *testbed) plannedEvents() []event {
	planned := slices.DeleteFunc(slices.Clone(events), func(e event) bool { return !e.planned })
	if tb.options.Evacuations {
		planned = append(planned, evacuateDomain)
	}
	if tb.options.ScarceTargets {
		planned = append(planned, turnCold)
	}
	if !tb.options.RealCallers {
		return planned
	}
	return append(slices.DeleteFunc(planned, func(e event) bool { return e.stops }), stopEvents...)
}

func targetFault(name string, fault traffic.Fault) event {
	return event{name: name, run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		if t := tb.pickTarget(rng); t != nil {
			t.SetFault(fault)
			time.Sleep(duration)
			t.SetFault(traffic.Healthy)
		}
	}}
}

// setResetsEarly applies to the targets that are running now.
func (tb *testbed) setResetsEarly(resets bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, t := range tb.targets {
		t.SetResetsEarly(resets)
	}
}

// attempt runs an action that fails only when the test machine is out of resources
// such as ports, and records its failure.
func (tb *testbed) attempt(action func() error) {
	if err := action(); err != nil {
		tb.recorder.RecordViolation(oracle.HarnessFailure, "%v", err)
	}
}

func (tb *testbed) pickRouters(rng *rand.Rand, n int) []*router {
	shuffled := slices.Clone(tb.routers)
	rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:n]
}

func (tb *testbed) kill(routers []*router, duration time.Duration) {
	for _, r := range routers {
		r.Stop(0)
	}
	time.Sleep(duration)
	for _, r := range routers {
		tb.attempt(r.Start)
	}
}

func (tb *testbed) restartAll(routers []*router) {
	for _, r := range routers {
		tb.attempt(r.restartGracefully)
		tb.waitReady(r)
	}
}

// waitReady waits until a started router is ready, for at most its grace period.
func (tb *testbed) waitReady(r *router) {
	for end := time.Now().Add(r.grace); time.Now().Before(end) && !r.isReady(); {
		time.Sleep(stepInterval / 4)
	}
}

// pickTarget returns a random target that is not reserved, or nil when at most
// half of targetCount are left.
func (tb *testbed) pickTarget(rng *rand.Rand) *target {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.pickUnreserved(rng)
}

// reserveTarget picks a target like pickTarget and reserves it for the caller, which
// will stop it.
func (tb *testbed) reserveTarget(rng *rand.Rand) *target {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	t := tb.pickUnreserved(rng)
	if t != nil {
		t.reserved = true
	}
	return t
}

func (tb *testbed) pickUnreserved(rng *rand.Rand) *target {
	ids := make([]string, 0, len(tb.targets))
	for id, t := range tb.targets {
		if !t.reserved {
			ids = append(ids, id)
		}
	}
	if tb.countUsable("") <= targetCount/2 {
		return nil
	}
	slices.Sort(ids)
	return tb.targets[ids[rng.IntN(len(ids))]]
}

// replaceTarget starts a new target, then drains and removes an old one.
func (tb *testbed) replaceTarget(rng *rand.Rand) {
	t := tb.reserveTarget(rng)
	if t == nil {
		return
	}
	tb.attempt(tb.addTarget)
	tb.registerTarget(t.ID, "draining")
	t.MarkDraining()
	time.Sleep(drainTime)
	tb.removeTarget(t.ID)
}

// pickProxies returns the proxies that proxyOf selects, for some random routers.
func (tb *testbed) pickProxies(rng *rand.Rand, proxyOf func(*router) *faultproxy.Proxy) []*faultproxy.Proxy {
	var proxies []*faultproxy.Proxy
	for _, r := range tb.pickRouters(rng, 1+rng.IntN(len(tb.routers))) {
		proxies = append(proxies, proxyOf(r))
	}
	return proxies
}

func (tb *testbed) injectFault(rng *rand.Rand, duration time.Duration, proxies []*faultproxy.Proxy) {
	fault := []faultproxy.Fault{
		faultproxy.Slow, faultproxy.Reset, faultproxy.StallBoth, faultproxy.StallResponses, faultproxy.StallRequests, faultproxy.StallExisting,
	}[rng.IntN(6)]
	for _, p := range proxies {
		p.Set(fault)
	}
	time.Sleep(duration)
	for _, p := range proxies {
		p.Set(faultproxy.Healthy)
	}
}

// step is an event with the pause before it, its duration and its random source.
type step struct {
	event    event
	pause    time.Duration
	duration time.Duration
	rng      *rand.Rand
}

// drawStep returns a random step with one of the candidate events.
func (tb *testbed) drawStep(candidates []event) step {
	return step{
		event: candidates[tb.rng.IntN(len(candidates))], pause: time.Duration(tb.rng.IntN(1500)) * time.Millisecond,
		duration: time.Duration(300+tb.rng.IntN(3000)) * time.Millisecond,
		rng:      rand.New(rand.NewPCG(tb.rng.Uint64(), 2)),
	}
}

// startStep starts a step in the background; wg is done when it has ended.
func (tb *testbed) startStep(s step, wg *sync.WaitGroup) {
	tb.logLine(fmt.Sprintf("%s, %v", s.event.name, s.duration))
	endFault := func() {}
	if !s.event.planned {
		endFault = tb.recorder.BeginFault()
	}
	wg.Go(func() {
		defer endFault()
		s.event.run(tb, s.rng, s.duration)
	})
}
