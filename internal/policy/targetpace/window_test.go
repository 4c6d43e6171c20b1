package targetpace_test

import (
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
