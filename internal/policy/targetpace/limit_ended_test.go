package targetpace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetpace"
)

// unlimited returns the tracker of the only router, with a target whose limit has just ended.
func unlimited() *targetpace.Tracker {
	tr := newTracker(1, 0, 40)
	tr.Recovered(target, service, targetpace.LimitEnded, after(joined))
	return tr
}

func TestWindowAfterALimit(t *testing.T) {
	// Guards against a target that is flooded when its limit ends, and against one whose share
	// takes several round trips and reports to return.
	t.Run("doubles every 200 ms without answers", func(t *testing.T) {
		c := qt.New(t)
		tr := unlimited()
		for i, want := range []int{2, 4, 8, 16, 32} {
			at := joined + time.Duration(i)*200*time.Millisecond
			assertWindow(c, tr, at, want)
			assertWindow(c, tr, at+199*time.Millisecond, want)
		}
		assertNoWindow(c, tr, joined+1200*time.Millisecond)
	})
	t.Run("grows faster with successes", func(t *testing.T) {
		tr := unlimited()
		succeed(tr, 8, joined)
		assertWindow(qt.New(t), tr, joined+200*time.Millisecond, 10)
	})
	// Guards against growth with time at a target that refuses calls.
	t.Run("grows with successes only after a setback", func(t *testing.T) {
		c := qt.New(t)
		tr := unlimited()
		at := joined + 600*time.Millisecond
		assertWindow(c, tr, at, 16)
		tr.RecordSetback(target, "refused", after(at))
		assertWindow(c, tr, at, 8)
		tr.Recovered(target, service, targetpace.LimitEnded, after(at))
		assertWindow(c, tr, at+time.Second, 8)
		succeed(tr, 1, at+time.Second)
		assertWindow(c, tr, at+time.Second, 9)
	})
	// Guards against a router that hears of the window before it notices the end of the limit.
	t.Run("grows with time if another router has opened the window", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker(1, 0, 40)
		tr.Merge(1, report(1, 2, 0), after(joined))
		tr.Recovered(target, service, targetpace.LimitEnded, after(joined+100*time.Millisecond))
		assertWindow(c, tr, joined+400*time.Millisecond, 8)
	})
	// Guards against a setback elsewhere that this router takes for the opening.
	t.Run("does not grow with time if another router has had a setback", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker(1, 0, 40)
		tr.Merge(1, report(2, 1, 0), after(joined))
		tr.Recovered(target, service, targetpace.LimitEnded, after(joined+100*time.Millisecond))
		assertWindow(c, tr, joined+time.Second, 1)
	})
	// Guards against other recoveries that outgrow their successes.
	t.Run("other windows do not grow with time", func(t *testing.T) {
		assertWindow(qt.New(t), recovered(40), joined+4*time.Second, 2)
	})
	// Guards against windows in deployments that have not enabled them.
	t.Run("has none without a mean", func(t *testing.T) {
		tr := targetpace.NewTracker(among(1, 0))
		tr.Recovered(target, "other", targetpace.LimitEnded, after(joined))
		assertNoWindow(qt.New(t), tr, joined)
	})
	// Guards against calls that are held back although no target may take more of them.
	t.Run("does not apply if no other target is usable", func(t *testing.T) {
		c := qt.New(t)
		tr := unlimited()
		for _, usable := range [][]uint64{{target}, nil} {
			tr.SetMean(service, usable, -1, after(joined))
			assertNoWindow(c, tr, joined)
		}
	})
}

// Guards against routers with few calls that open the window of a settled target again, because they
// notice its recovery seconds after the others.
func TestRecoveryNoticedLate(t *testing.T) {
	c := qt.New(t)
	tr := newTracker(1, 0, 4)
	tr.Merge(1, report(1, 2, 4), after(joined))
	assertNoWindow(c, tr, joined)
	noticed := joined + 3*time.Second
	tr.RecoveredSince(target, service, "ejection", after(joined-time.Second), after(noticed))
	assertNoWindow(c, tr, noticed)
	tr.RecoveredSince(target, service, "ejection", after(joined+time.Second), after(noticed))
	assertWindow(c, tr, noticed, 2)
}

// Guards against a mean that includes targets whose own calls are held back.
func TestIsSettled(t *testing.T) {
	for name, tc := range map[string]struct {
		observe func(tr *targetpace.Tracker)
		want    bool
	}{
		"a target without record": {func(*targetpace.Tracker) {}, true},
		"a cold target": {func(tr *targetpace.Tracker) {
			tr.Observe(target, service, stated(2*time.Second), after(joined))
		}, false},
		"a recovered target": {func(tr *targetpace.Tracker) {
			tr.Recovered(target, service, "ejection", after(joined))
		}, false},
		"a target that has reached the mean": {func(tr *targetpace.Tracker) {
			tr.Recovered(target, service, "ejection", after(joined))
			succeed(tr, 4, joined)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTracker(1, 0, 4)
			tc.observe(tr)
			qt.Assert(t, tr.IsSettled(target, after(joined)), qt.Equals, tc.want)
		})
	}
}
