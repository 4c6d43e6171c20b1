package oracle_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/oracle"
)

func TestExcusesOfCutCalls(t *testing.T) {
	const grace, limit = 6 * time.Second, 12 * time.Second
	// The stop began 5.5 s ago, in whose last sixth the calls are cut unless stated otherwise.
	now := time.Now()
	stop := oracle.Stop{Start: now.Add(-5500 * time.Millisecond), Grace: grace}
	cutAt := func(sent, at time.Duration) oracle.Cut {
		return oracle.Cut{Call: "c", Sent: stop.Start.Add(sent), At: stop.Start.Add(at), Limit: limit, Stop: stop}
	}
	assertExcuse := func(t *testing.T, want oracle.Excuse, cut oracle.Cut, record func(r *oracle.Recorder)) {
		t.Helper()
		r := oracle.New()
		record(r)
		qt.Assert(t, r.Excuse(cut), qt.Equals, want)
	}
	run := func(r *oracle.Recorder) { r.RecordRun("c", 1, "t") }
	t.Run("no target has run the call", func(t *testing.T) {
		assertExcuse(t, oracle.NotRun, cutAt(0, 5*time.Second), func(*oracle.Recorder) {})
	})
	t.Run("cut before the last sixth of the grace period", func(t *testing.T) {
		assertExcuse(t, oracle.Unexcused, cutAt(0, 4900*time.Millisecond), run)
	})
	t.Run("cut in the last sixth", func(t *testing.T) {
		assertExcuse(t, oracle.WorkOutlasts, cutAt(0, 5500*time.Millisecond), run)
	})
	t.Run("sent before SIGTERM and cut in the last sixth", func(t *testing.T) {
		assertExcuse(t, oracle.WorkOutlasts, cutAt(-2*time.Second, 5500*time.Millisecond), run)
	})
	t.Run("sent later than 3 s after SIGTERM", func(t *testing.T) {
		assertExcuse(t, oracle.Unexcused, cutAt(3100*time.Millisecond, 5500*time.Millisecond), run)
	})
	t.Run("the target had ended its work before the last sixth", func(t *testing.T) {
		cut := cutAt(0, 5500*time.Millisecond)
		cut.Stop.Start, cut.At = now.Add(-time.Second), now.Add(4500*time.Millisecond)
		assertExcuse(t, oracle.Unexcused, cut, func(r *oracle.Recorder) {
			run(r)
			r.RecordRunEnd("c", "t")
		})
	})
	t.Run("the target broke off", func(t *testing.T) {
		assertExcuse(t, oracle.TargetBrokeOff, cutAt(0, time.Second), func(r *oracle.Recorder) {
			run(r)
			r.RecordBreakOff("t")
		})
	})
	t.Run("another target broke off", func(t *testing.T) {
		assertExcuse(t, oracle.Unexcused, cutAt(0, time.Second), func(r *oracle.Recorder) {
			run(r)
			r.RecordBreakOff("u")
		})
	})
	t.Run("the call went on at another target after one broke off", func(t *testing.T) {
		assertExcuse(t, oracle.Unexcused, cutAt(0, time.Second), func(r *oracle.Recorder) {
			r.RecordRun("c", 2, "t")
			r.RecordBreakOff("t")
			r.RecordRun("c", 2, "u")
		})
	})
	t.Run("the time limit was reached", func(t *testing.T) {
		cut := cutAt(0, 4*time.Second)
		cut.Limit = 4 * time.Second
		assertExcuse(t, oracle.AfterTimeLimit, cut, run)
	})
}
