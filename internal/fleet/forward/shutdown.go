package forward

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/ingress"
)

const (
	// reasonStopping is the reason of calls that a stopping router refuses, reasonStopped of
	// those that it ends.
	reasonStopping = "router-stopping"
	reasonStopped  = "router-stopped"

	// shutdownSlack is left of a planned stop after the last call that a router takes: one that
	// waits for a processor learns of the stop late, and responds late.
	shutdownSlack = 400 * time.Millisecond
	// recentCalls is the number of a route's last calls from which the time of the next one is
	// estimated, and minRecentCalls the number below which there is no estimate.
	recentCalls    = 64
	minRecentCalls = 16
	// expectedQuantile is the share of a route's calls that take at most the estimated time.
	expectedQuantile = 0.95
)

type (
	// Shutdown is the planned stop of a router.
	Shutdown struct {
		// Since is when the router was told to stop, End when it ends the calls that are still in
		// progress.
		Since, End time.Time
		// HeldUntil is when callers have learned that they should use other routers.
		HeldUntil time.Time
	}

	// callTimes holds how long the last calls of each route took. It is safe for concurrent use.
	callTimes struct {
		mu     sync.Mutex
		routes map[string]*recentTimes
	}

	recentTimes struct {
		times [recentCalls]time.Duration
		// count is the number of calls so far, of which the last recentCalls are kept.
		count int
	}
)

// add records how long a call took.
func (t *callTimes) add(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil || len(t.routes) > maxUsualRoutes {
		t.routes = make(map[string]*recentTimes)
	}
	r := t.routes[route]
	if r == nil {
		r = new(recentTimes)
		t.routes[route] = r
	}
	r.times[r.count%recentCalls] = took
	r.count++
}

// expected returns the time in which nearly all calls of a route end, or zero until it is known.
func (t *callTimes) expected(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil || r.count < minRecentCalls {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.times[:min(r.count, recentCalls)]))
	return sorted[int(math.Ceil(expectedQuantile*float64(len(sorted))))-1]
}

// Admits reports whether a stopping router should take a call at a time: one that surely ends
// in time, by its timeout, or, while callers may not know other routers, one that is expected
// to. An expected time of zero is unknown. A call that is refused can be made elsewhere, one
// that is cut may be lost.
func (s Shutdown) Admits(now time.Time, timeout, expected time.Duration) bool {
	if !now.Before(s.HeldUntil) {
		expected = 0
	}
	return s.endsInTime(now, timeout, expected)
}

// endsInTime reports whether a call ends before the router's calls are cut, surely or as
// expected. An expected time of zero is unknown.
func (s Shutdown) endsInTime(now time.Time, timeout, expected time.Duration) bool {
	left := s.End.Sub(now) - shutdownSlack
	return timeout <= left || (expected > 0 && expected <= left)
}

func (c *call) shutdown() *Shutdown {
	if c.h.Shutdown == nil {
		return nil
	}
	return c.h.Shutdown()
}

// refuseIfStopping refuses a call that may last longer than the router, and reports whether it
// did.
func (c *call) refuseIfStopping(timeout time.Duration) bool {
	s := c.shutdown()
	if s == nil {
		return false
	}
	c.expected = c.h.callTimes.expected(c.route.Name)
	if s.Admits(c.start, timeout, c.expected) {
		return false
	}
	c.rejectStopping()
	return true
}

// refuseIfLate is refuseIfStopping for a call that was taken, perhaps before the stop began, but
// has been executed by no target yet. The others go on.
func (c *call) refuseIfLate() bool {
	if !c.isLate() {
		return false
	}
	c.rejectStopping()
	return true
}

// isLate reports whether a call that has been executed by no target yet may last longer than the
// router.
func (c *call) isLate() bool {
	s := c.shutdown()
	if s == nil || c.progress.PossibleExecutions > 0 {
		return false
	}
	c.expected = c.h.callTimes.expected(c.route.Name)
	now := time.Now()
	return !s.endsInTime(now, c.deadline.Sub(now), c.expected)
}

// rejectStopping responds to a call that a stopping router refuses. The caller is asked to return
// at once if other routers serve, and otherwise after a pause.
func (c *call) rejectStopping() {
	if c.h.OthersServe() {
		c.rejectWith(reasonStopping, ingress.RetryNowField())
		return
	}
	c.reject(reasonStopping)
}

// logShutdown adds to a call's log line when it arrived and ended in a planned stop.
func (c *call) logShutdown(line *zerolog.Event, now time.Time) *zerolog.Event {
	s := c.shutdown()
	if s == nil {
		return line
	}
	return line.Int64("arrived-in-drain-ms", c.start.Sub(s.Since).Milliseconds()).
		Int64("drain-left-ms", s.End.Sub(now).Milliseconds()).Dur("expected-ms", c.expected)
}

// recordTime records how long a call took that got a response or reached its deadline.
func (c *call) recordTime(took time.Duration) {
	if c.route != nil && c.progress.PossibleExecutions > 0 && (c.isDone() || c.reason == reasonTimeout) {
		c.h.callTimes.add(c.route.Name, took)
	}
}
