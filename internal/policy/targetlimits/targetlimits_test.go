package targetlimits_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetlimits"
)

const target uint64 = 7

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func named(perSecond float64) targetlimits.Limit {
	return targetlimits.Limit{Named: true, PerSecond: perSecond}
}

func alone() (uint64, []uint64) { return 1, nil }

// sendAll sends a call whenever it is allowed, for a time, and returns the number of calls.
func sendAll(tr *targetlimits.Tracker, from, until time.Duration) int {
	n := 0
	for at := from; at < until; at += 10 * time.Millisecond {
		if tr.Allows(target, after(at)) {
			tr.Take(target, after(at))
			n++
		}
	}
	return n
}

func assertBetween(c *qt.C, got, least, most int) {
	c.Helper()
	c.Assert(got >= least && got <= most, qt.IsTrue, qt.Commentf("%d, want %d to %d", got, least, most))
}

func TestOneRouter(t *testing.T) {
	t.Run("keeps to a limit and uses it", func(t *testing.T) {
		tr := targetlimits.NewTracker(alone)
		tr.Observe(target, named(3), start)
		assertBetween(qt.New(t), sendAll(tr, 0, 10*time.Second), 29, 31)
	})
	t.Run("a target that has named none is not limited", func(t *testing.T) {
		tr := targetlimits.NewTracker(alone)
		tr.Observe(target, targetlimits.Limit{}, start)
		qt.Assert(t, sendAll(tr, 0, time.Second), qt.Equals, 100)
	})
	t.Run("follows a limit that changes and is taken back", func(t *testing.T) {
		c := qt.New(t)
		tr := targetlimits.NewTracker(alone)
		tr.Observe(target, named(10), start)
		assertBetween(c, sendAll(tr, 0, 2*time.Second), 19, 21)
		tr.Observe(target, named(2), after(2*time.Second))
		assertBetween(c, sendAll(tr, 2*time.Second, 6*time.Second), 7, 9)
		tr.Observe(target, targetlimits.Limit{}, after(6*time.Second))
		c.Assert(sendAll(tr, 6*time.Second, 7*time.Second), qt.Equals, 100)
	})
	t.Run("an older answer does not bring a limit back", func(t *testing.T) {
		c := qt.New(t)
		tr := targetlimits.NewTracker(alone)
		tr.Observe(target, named(1), after(time.Second))
		tr.Observe(target, targetlimits.Limit{}, after(2*time.Second))
		tr.Merge(9, []targetlimits.Report{{Observation: targetlimits.Observation{
			Target: target, Limit: named(1), At: after(1500 * time.Millisecond),
		}}}, after(2*time.Second))
		c.Assert(sendAll(tr, 2*time.Second, 3*time.Second), qt.Equals, 100)
	})
	t.Run("asks a target with a limit of zero now and then", func(t *testing.T) {
		tr := targetlimits.NewTracker(alone)
		tr.Observe(target, named(0), start)
		assertBetween(qt.New(t), sendAll(tr, 0, 4*time.Second), 1, 5)
	})
	t.Run("a huge limit is none", func(t *testing.T) {
		tr := targetlimits.NewTracker(alone)
		tr.Observe(target, named(1e300), start)
		qt.Assert(t, sendAll(tr, 0, time.Second), qt.Equals, 100)
	})
	t.Run("tells when the next call is allowed", func(t *testing.T) {
		c := qt.New(t)
		tr := targetlimits.NewTracker(alone)
		tr.Observe(target, named(2), start)
		_ = sendAll(tr, 0, 2*time.Second)
		wait, ok := tr.Wait([]uint64{target}, after(2*time.Second))
		c.Assert(ok, qt.IsTrue)
		c.Assert(wait <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait))
		c.Assert(tr.Allows(target, after(2*time.Second+wait+time.Millisecond)), qt.IsTrue)
	})
}

// Guards against a slow start that is left out, or comes while the limit still applies.
func TestIsNamed(t *testing.T) {
	c := qt.New(t)
	tr := targetlimits.NewTracker(alone)
	c.Assert(tr.IsNamed(target, start), qt.IsFalse)
	tr.Observe(target, named(1000), start)
	c.Assert(tr.IsNamed(target, after(30*time.Second)), qt.IsTrue)
	c.Assert(tr.IsNamed(target, after(30*time.Second+1)), qt.IsFalse)
	tr.Observe(target, named(1), after(time.Minute))
	c.Assert(tr.IsNamed(target, after(time.Minute)), qt.IsTrue)
	tr.Observe(target, targetlimits.Limit{}, after(61*time.Second))
	c.Assert(tr.IsNamed(target, after(61*time.Second)), qt.IsFalse)
}
