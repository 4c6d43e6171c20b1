package oracle_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/oracle"
)

func TestAtMostOnceCalls(t *testing.T) {
	assertViolation := func(t *testing.T, want oracle.Invariant, record func(r *oracle.Recorder)) {
		t.Helper()
		r := oracle.New()
		record(r)
		violations, counts := r.Violations()
		if want == "" {
			qt.Assert(t, violations, qt.HasLen, 0)
			return
		}
		qt.Assert(t, counts[want], qt.Equals, 1)
	}
	t.Run("may run once", func(t *testing.T) {
		assertViolation(t, "", func(r *oracle.Recorder) { r.RecordRun("c", 1, "t") })
	})
	t.Run("must not run twice", func(t *testing.T) {
		assertViolation(t, oracle.DuplicateRun, func(r *oracle.Recorder) {
			r.RecordRun("c", 1, "t")
			r.RecordRun("c", 1, "u")
		})
	})
	t.Run("other calls must not run more often than allowed", func(t *testing.T) {
		assertViolation(t, oracle.TooManyTargets, func(r *oracle.Recorder) {
			for _, target := range []string{"t", "u", "v"} {
				r.RecordRun("c", 2, target)
			}
		})
	})
	t.Run("other calls may run as often as allowed", func(t *testing.T) {
		assertViolation(t, "", func(r *oracle.Recorder) {
			r.RecordRun("c", 2, "t")
			r.RecordRun("c", 2, "u")
		})
	})
	t.Run("must not have run when refused", func(t *testing.T) {
		assertViolation(t, oracle.RefusedButRan, func(r *oracle.Recorder) {
			r.RecordRun("c", 1, "t")
			r.RecordRefusal("c", "503")
		})
	})
	t.Run("must not run after a refusal", func(t *testing.T) {
		assertViolation(t, oracle.RefusedButRan, func(r *oracle.Recorder) {
			r.RecordRefusal("c", "503")
			r.RecordRun("c", 1, "t")
		})
	})
}

func TestFaultFreeTimeStartsWhenLastFaultEnds(t *testing.T) {
	c := qt.New(t)
	r := oracle.New()
	endFirst, endSecond := r.BeginFault(), r.BeginFault()
	endFirst()
	endFirst()
	time.Sleep(20 * time.Millisecond)
	c.Assert(r.FaultFreeFor(), qt.Equals, time.Duration(0))
	endSecond()
	time.Sleep(20 * time.Millisecond)
	c.Assert(r.FaultFreeFor() >= 20*time.Millisecond, qt.IsTrue)
}

func TestFleetRetryBudget(t *testing.T) {
	violationsFor := func(calls, retries int) int {
		r := oracle.New()
		for i := range calls {
			r.RecordSent()
			r.RecordArrival(string(rune('a' + i)))
		}
		for range retries {
			r.RecordArrival("a")
		}
		_, counts := r.Violations()
		return counts[oracle.RetryBudget]
	}
	qt.Assert(t, violationsFor(100, 70), qt.Equals, 0)
	qt.Assert(t, violationsFor(100, 71), qt.Equals, 1)
}
