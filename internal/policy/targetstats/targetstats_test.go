package targetstats_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetstats"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func targets(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

func newTracker() *targetstats.Tracker { return targetstats.NewTracker(func(targetstats.Change) {}) }

func countEjected(tr *targetstats.Tracker, all []uint64, now time.Time) int {
	n := 0
	for _, s := range tr.Summaries(all, now) {
		if s.Ejected {
			n++
		}
	}
	return n
}

// exchangeLoads reports the loads of every router to every other one.
func exchangeLoads(trackers []*targetstats.Tracker, all []uint64, now time.Time) {
	for i, from := range trackers {
		for j, to := range trackers {
			if i != j {
				to.UpdatePeer(string(rune('a'+i)), from.Loads(now), len(all), now)
			}
		}
	}
}

// Guards against a target that fails part of its calls while its health checks
// succeed. Each of six routers sees only a sixth of the calls, so they detect
// it from their combined reports.
func TestPeerReportsEjectFailingTarget(t *testing.T) {
	c := qt.New(t)
	all := targets(18)
	trackers := make([]*targetstats.Tracker, 6)
	for i := range trackers {
		trackers[i] = newTracker()
	}
	now := start
	for i, tr := range trackers {
		for _, target := range all {
			tr.Begin(target, 0, now).End()
			tr.RecordSuccess(target, now)
		}
		if i < 4 {
			tr.RecordFailure(all[3], now)
		}
	}
	exchangeLoads(trackers, all, now)
	for _, tr := range trackers {
		c.Assert(tr.Summaries(all, now)[3].Ejected, qt.IsTrue)
		c.Assert(countEjected(tr, all, now), qt.Equals, 1)
	}
}

// Guards against ejection when all targets of a service fail equally often.
// Ejecting some would only move prompts away from where they are cached.
func TestCommonFailuresEjectNoTarget(t *testing.T) {
	c := qt.New(t)
	all := targets(18)
	tr := newTracker()
	now := start
	for round := range 40 {
		now = now.Add(25 * time.Millisecond)
		for i, target := range all {
			if (i+round)%2 == 0 {
				tr.RecordFailure(target, now)
			} else {
				tr.RecordSuccess(target, now)
			}
		}
	}
	c.Assert(countEjected(tr, all, now), qt.Equals, 0)
}

func TestSingleFailureEjectsNoTarget(t *testing.T) {
	c := qt.New(t)
	all := targets(4)
	tr := newTracker()
	tr.RecordFailure(all[0], start)
	c.Assert(countEjected(tr, all, start), qt.Equals, 0)
}

func TestEjectedTargetRecovers(t *testing.T) {
	c := qt.New(t)
	all := targets(4)
	tr := newTracker()
	for range 3 {
		tr.RecordFailure(all[0], start)
	}
	c.Assert(countEjected(tr, all, start), qt.Equals, 1)
	c.Assert(countEjected(tr, all, start.Add(3*time.Second)), qt.Equals, 0)
}

func TestUnreachableTargets(t *testing.T) {
	all := targets(10)
	t.Run("are ejected for longer each time", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker()
		tr.RecordUnreachable(all[0], start)
		c.Assert(countEjected(tr, all, start.Add(900*time.Millisecond)), qt.Equals, 1)
		c.Assert(countEjected(tr, all, start.Add(1100*time.Millisecond)), qt.Equals, 0)
		tr.RecordUnreachable(all[0], start.Add(1100*time.Millisecond))
		c.Assert(countEjected(tr, all, start.Add(2900*time.Millisecond)), qt.Equals, 1)
	})
	t.Run("are avoided by routers that have no call there", func(t *testing.T) {
		c := qt.New(t)
		reporter, other := newTracker(), newTracker()
		reporter.RecordUnreachable(all[0], start)
		other.UpdatePeer("reporter", reporter.Loads(start), len(all), start)
		c.Assert(countEjected(other, all, start), qt.Equals, 1)
	})
	t.Run("are used by a router that has received data from them", func(t *testing.T) {
		c := qt.New(t)
		reporter, other := newTracker(), newTracker()
		reporter.RecordUnreachable(all[0], start)
		other.RecordSuccess(all[0], start)
		other.UpdatePeer("reporter", reporter.Loads(start), len(all), start)
		c.Assert(countEjected(other, all, start), qt.Equals, 0)
	})
	t.Run("are ignored from a router that is cut off from most targets", func(t *testing.T) {
		c := qt.New(t)
		isolated, other := newTracker(), newTracker()
		for _, target := range all[:6] {
			isolated.RecordUnreachable(target, start)
		}
		other.UpdatePeer("isolated", isolated.Loads(start), len(all), start)
		c.Assert(countEjected(other, all, start), qt.Equals, 0)
	})
}

// Guards against targets that all routers of a large fleet avoid because of one router whose link is
// full: their caches were read again elsewhere.
func TestReportersOfUnreachableTargets(t *testing.T) {
	const fleet = 40
	// ejected returns whether a target is ejected at a router that hears others, of which
	// some report the target as unreachable.
	ejected := func(others, reporters int) bool {
		tr := targetstats.NewTracker(func(targetstats.Change) {})
		for i := range others {
			load := targetstats.Load{Target: 1, Calls: 1, Unreachable: i < reporters}
			tr.UpdatePeer(fmt.Sprint("router-", i), []targetstats.Load{load}, 60, start)
		}
		return tr.Summaries([]uint64{1, 2}, start.Add(time.Second))[0].Ejected
	}
	t.Run("one of a large fleet is not believed", func(t *testing.T) {
		qt.Assert(t, ejected(fleet, 1), qt.IsFalse)
	})
	t.Run("two are", func(t *testing.T) {
		qt.Assert(t, ejected(fleet, 2), qt.IsTrue)
	})
	t.Run("one of a small fleet is", func(t *testing.T) {
		qt.Assert(t, ejected(8, 1), qt.IsTrue)
	})
	t.Run("what the router finds itself counts", func(t *testing.T) {
		tr := targetstats.NewTracker(func(targetstats.Change) {})
		for i := range fleet {
			tr.UpdatePeer(fmt.Sprint("router-", i), nil, 60, start)
		}
		tr.RecordUnreachable(1, start)
		qt.Assert(t, tr.Summaries([]uint64{1}, start)[0].Ejected, qt.IsTrue)
	})
}

func TestLoadsOfOtherRouters(t *testing.T) {
	all := targets(3)
	t.Run("are added", func(t *testing.T) {
		c := qt.New(t)
		tr, other := newTracker(), newTracker()
		tr.Begin(all[0], 500, start)
		other.Begin(all[0], 900, start)
		tr.UpdatePeer("other", other.Loads(start), len(all), start)
		c.Assert(tr.Summaries(all, start)[0], qt.Equals, targetstats.Summary{Calls: 2, PendingTokens: 1400, Slowness: 1})
	})
	t.Run("expire", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker()
		tr.UpdatePeer("other", []targetstats.Load{{Target: all[0], Calls: 5}}, len(all), start)
		c.Assert(tr.Summaries(all, start.Add(2*time.Second))[0].Calls, qt.Equals, 0)
	})
	t.Run("include tokens announced since, until the next report", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker()
		tr.UpdatePeer("other", nil, len(all), start)
		tr.AddPendingTokens("other", all[0], 8600)
		c.Assert(tr.Summaries(all, start)[0].PendingTokens, qt.Equals, 8600)
		tr.UpdatePeer("other", []targetstats.Load{{Target: all[0], Calls: 1, PendingTokens: 8000}}, len(all), start)
		c.Assert(tr.Summaries(all, start)[0].PendingTokens, qt.Equals, 8000)
	})
}

func TestCallTracking(t *testing.T) {
	all := targets(1)
	t.Run("the first data means that the prompt has been prefilled", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker()
		call := tr.Begin(all[0], 500, start)
		call.Progress(start)
		c.Assert(tr.Summaries(all, start)[0], qt.Equals, targetstats.Summary{Calls: 1, Slowness: 1})
		call.End()
		call.End()
		c.Assert(tr.Summaries(all, start)[0], qt.Equals, targetstats.Summary{Slowness: 1})
	})
	t.Run("a target with calls that sends no data is silent", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker()
		call := tr.Begin(all[0], 0, start)
		c.Assert(tr.SilentFor(all[0], start.Add(time.Second)), qt.Equals, time.Second)
		call.Progress(start.Add(time.Second))
		c.Assert(tr.SilentFor(all[0], start.Add(time.Second)), qt.Equals, time.Duration(0))
		tr.ResetSilence(start.Add(5 * time.Second))
		c.Assert(tr.SilentFor(all[0], start.Add(5*time.Second)), qt.Equals, time.Duration(0))
	})
	t.Run("an idle target is not silent", func(t *testing.T) {
		tr := newTracker()
		tr.Begin(all[0], 0, start).End()
		qt.Assert(t, tr.SilentFor(all[0], start.Add(time.Minute)), qt.Equals, time.Duration(0))
	})
	t.Run("only calls without data are overdue", func(t *testing.T) {
		c := qt.New(t)
		tr := newTracker()
		late, active := tr.Begin(all[0], 0, start), tr.Begin(all[0], 0, start)
		active.Progress(start)
		late.Overdue(start)
		active.Overdue(start)
		c.Assert(tr.Loads(start)[0].Failures, qt.Equals, 1.0)
	})
}

// Guards against engines that turn slow while they answer and report health. Each of
// many routers measures few of their calls, so they detect them from their combined
// reports, and half of a service being slow must not hide it.
func TestSlowTargets(t *testing.T) {
	const slowdown = 3.5
	measure := func(slow int, rounds int) (*targetstats.Tracker, []uint64, time.Time) {
		all := targets(24)
		trackers := make([]*targetstats.Tracker, 30)
		for i := range trackers {
			trackers[i] = newTracker()
		}
		now := start
		for round := range rounds {
			now = now.Add(20 * time.Millisecond)
			for i, target := range all {
				ratio := 0.8 + 0.1*float64((i+round)%5)
				if i < slow {
					ratio *= slowdown
				}
				trackers[(round*7+i)%len(trackers)].RecordPace(target, ratio, now)
			}
		}
		exchangeLoads(trackers, all, now)
		return trackers[0], all, now
	}
	assertSlow := func(c *qt.C, slow int) {
		c.Helper()
		tr, all, now := measure(slow, 40)
		for i, s := range tr.Summaries(all, now) {
			if i < slow {
				c.Assert(s.Slowness > 0.75*slowdown && s.Slowness < 1.25*slowdown, qt.IsTrue, qt.Commentf("target %d: %.2f", i, s.Slowness))
				continue
			}
			c.Assert(s.Slowness < 1.25, qt.IsTrue, qt.Commentf("target %d: %.2f", i, s.Slowness))
		}
	}
	t.Run("a sixth of the service", func(t *testing.T) { assertSlow(qt.New(t), 4) })
	t.Run("half of the service", func(t *testing.T) { assertSlow(qt.New(t), 12) })
	t.Run("none", func(t *testing.T) { assertSlow(qt.New(t), 0) })
	t.Run("not by a single measurement", func(t *testing.T) {
		c := qt.New(t)
		tr, all, now := measure(0, 40)
		other := targets(25)
		tr.RecordPace(other[24], 9, now)
		c.Assert(tr.Summaries(append(all, other[24]), now)[24].Slowness, qt.Equals, 1.0)
	})
	t.Run("until it is well again", func(t *testing.T) {
		c := qt.New(t)
		tr, all, now := measure(4, 40)
		for range 20 {
			now = now.Add(200 * time.Millisecond)
			for _, target := range all {
				tr.RecordPace(target, 1, now)
			}
		}
		for i, s := range tr.Summaries(all, now) {
			c.Assert(s.Slowness < 1.5, qt.IsTrue, qt.Commentf("target %d: %.2f", i, s.Slowness))
		}
	})
}
