package targetpace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetpace"
)

func report(epoch, level, successes uint32) []targetpace.Report {
	return []targetpace.Report{{Target: target, Epoch: epoch, Level: level, Successes: successes}}
}

func TestMerge(t *testing.T) {
	// Guards against successes that count twice.
	t.Run("repeated and late reports do not raise the window", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(100)
		for _, successes := range []uint32{5, 5, 3, 0, 5} {
			tr.Merge(1, report(1, 2, successes), after(joined))
			assertWindow(c, tr, joined, 7)
		}
		tr.Merge(2, report(1, 2, 4), after(joined))
		assertWindow(c, tr, joined, 11)
	})
	// Guards against a loss that leaves routers with different windows.
	t.Run("the report after a lost one makes up for it", func(t *testing.T) {
		tr := recovered(100)
		tr.Merge(1, report(1, 2, 1), after(joined))
		tr.Merge(1, report(1, 2, 9), after(joined))
		assertWindow(qt.New(t), tr, joined, 11)
	})
	// Guards against successes from before a setback that raise the window after it.
	t.Run("a report of an earlier epoch changes nothing", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(100)
		succeed(tr, 6, joined)
		tr.RecordSetback(target, "refused", after(joined))
		tr.Merge(1, report(1, 2, 50), after(joined))
		assertWindow(c, tr, joined, 4)
	})
	t.Run("a later epoch replaces level and counts", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(100)
		succeed(tr, 6, joined)
		tr.Merge(1, report(2, 3, 1), after(joined))
		assertWindow(c, tr, joined, 4)
	})
	t.Run("of two setbacks at once the lower level applies", func(t *testing.T) {
		c := qt.New(t)
		a, b := recovered(100), recovered(100)
		succeed(a, 10, joined)
		succeed(b, 4, joined)
		a.RecordSetback(target, "refused", after(joined))
		b.RecordSetback(target, "refused", after(joined))
		fromA, fromB := a.TakeReport(after(joined)), b.TakeReport(after(joined))
		a.Merge(2, fromB, after(joined))
		b.Merge(1, fromA, after(joined))
		assertWindow(c, a, joined, 3)
		assertWindow(c, b, joined, 3)
	})
	// Guards against a router that has ended and takes its successes with it.
	t.Run("the counts of a killed router stay until the epoch ends", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(100)
		tr.Merge(1, report(1, 2, 8), after(joined))
		tr.Merge(2, report(1, 2, 1), after(joined+4*time.Second)) // A new process at its address.
		assertWindow(c, tr, joined+4*time.Second, 11)
		tr.RecordSetback(target, "refused", after(joined+4*time.Second))
		assertWindow(c, tr, joined+4*time.Second, 5)
	})
	t.Run("a window that another router has opened applies here", func(t *testing.T) {
		tr := newTracker(1, 0, 40)
		tr.Merge(1, report(1, 2, 0), after(joined))
		assertWindow(qt.New(t), tr, joined, 2)
	})
	// Guards against a late report that limits a settled target again.
	t.Run("a late report does not open a settled window", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(4)
		succeed(tr, 4, joined)
		assertNoWindow(c, tr, joined)
		tr.Merge(1, report(1, 2, 1), after(joined+time.Minute))
		assertNoWindow(c, tr, joined+time.Minute)
		tr.Merge(1, report(2, 2, 0), after(joined+time.Minute))
		assertWindow(c, tr, joined+time.Minute, 2)
	})
}

func TestTakeReport(t *testing.T) {
	// Guards against traffic while nothing has changed, and against the loss of a last report.
	t.Run("carries a change three times", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(100)
		succeed(tr, 3, joined)
		for range 3 {
			c.Assert(tr.TakeReport(after(joined)), qt.DeepEquals, report(1, 2, 3))
		}
		c.Assert(tr.TakeReport(after(joined)), qt.HasLen, 0)
		tr.ReportAll()
		c.Assert(tr.TakeReport(after(joined)), qt.DeepEquals, report(1, 2, 3))
	})
	// Guards against each router of a fleet that repeats each change.
	t.Run("does not carry what others have reported", func(t *testing.T) {
		tr := newTracker(1, 0, 40)
		tr.Merge(1, report(1, 2, 5), after(joined))
		qt.Assert(t, tr.TakeReport(after(joined)), qt.HasLen, 0)
	})
	t.Run("carries all changes of many targets in several reports", func(t *testing.T) {
		tr := newTracker(1, 0, 40)
		for i := range uint64(70) {
			tr.Recovered(1000+i, service, "evacuation", after(joined))
		}
		seen := map[uint64]int{}
		for range 7 {
			for _, r := range tr.TakeReport(after(joined)) {
				seen[r.Target]++
			}
		}
		for i := range uint64(70) {
			qt.Assert(t, seen[1000+i], qt.Equals, 3)
		}
	})
}

// Guards against routers that end with different windows, and against a window above what the
// successes and setbacks allow, whatever the order, repetition and loss of reports.
func TestWindowsConverge(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		routers := make([]*targetpace.Tracker, 6)
		for i := range routers {
			routers[i] = newTracker(6, i, 1000)
			routers[i].Recovered(target, service, "ejection", after(joined))
		}
		successes := 0
		var old [][]targetpace.Report
		var from []uint64
		at := joined
		for range 200 {
			at += 10 * time.Millisecond
			i := random.IntN(len(routers))
			switch random.IntN(10) {
			case 0:
				routers[i].RecordSetback(target, "refused", after(at))
			case 1, 2, 3:
				successes++
				succeed(routers[i], 1, at)
			case 4, 5, 6:
				old, from = append(old, routers[i].TakeReport(after(at))), append(from, uint64(i))
			default:
				if len(old) > 0 {
					n := random.IntN(len(old))
					before, _ := routers[i].Window(target, after(at))
					routers[i].Merge(from[n], old[n], after(at))
					routers[i].Merge(from[n], old[n], after(at))
					got, _ := routers[i].Window(target, after(at))
					qt.Assert(t, got <= max(before, 2+successes), qt.IsTrue, qt.Commentf("seed %d: %d after %d successes", seed, got, successes))
				}
			}
		}
		for range 3 {
			for i, from := range routers {
				from.ReportAll()
				r := from.TakeReport(after(at))
				for _, to := range routers {
					if to != from {
						to.Merge(uint64(i), r, after(at))
					}
				}
			}
		}
		want, _ := routers[0].Window(target, after(at))
		for _, r := range routers {
			assertWindow(qt.New(t), r, at, want)
		}
	}
}
