package targetload_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetload"
)

const target uint64 = 7

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func figures(running, waiting int, slowdown float64) targetload.Figures {
	return targetload.Figures{Running: running, Waiting: waiting, Slots: 6, Slowdown: slowdown}
}

func report(f targetload.Figures, age time.Duration) []targetload.Report {
	return []targetload.Report{{Target: target, Figures: f, Age: age}}
}

func assertExpected(c *qt.C, tr *targetload.Tracker, now time.Time, want float64) {
	c.Helper()
	got, ok := tr.Expected(target, now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(math.Abs(got-want) < 1e-6, qt.IsTrue, qt.Commentf("%v, want %v", got, want))
}

func assertUnknown(c *qt.C, tr *targetload.Tracker, now time.Time) {
	c.Helper()
	_, ok := tr.Expected(target, now)
	c.Assert(ok, qt.IsFalse)
}

// Guards against targets that look fast because of a queue, a slow machine or own calls that
// are not taken into account, and against figures that apply for longer than a slow period.
func TestExpected(t *testing.T) {
	for name, test := range map[string]struct {
		figures targetload.Figures
		sent    int
		age     time.Duration
		want    float64
	}{
		"free":                   {figures(0, 0, 1), 0, 0, 1},
		"a free slot":            {figures(5, 0, 1), 0, 0, 1},
		"no free slot":           {figures(6, 0, 1), 0, 0, 1 + 1.0/6},
		"queue":                  {figures(6, 5, 1), 0, 0, 2},
		"slow":                   {figures(0, 0, 2.5), 0, 0, 2.5},
		"slow with a queue":      {figures(6, 5, 2.5), 0, 0, 5},
		"fast":                   {figures(0, 0, 0.5), 0, 0, 0.5},
		"own calls":              {figures(6, 0, 1), 5, 0, 2},
		"after the half-life":    {figures(6, 5, 3), 0, 600 * time.Millisecond, 2 * 1.5},
		"after three half-lives": {figures(6, 5, 3), 0, 1800 * time.Millisecond, 1.25 * 1.125},
	} {
		t.Run(name, func(t *testing.T) {
			tr := targetload.NewTracker(targetload.WithHalfLife(600 * time.Millisecond))
			tr.Observe(target, test.figures, start)
			for range test.sent {
				tr.Sent(target, after(time.Millisecond))
			}
			assertExpected(qt.New(t), tr, after(test.age), test.want)
		})
	}
	t.Run("unknown", func(t *testing.T) {
		c, tr := qt.New(t), targetload.NewTracker()
		tr.Sent(target, start)
		assertUnknown(c, tr, start)
		tr.Observe(target, figures(6, 6, 2), start)
		assertUnknown(c, tr, after(2001*time.Millisecond))
	})
}

// Guards against figures that replace newer ones, and calls that are counted twice or never.
func TestMerge(t *testing.T) {
	slow, fast := figures(0, 0, 2), figures(0, 0, 1)
	for name, test := range map[string]struct {
		report []targetload.Report
		want   float64
		result targetload.Result
	}{
		"newer":             {report(slow, 0), 2, targetload.Merged},
		"older":             {report(slow, 200*time.Millisecond), 1, targetload.Outdated},
		"as old":            {report(slow, 100*time.Millisecond), 1, targetload.Outdated},
		"of no use":         {report(slow, time.Hour), 1, targetload.Outdated},
		"without slots":     {report(targetload.Figures{Slowdown: 2}, 0), 1, targetload.Invalid},
		"negative":          {report(figures(-1, 0, 2), 0), 1, targetload.Invalid},
		"absurd queue":      {report(figures(0, math.MaxInt32, 2), 0), 1, targetload.Invalid},
		"absurd slowdown":   {report(figures(0, 0, 21), 0), 1, targetload.Invalid},
		"absurd speed":      {report(figures(0, 0, 0.01), 0), 1, targetload.Invalid},
		"not a number":      {report(figures(0, 0, math.NaN()), 0), 1, targetload.Invalid},
		"invalid and newer": {append(report(figures(-1, 0, 2), 0), report(slow, 0)...), 2, targetload.Merged},
	} {
		t.Run(name, func(t *testing.T) {
			results := make(map[targetload.Result]int)
			tr := targetload.NewTracker(targetload.WithHalfLife(1e6*time.Hour),
				targetload.WithOnResult(func(r targetload.Result, n int) { results[r] += n }))
			tr.Observe(target, fast, start)
			tr.Merge(test.report, after(100*time.Millisecond))
			assertExpected(qt.New(t), tr, after(100*time.Millisecond), test.want)
			qt.Assert(t, results[test.result], qt.Equals, 1)
			qt.Assert(t, results[targetload.Observed], qt.Equals, 1)
		})
	}
	t.Run("calls since the figures count", func(t *testing.T) {
		c, tr := qt.New(t), targetload.NewTracker(targetload.WithHalfLife(1e6*time.Hour))
		tr.Observe(target, figures(6, 0, 1), start)
		tr.Sent(target, after(10*time.Millisecond))
		tr.Sent(target, after(90*time.Millisecond))
		assertExpected(c, tr, after(100*time.Millisecond), 1.5)
		tr.Merge(report(figures(6, 0, 1), 50*time.Millisecond), after(100*time.Millisecond))
		assertExpected(c, tr, after(100*time.Millisecond), 1+2.0/6)
		tr.Observe(target, figures(6, 0, 1), after(110*time.Millisecond))
		assertExpected(c, tr, after(110*time.Millisecond), 1+1.0/6)
	})
}

// Guards against reports that are repeated, too large, or tell what others know better.
func TestReports(t *testing.T) {
	c, tr := qt.New(t), targetload.NewTracker()
	for i := range 20 {
		tr.Observe(uint64(i), figures(i, 0, 1), after(time.Duration(i)*time.Millisecond))
		tr.Observe(uint64(i), figures(i, 1, 1), after(time.Duration(i)*time.Millisecond))
	}
	tr.Merge([]targetload.Report{{Target: 19, Figures: figures(1, 1, 1)}}, after(20*time.Millisecond))
	first := tr.Reports(after(30*time.Millisecond), 16)
	c.Assert(first, qt.HasLen, 16)
	c.Assert(first[0], qt.Equals, targetload.Report{Target: 18, Figures: figures(18, 1, 1), Age: 12 * time.Millisecond})
	c.Assert(tr.Reports(after(30*time.Millisecond), 16), qt.HasLen, 3)
	c.Assert(tr.Reports(after(30*time.Millisecond), 16), qt.HasLen, 0)
	tr.Observe(target, figures(1, 1, 1), after(30*time.Millisecond))
	c.Assert(tr.Reports(after(3*time.Second), 16), qt.HasLen, 0)
	c.Assert(tr.Known(after(3*time.Second)), qt.HasLen, 0)
}
