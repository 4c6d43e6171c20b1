package scenario

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"hickoryrock/internal/soak/oracle"
)

const (
	// minRunning is the number of routers that planned stops leave running.
	minRunning = 2
	// maxSeries is the largest number of routers that one event stops in series.
	maxSeries = 3
	// maxSignalDelay bounds the time from SIGTERM to the signals after it.
	maxSignalDelay = 2 * time.Second
	// maxStartTime bounds the time from a start to the SIGTERM that comes during it.
	maxStartTime = 300 * time.Millisecond
	// maxSeriesPause bounds the time between the SIGTERMs of a series.
	maxSeriesPause = 2500 * time.Millisecond
	// minFreeze and maxFreeze bound how long a draining router is paused.
	minFreeze = 100 * time.Millisecond
	maxFreeze = 600 * time.Millisecond
)

// stopVariant is how one router is stopped and started again.
type stopVariant struct {
	// hupBefore sends SIGHUP with new settings just before SIGTERM.
	hupBefore bool
	// hupAfter and termAgain are the times after SIGTERM at which SIGHUP and a second
	// SIGTERM are sent, or 0; freezeAfter is when the router is paused for freezeFor.
	hupAfter, termAgain, freezeAfter, freezeFor time.Duration
	// duringStart stops the router once more, so long after it has been started again, or 0.
	duringStart time.Duration
	// away is the time until the router is started again.
	away time.Duration
}

// stopEvents are the planned stops that replace those of events when callers are real.
var stopEvents = []event{
	{name: "stop routers in series", planned: true, run: func(tb *testbed, rng *rand.Rand, _ time.Duration) { tb.stopSeries(rng, 2+rng.IntN(maxSeries-1)) }},
	{name: "stop a router with more signals", planned: true, run: func(tb *testbed, rng *rand.Rand, _ time.Duration) { tb.stopSeries(rng, 1) }},
	{name: "stop routers beside a new configuration and target", planned: true, run: func(tb *testbed, rng *rand.Rand, _ time.Duration) {
		seriesRNG := rand.New(rand.NewPCG(rng.Uint64(), 3)) // Other than that of the target.
		var wg sync.WaitGroup
		wg.Go(func() { tb.stopSeries(seriesRNG, 2) })
		tb.writeConfiguration()
		tb.replaceTarget(rng)
		tb.writeConfiguration()
		wg.Wait()
	}},
	{name: "starve processors beside a stop", planned: true, run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		var wg sync.WaitGroup
		wg.Go(func() { tb.starve(duration + 2*time.Second) })
		tb.stopSeries(rng, 1)
		wg.Wait()
	}},
}

// pauseDraining is the fault of a router that is paused for a short time during its drain.
var pauseDraining = event{name: "pause a draining router", run: func(tb *testbed, rng *rand.Rand, _ time.Duration) {
	for _, r := range tb.reserveRouters(rng, 1) {
		v := drawStopVariant(rng, r.grace)
		v.freezeAfter = time.Duration(rng.Int64N(int64(r.grace)))
		v.freezeFor = minFreeze + time.Duration(rng.Int64N(int64(maxFreeze-minFreeze)))
		tb.stopAndStart(r, v)
		tb.releaseRouter(r)
	}
}}

func drawStopVariant(rng *rand.Rand, grace time.Duration) stopVariant {
	sometimes := func(odds int, limit time.Duration) time.Duration {
		delay := 1 + time.Duration(rng.Int64N(int64(limit)))
		if rng.IntN(odds) > 0 {
			return 0
		}
		return delay
	}
	return stopVariant{
		hupBefore: rng.IntN(4) == 0, hupAfter: sometimes(4, maxSignalDelay), termAgain: sometimes(4, maxSignalDelay),
		duringStart: sometimes(5, maxStartTime), away: sometimes(2, grace/4),
	}
}

// stopSeries stops up to n routers, the next before the one before has exited, and starts
// each again.
func (tb *testbed) stopSeries(rng *rand.Rand, n int) {
	var wg sync.WaitGroup
	for _, r := range tb.reserveRouters(rng, n) {
		v := drawStopVariant(rng, r.grace)
		wg.Go(func() {
			defer tb.releaseRouter(r)
			tb.stopAndStart(r, v)
		})
		time.Sleep(time.Duration(rng.Int64N(int64(maxSeriesPause))))
	}
	wg.Wait()
}

// reserveRouters reserves up to n random routers and leaves minRunning unreserved.
func (tb *testbed) reserveRouters(rng *rand.Rand, n int) []*router {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var free []*router
	for _, r := range tb.pickRouters(rng, len(tb.routers)) {
		if !r.reserved {
			free = append(free, r)
		}
	}
	free = free[:max(0, min(n, len(free)-minRunning))]
	for _, r := range free {
		r.reserved = true
	}
	return free
}

func (tb *testbed) releaseRouter(r *router) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	r.reserved = false
}

// stopAndStart stops a router as a planned stop, with the signals of a variant, starts it
// again and waits until it is ready.
func (tb *testbed) stopAndStart(r *router, v stopVariant) {
	if v.hupBefore {
		tb.reload(r)
	}
	exited := make(chan struct{})
	var signals sync.WaitGroup
	after := func(delay time.Duration, send func()) {
		if delay > 0 {
			signals.Go(func() {
				select {
				case <-exited:
				case <-time.After(delay):
					send()
				}
			})
		}
	}
	after(v.hupAfter, func() { tb.reload(r) })
	after(v.termAgain, func() { r.Signal(syscall.SIGTERM) })
	after(v.freezeAfter, func() {
		r.Signal(syscall.SIGSTOP)
		time.Sleep(v.freezeFor)
		r.Signal(syscall.SIGCONT)
	})
	r.stopPlanned()
	close(exited)
	signals.Wait()
	time.Sleep(v.away)
	tb.attempt(r.Start)
	if v.duringStart > 0 {
		time.Sleep(v.duringStart)
		r.stopPlanned()
		tb.attempt(r.Start)
	}
	tb.waitReady(r)
}

// reload writes new settings and sends SIGHUP.
func (tb *testbed) reload(r *router) {
	tb.attempt(r.writeSettings)
	r.Signal(syscall.SIGHUP)
}

// stopPlanned stops the router with SIGTERM and, after its grace period, SIGKILL.
func (r *router) stopPlanned() {
	r.logLine("SIGTERM to " + r.name)
	r.mu.Lock()
	i := len(r.stops)
	r.stops = append(r.stops, oracle.Stop{Start: time.Now(), Grace: r.grace})
	r.mu.Unlock()
	r.Stop(r.grace)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops[i].Exited = time.Now()
	r.logLine(fmt.Sprintf("%s exited %.3f s after SIGTERM", r.name, time.Since(r.stops[i].Start).Seconds()))
}

// restartGracefully stops the router as a planned stop and starts it again.
func (r *router) restartGracefully() error {
	r.stopPlanned()
	return r.Start()
}

// Stopping implements traffic.Fleet.
func (tb *testbed) Stopping(address string) bool {
	r := tb.routerAt(address)
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.stops) > 0 && time.Since(r.stops[len(r.stops)-1].Start) < r.grace+time.Second
}

// PlannedStop implements traffic.Fleet.
func (tb *testbed) PlannedStop(address string, at time.Time) (oracle.Stop, bool) {
	r := tb.routerAt(address)
	if r == nil {
		return oracle.Stop{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.stops {
		if s.Exited.IsZero() || s.Exited.After(at) {
			return s, true
		}
	}
	return oracle.Stop{}, false
}
