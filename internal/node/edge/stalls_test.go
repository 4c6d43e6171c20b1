package edge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a planned stop that reckons from when the router, which waited for a processor,
// learned of it, so that the process is killed before it has ended its calls.
func TestStopThatTheRouterLearnsOfLateEndsInTime(t *testing.T) {
	const grace = 8 * time.Second
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name       string
		stall      time.Duration
		afterStall time.Duration
		seen       bool
		late       time.Duration
	}{
		{"no stall", 0, 20 * time.Millisecond, false, 0},
		{"during a stall that is not noticed yet", 600 * time.Millisecond, 0, false, 600 * time.Millisecond},
		{"at the end of a stall", 600 * time.Millisecond, 30 * time.Millisecond, true, 630 * time.Millisecond},
		{"well after a stall", 600 * time.Millisecond, 300 * time.Millisecond, true, 0},
		{"after a long pause", time.Minute, 0, false, grace/6 - drainMargin},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStalls(start)
			now := start.Add(tc.stall)
			if tc.seen {
				s.observe(now)
			}
			for end := now.Add(tc.afterStall); now.Before(end); {
				now = now.Add(min(end.Sub(now), stallCheckInterval))
				if tc.seen && now.Before(end) {
					s.observe(now)
				}
			}
			planned := planStop(s.earliest(now), now, grace)
			c.Assert(now.Sub(planned.Since), qt.Equals, tc.late)
			c.Assert(planned.End.Sub(planned.Since), qt.Equals, grace-drainMargin)
			c.Assert(planned.HeldUntil.Sub(planned.Since), qt.Equals, minDrainTime)
			// Calls in progress that are cut were in progress in the last sixth of the period.
			c.Assert(planned.End.Sub(now) >= grace*5/6, qt.IsTrue)
		})
	}
}

func TestStalls(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newStalls(now)
	c.Assert(s.observe(now.Add(stallCheckInterval)), qt.Equals, time.Duration(0))
	c.Assert(s.observe(now.Add(stallCheckInterval+500*time.Millisecond)), qt.Equals, 500*time.Millisecond-stallCheckInterval)
}
