package targetbackoff

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTracker(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	t.Run("a target is waited for until the end", func(t *testing.T) {
		c := qt.New(t)
		tracker := NewTracker()
		c.Assert(tracker.Remaining(1, at(0)), qt.Equals, time.Duration(0))
		tracker.Observe(1, 2*time.Second, at(0))
		c.Assert(tracker.Remaining(1, at(0)), qt.Equals, 2*time.Second)
		c.Assert(tracker.Remaining(1, at(1.5)), qt.Equals, 500*time.Millisecond)
		c.Assert(tracker.Remaining(1, at(2)), qt.Equals, time.Duration(0))
		c.Assert(tracker.Remaining(2, at(0)), qt.Equals, time.Duration(0))
		c.Assert(tracker.Waits(at(1.5)), qt.DeepEquals, map[uint64]time.Duration{1: 500 * time.Millisecond})
		c.Assert(tracker.Waits(at(2)), qt.HasLen, 0)
	})
	t.Run("a shorter wait does not end a longer one", func(t *testing.T) {
		c := qt.New(t)
		tracker := NewTracker()
		tracker.Observe(1, 5*time.Second, at(0))
		tracker.Observe(1, time.Second, at(1))
		tracker.Observe(1, 0, at(1))
		tracker.Observe(1, -time.Hour, at(1))
		c.Assert(tracker.Remaining(1, at(1)), qt.Equals, 4*time.Second)
		tracker.Observe(1, 5*time.Second, at(2))
		c.Assert(tracker.Remaining(1, at(2)), qt.Equals, 5*time.Second)
	})
	t.Run("a wait is bounded", func(t *testing.T) {
		c := qt.New(t)
		tracker := NewTracker()
		tracker.Observe(1, 1<<62, at(0))
		c.Assert(tracker.Remaining(1, at(0)), qt.Equals, maxWait)
	})
	t.Run("each wait is reported once", func(t *testing.T) {
		c := qt.New(t)
		var waits []time.Duration
		tracker := NewTracker(WithOnWait(func(target uint64, wait time.Duration) {
			c.Check(target, qt.Equals, uint64(1))
			waits = append(waits, wait)
		}))
		tracker.Observe(1, time.Second, at(0))
		tracker.Observe(1, time.Second, at(0.5))
		tracker.Observe(1, 3*time.Second, at(2))
		c.Assert(waits, qt.DeepEquals, []time.Duration{time.Second, 3 * time.Second})
	})
	t.Run("the number of targets is bounded", func(t *testing.T) {
		c := qt.New(t)
		tracker := NewTracker()
		for target := range uint64(2 * maxTargets) {
			tracker.Observe(target, time.Minute+rand.N(time.Minute), at(0))
			c.Assert(len(tracker.until) <= maxTargets, qt.IsTrue)
		}
		tracker.Observe(1<<40, time.Minute, at(200))
		c.Assert(tracker.until, qt.HasLen, 1)
	})
}
