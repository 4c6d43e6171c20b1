package targetpace_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/rendezvous"
	"hickoryrock/internal/policy/targetpace"
)

const (
	target  uint64 = 7
	service        = "plain"
)

var (
	start = time.Unix(1_700_000_000, 0)
	// chill is the bound of the deployments: 20 calls in one second.
	chill = targetpace.Limit{PerSecond: 10, Overshoot: 1.5, Slack: 5}
	// joined is when a router that started at zero knows the others.
	joined = 1200 * time.Millisecond
	// others are settled targets of the service.
	settled = []uint64{101, 102, 103}
)

func after(d time.Duration) time.Time { return start.Add(d) }

func hashes(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	return out
}

// among returns the router i of n and the others.
func among(n, i int) targetpace.Routers {
	all := hashes(n)
	return func() (uint64, []uint64) { return all[i], slices.Concat(all[:i], all[i+1:]) }
}

// ranked returns the routers of a fleet by their rank for the target, the highest first.
func ranked(n int) []int {
	all, out := hashes(n), make([]int, n)
	for i := range out {
		out[i] = i
	}
	slices.SortFunc(out, func(a, b int) int {
		if rendezvous.Rank(target, all[a]) > rendezvous.Rank(target, all[b]) {
			return -1
		}
		return 1
	})
	return out
}

// newTracker returns the tracker of one of n routers that knows the others and a service with
// settled targets that have a mean number of calls in flight.
func newTracker(n, i int, mean float64, opts ...targetpace.Option) *targetpace.Tracker {
	tr := targetpace.NewTracker(among(n, i), opts...)
	tr.SetMean(service, append([]uint64{target}, settled...), mean, start)
	tr.SetMean(service, append([]uint64{target}, settled...), mean, after(joined))
	return tr
}

func stated(left time.Duration) targetpace.State {
	return targetpace.State{ColdStated: true, ColdLeft: left, Limit: chill}
}

// sendAll sends a call whenever it is allowed, for a time, and returns the number of calls. Each
// call ends at once.
func sendAll(tr *targetpace.Tracker, from, until time.Duration) int {
	n := 0
	for at := from; at < until; at += 10 * time.Millisecond {
		if tr.TryBegin(target, after(at)) {
			tr.End(target, after(at))
			n++
		}
	}
	return n
}

// fill begins calls until none is allowed, and returns their number, at most 1,000.
func fill(tr *targetpace.Tracker, at time.Duration) int {
	for n := range 1000 {
		if !tr.TryBegin(target, after(at)) {
			return n
		}
	}
	return 1000
}

func assertBetween(c *qt.C, got, least, most int) {
	c.Helper()
	c.Assert(got >= least && got <= most, qt.IsTrue, qt.Commentf("%d, want %d to %d", got, least, most))
}

func assertWindow(c *qt.C, tr *targetpace.Tracker, at time.Duration, want int) {
	c.Helper()
	got, limited := tr.Window(target, after(at))
	c.Assert(limited, qt.IsTrue, qt.Commentf("no window"))
	c.Assert(got, qt.Equals, want)
}

func assertNoWindow(c *qt.C, tr *targetpace.Tracker, at time.Duration) {
	c.Helper()
	got, limited := tr.Window(target, after(at))
	c.Assert(limited, qt.IsFalse, qt.Commentf("window %d", got))
}

func TestColdTarget(t *testing.T) {
	// Guards against a bound that also holds back targets which are not cold.
	t.Run("a warm target is not limited", func(t *testing.T) {
		tr := newTracker(1, 0, 4)
		tr.Observe(target, service, stated(0), after(joined))
		qt.Assert(t, sendAll(tr, joined, joined+time.Second), qt.Equals, 100)
	})
	// Guards against calls sent at once by a process that replaces one which has just sent.
	t.Run("a router that has just started sends none", func(t *testing.T) {
		tr := targetpace.NewTracker(among(6, 0))
		tr.Observe(target, service, stated(30*time.Second), start)
		c := qt.New(t)
		c.Assert(sendAll(tr, 0, time.Second), qt.Equals, 0)
		assertBetween(c, sendAll(tr, time.Second, 3*time.Second), 2, 5)
	})
	// Guards against a router that is cut off at its start and takes itself for the only one.
	t.Run("a router that knows no others sends none", func(t *testing.T) {
		tr := targetpace.NewTracker(among(1, 0))
		tr.Observe(target, service, stated(time.Minute), start)
		c := qt.New(t)
		c.Assert(sendAll(tr, 0, 29*time.Second), qt.Equals, 0)
		c.Assert(sendAll(tr, 31*time.Second, 33*time.Second) > 10, qt.IsTrue)
	})
	// Guards against a cold target that stays limited although it is warm.
	t.Run("the bound ends when the target is warm", func(t *testing.T) {
		tr := newTracker(1, 0, 4)
		tr.Observe(target, service, targetpace.State{Started: after(joined), ColdStart: 3 * time.Second, Limit: chill}, after(joined))
		c := qt.New(t)
		wait, ok := tr.Allows(target, after(joined))
		c.Assert(ok, qt.IsFalse)
		c.Assert(wait, qt.Equals, 3*time.Second)
		_, ok = tr.Allows(target, after(joined+10*time.Second))
		c.Assert(ok, qt.IsTrue)
	})
	// Guards against a time of the configuration that outlives what the target says.
	t.Run("an entry replaces the time after the start", func(t *testing.T) {
		tr := newTracker(6, 0, 4)
		s := targetpace.State{Started: after(joined), ColdStart: 3 * time.Second, Limit: chill}
		tr.Observe(target, service, s, after(joined))
		s.ColdStated = true
		tr.Observe(target, service, s, after(joined+100*time.Millisecond))
		c := qt.New(t)
		c.Assert(tr.Warming(after(joined + 200*time.Millisecond))[0].Cold, qt.IsFalse)
		s.ColdStated = false
		tr.Observe(target, service, s, after(joined+300*time.Millisecond))
		c.Assert(tr.Warming(after(joined + 400*time.Millisecond))[0].Cold, qt.IsFalse)
	})
	// Guards against an entry written before the target turned cold that arrives after the answer.
	t.Run("an older entry does not end it", func(t *testing.T) {
		tr := newTracker(6, 0, 4)
		tr.Observe(target, service, stated(3*time.Second), after(joined))
		tr.Observe(target, service, stated(0), after(joined+400*time.Millisecond))
		old := stated(0)
		old.At = start
		tr.Observe(target, service, old, after(joined+1600*time.Millisecond))
		c := qt.New(t)
		c.Assert(tr.Warming(after(joined + 1700*time.Millisecond))[0].ColdLeft, qt.Equals, 1300*time.Millisecond)
		tr.Observe(target, service, stated(0), after(joined+1700*time.Millisecond))
		c.Assert(tr.Warming(after(joined + 1800*time.Millisecond))[0].Cold, qt.IsFalse)
	})
	// Guards against an entry that is read again with each view and keeps the target cold.
	t.Run("an entry that is read again does not extend it", func(t *testing.T) {
		tr := newTracker(6, 0, 4)
		s := stated(time.Second)
		s.At = after(joined)
		for at := joined; at < joined+2*time.Second; at += 100 * time.Millisecond {
			tr.Observe(target, service, s, after(at))
		}
		for _, w := range tr.Warming(after(joined + 2*time.Second)) {
			qt.Assert(t, w.Cold, qt.IsFalse)
		}
	})
	// Guards against two calls that are chosen at the same time and pass the bound together.
	t.Run("a call is counted when it is allowed", func(t *testing.T) {
		tr := targetpace.NewTracker(among(6, 0))
		tr.Observe(target, service, stated(0), start)
		tr.Observe(target, service, stated(3*time.Second), after(joined))
		c := qt.New(t)
		_, ok := tr.Allows(target, after(joined))
		c.Assert(ok, qt.IsTrue)
		c.Assert(fill(tr, joined), qt.Equals, 1)
		wait, ok := tr.Allows(target, after(joined))
		c.Assert(ok, qt.IsFalse)
		c.Assert(tr.TryBegin(target, after(joined+wait)), qt.IsTrue)
	})
	// Guards against calls with a granted slot that pass the bound because their window is
	// kept elsewhere.
	t.Run("a call with a slot is counted when the bound allows it", func(t *testing.T) {
		tr := newTracker(6, 0, 4)
		tr.Observe(target, service, stated(3*time.Second), after(joined))
		tr.Begin(target, after(joined-time.Second)) // Fills the share of the window.
		c := qt.New(t)
		c.Assert(tr.TryBegin(target, after(joined)), qt.IsFalse)
		c.Assert(tr.TryBeginCold(target, after(joined)), qt.IsTrue)
		c.Assert(tr.TryBeginCold(target, after(joined)), qt.IsFalse)
	})
	// Guards against a call that had to be sent and does not count.
	t.Run("a call that was not allowed counts", func(t *testing.T) {
		tr := targetpace.NewTracker(among(6, 0))
		tr.Observe(target, service, stated(0), start)
		tr.Observe(target, service, stated(30*time.Second), after(joined))
		for range 1000 {
			tr.Begin(target, after(joined))
		}
		wait, _ := tr.Allows(target, after(joined))
		assertBetween(qt.New(t), int(wait/time.Millisecond), 10_000, 13_000)
	})
}

// Guards against settings and answers with odd values that end the process, or that allow a
// target no call for good.
func TestOddValues(t *testing.T) {
	odd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-300, 0.3, 1e300}
	durations := []time.Duration{math.MinInt64, -time.Second, 0, math.MaxInt64}
	times := []time.Time{{}, time.Unix(-1<<40, 0), time.Unix(1<<40, 0)}
	for _, rate := range odd {
		t.Run(fmt.Sprintf("rate %v", rate), func(t *testing.T) {
			for i, x := range odd {
				for _, d := range durations {
					for _, at := range times {
						tr := newTracker(6, ranked(6)[0], x)
						tr.Observe(target, service, targetpace.State{Started: at, ColdStart: d, ColdStated: i%2 == 0, ColdLeft: d, At: at,
							Limit: targetpace.Limit{PerSecond: rate, Overshoot: x, Slack: odd[len(odd)-1-i]}}, after(joined))
						_ = sendAll(tr, joined, joined+time.Second)
						tr.RecordSetback(target, "refused", after(joined))
						_ = tr.Warming(after(joined))
						_, ok := tr.Allows(target, after(time.Hour))
						qt.Assert(t, ok, qt.IsTrue)
					}
				}
			}
		})
	}
	t.Run("reports", func(t *testing.T) {
		for _, r := range []targetpace.Report{
			{target, math.MaxUint32, math.MaxUint32, math.MaxUint32}, {target, math.MaxUint32 - 1, 0, math.MaxUint32}, {target, 0, 9, 9}, {0, 1, 0, 0},
		} {
			tr := newTracker(1, 0, 1e300)
			tr.Recovered(target, service, "ejection", after(joined))
			for i := range 3 {
				tr.Merge(uint64(i), []targetpace.Report{r}, after(joined+time.Duration(i)))
				tr.RecordSetback(target, "refused", after(joined+time.Second))
				tr.RecordSuccess(target, after(joined+time.Second))
			}
			got, _ := tr.Window(target, after(joined+2*time.Second))
			assertBetween(qt.New(t), got, 1, 1<<20)
			assertNoWindow(qt.New(t), tr, time.Minute)
		}
	})
}

// Guards against memory that grows with the targets, calls and services that ever were.
func TestMemoryIsBounded(t *testing.T) {
	tr := newTracker(1, 0, 4)
	for i := range uint64(10_000) {
		tr.SetMean(fmt.Sprint(i), []uint64{i}, 1, after(joined))
		tr.Recovered(i, service, "ejection", after(joined))
		tr.Begin(i, after(joined))
		tr.Merge(i, []targetpace.Report{{1, 1, 1, 1}}, after(joined))
	}
	c := qt.New(t)
	c.Assert(len(tr.Warming(after(joined))), qt.Equals, 4096)
	c.Assert(len(tr.TakeReport(after(joined))), qt.Equals, 30)
	c.Assert(len(tr.Warming(after(joined+6*time.Second))), qt.Equals, 0)
	tr.Recovered(20_000, service, "ejection", after(joined+6*time.Second))
	c.Assert(len(tr.Warming(after(joined+6*time.Second))), qt.Equals, 1)
}
