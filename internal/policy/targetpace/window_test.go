package targetpace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetpace"
)

// recovered returns the tracker of the only router, with a target that has just recovered in a
// service with a high mean.
func recovered(mean float64) *targetpace.Tracker {
	tr := newTracker(1, 0, mean)
	tr.Recovered(target, service, "ejection", after(joined))
	return tr
}

func succeed(tr *targetpace.Tracker, n int, at time.Duration) {
	for range n {
		tr.RecordSuccess(target, after(at))
	}
}

func TestWindow(t *testing.T) {
	// Guards against a target that gets its full share at once after it has returned, and
	// against one that never does.
	t.Run("grows by one with each success until the mean plus 2", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(4)
		assertWindow(c, tr, joined, 2)
		succeed(tr, 3, joined)
		assertWindow(c, tr, joined, 5)
		c.Assert(fill(tr, joined), qt.Equals, 5)
		succeed(tr, 1, joined)
		assertNoWindow(c, tr, joined)
		c.Assert(fill(tr, joined), qt.Equals, 1000)
	})
	// Guards against calls from before the window that are not counted in it.
	t.Run("calls in flight count from before", func(t *testing.T) {
		tr := newTracker(1, 0, 4)
		tr.Begin(target, after(joined))
		tr.Recovered(target, service, "ejection", after(joined))
		qt.Assert(t, fill(tr, joined), qt.Equals, 1)
		tr.End(target, after(joined))
		tr.End(target, after(joined))
		tr.End(target, after(joined))
		qt.Assert(t, fill(tr, joined), qt.Equals, 2)
	})
	t.Run("a setback halves it, and it stays above zero", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(40)
		succeed(tr, 7, joined)
		want := []int{4, 2, 1, 1}
		for i, w := range want {
			at := joined + time.Duration(i)*time.Second
			tr.RecordSetback(target, "refused", after(at))
			assertWindow(c, tr, at, w)
		}
	})
	// Guards against a window that the failures of one moment reduce to one call.
	t.Run("setbacks at the same time halve it once", func(t *testing.T) {
		tr := recovered(40)
		succeed(tr, 30, joined)
		for range 10 {
			tr.RecordSetback(target, "refused", after(joined))
		}
		assertWindow(qt.New(t), tr, joined, 16)
	})
	// Guards against a target that stays limited because its service has little traffic.
	t.Run("is settled after 5 s without a setback", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(40)
		tr.RecordSetback(target, "failed", after(joined+3*time.Second))
		assertWindow(c, tr, joined+7900*time.Millisecond, 1)
		assertNoWindow(c, tr, joined+8*time.Second)
	})
	// Guards against a target that is slow, or refuses calls, for long and never gets a share.
	t.Run("is settled after 10 s in any case", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(40)
		for at := joined; at < joined+9900*time.Millisecond; at += 100 * time.Millisecond {
			tr.RecordSetback(target, "refused", after(at))
		}
		assertWindow(c, tr, joined+9900*time.Millisecond, 1)
		assertNoWindow(c, tr, joined+10*time.Second)
	})
	// Guards against first answers of a target with cold caches that keep it at one call.
	t.Run("a slow answer halves it down to two and does not put it off", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(40)
		tr.RecordSlow(target, after(joined))
		assertWindow(c, tr, joined, 2)
		succeed(tr, 8, joined)
		for i, want := range []int{5, 2, 2} {
			tr.RecordSlow(target, after(joined+time.Duration(i+1)*time.Second))
			assertWindow(c, tr, joined+time.Duration(i+1)*time.Second, want)
		}
		assertNoWindow(c, tr, joined+5*time.Second)
	})
	t.Run("has no goal while the mean is not known", func(t *testing.T) {
		tr := recovered(-1)
		succeed(tr, 98, joined)
		assertWindow(qt.New(t), tr, joined, 100)
	})
	// Guards against a failure at a settled target that limits it.
	t.Run("a setback at a settled target has no effect", func(t *testing.T) {
		tr := newTracker(1, 0, 4)
		tr.RecordSetback(target, "failed", after(joined))
		assertNoWindow(qt.New(t), tr, joined)
	})
	// Guards against routers that notice the same recovery one after the other and reset the
	// window each time.
	t.Run("a recovery that is noticed late does not reset it", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(4)
		succeed(tr, 2, joined)
		tr.Recovered(target, service, "ejection", after(joined+900*time.Millisecond))
		assertWindow(c, tr, joined+900*time.Millisecond, 4)
		succeed(tr, 2, joined+time.Second)
		tr.Recovered(target, service, "ejection", after(joined+1500*time.Millisecond))
		assertNoWindow(c, tr, joined+1500*time.Millisecond)
		tr.Recovered(target, service, "ejection", after(joined+4*time.Second))
		assertWindow(c, tr, joined+4*time.Second, 2)
	})
	// Guards against the incarnations of the first view, which are all new to the router.
	t.Run("opens for targets that have just started only", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker(1, 0, 4)
		tr.Observe(target, service, targetpace.State{Started: after(joined - 10*time.Second)}, after(joined))
		assertNoWindow(c, tr, joined)
		tr.Observe(target, service, targetpace.State{Started: after(joined - time.Second)}, after(joined))
		assertWindow(c, tr, joined, 2)
		tr.Observe(target, service, targetpace.State{Started: after(joined - time.Second)}, after(joined+5*time.Second))
		assertNoWindow(c, tr, joined+5*time.Second)
	})
	// Guards against a window that never opens because the target was observed too early.
	t.Run("opens when its service is named after the first observation", func(t *testing.T) {
		c := qt.New(t)
		tr := targetpace.NewTracker(among(1, 0))
		s := targetpace.State{Started: after(joined)}
		tr.Observe(target, service, s, after(joined))
		tr.SetMean(service, append([]uint64{target}, settled...), 4, after(joined))
		assertNoWindow(c, tr, joined)
		tr.Observe(target, service, s, after(joined+time.Second))
		assertWindow(c, tr, joined+time.Second, 2)
		tr.Observe(target, service, s, after(joined+2*time.Second))
		succeed(tr, 4, joined+2*time.Second)
		tr.Observe(target, service, s, after(joined+3*time.Second))
		assertNoWindow(c, tr, joined+3*time.Second)
	})
	// Guards against a target that gets its full share the moment it turns warm.
	t.Run("is not settled by the mean while the target is cold", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker(1, 0, 4)
		tr.Observe(target, service, stated(2*time.Second), after(joined))
		succeed(tr, 30, joined+time.Second)
		assertWindow(c, tr, joined+time.Second, 6)
		assertNoWindow(c, tr, joined+2*time.Second)
	})
	// Guards against a service whose targets are all new and hold back each other.
	t.Run("does not limit a service with mostly new targets", func(t *testing.T) {
		c := qt.New(t)
		tr := recovered(40)
		for i, hash := range settled {
			tr.Recovered(hash, service, "evacuation", after(joined))
			if i == 0 {
				assertWindow(c, tr, joined, 2) // Two of four.
			}
		}
		assertNoWindow(c, tr, joined)
		c.Assert(fill(tr, joined), qt.Equals, 1000)
		succeed(tr, 9, joined)
		tr.SetMean(service, append([]uint64{target, 104, 105, 106, 107}, settled...), 40, after(joined))
		assertWindow(c, tr, joined, 11)
	})
	// Guards against windows in deployments that have not enabled them.
	t.Run("applies to services with a mean only", func(t *testing.T) {
		c := qt.New(t)
		tr := targetpace.NewTracker(among(1, 0))
		tr.Recovered(target, "other", "ejection", after(joined))
		assertNoWindow(c, tr, joined)
		c.Assert(tr.Warming(after(joined)), qt.HasLen, 0)
		tr = recovered(40)
		assertNoWindow(c, tr, joined+2*time.Minute)
	})
	t.Run("a target without record has none", func(t *testing.T) {
		tr := newTracker(6, 0, 4)
		wait, ok := tr.Allows(99, after(joined))
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, wait, qt.Equals, time.Duration(0))
	})
}

// Guards against shares that add up to more than the window, or to less.
func TestSharesAddUpToTheWindow(t *testing.T) {
	for _, routers := range []int{1, 6, 79} {
		for _, size := range []int{2, 3, 79, 80, 200} {
			total := 0
			for i := range routers {
				tr := newTracker(routers, i, 1000)
				tr.Recovered(target, service, "ejection", after(joined))
				succeed(tr, size-2, joined)
				total += fill(tr, joined)
			}
			qt.Assert(t, total, qt.Equals, size, qt.Commentf("%d routers", routers))
		}
	}
}

// Guards against a fleet with few calls a router that leaves a window unused.
func TestProportionalShares(t *testing.T) {
	for _, size := range []int{2, 4, 5, 8, 9} {
		total := 0
		for i := range 80 {
			tr := newTracker(80, i, 8, targetpace.WithProportionalShares())
			tr.Recovered(target, service, "ejection", after(joined))
			succeed(tr, size-2, joined)
			total += fill(tr, joined)
		}
		qt.Assert(t, total, qt.Equals, 8*size, qt.Commentf("window %d of 10", size))
	}
}

// Guards against a killed router whose share of a small window blocks the target.
func TestShareOfAKilledRouterIsTakenOver(t *testing.T) {
	c := qt.New(t)
	order := ranked(6)
	all := hashes(6)
	live := all
	tr := targetpace.NewTracker(among(6, order[2]), targetpace.WithLiveRouters(func() (uint64, []uint64) {
		var others []uint64
		for _, h := range live {
			if h != all[order[2]] {
				others = append(others, h)
			}
		}
		return all[order[2]], others
	}))
	tr.SetMean(service, append([]uint64{target}, settled...), 40, start)
	tr.Recovered(target, service, "ejection", after(joined))
	c.Assert(fill(tr, joined), qt.Equals, 0)
	live = []uint64{all[order[1]], all[order[2]], all[order[3]]}
	c.Assert(fill(tr, joined+time.Second), qt.Equals, 1)
}

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

// Guards against changes that are not logged, or logged with the lock held.
func TestOnChange(t *testing.T) {
	c := qt.New(t)
	var got []string
	var tr *targetpace.Tracker
	tr = newTracker(1, 0, 4, targetpace.WithOnChange(func(change targetpace.Change) {
		_ = tr.Warming(after(joined))
		got = append(got, change.From.String()+" "+change.To.String()+" "+change.Why)
	}))
	tr.Observe(target, service, stated(2*time.Second), after(joined))
	succeed(tr, 2, joined+time.Second)
	tr.RecordSetback(target, "refused", after(joined+time.Second))
	_ = tr.Warming(after(joined + 2*time.Second))
	succeed(tr, 4, joined+2*time.Second)
	c.Assert(got, qt.DeepEquals, []string{
		"settled cold cold", "cold cold-window-2 cold", "cold-window-4 cold-window-2 refused", "cold-window-2 window-2 warm", "window-6 settled mean-reached",
	})
	c.Assert(tr.Warming(after(joined+2*time.Second)), qt.HasLen, 0)
}
