package oracle_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/oracle"
)

// Guards against an oracle that misses calls to evacuated targets or calls that an evacuation cuts,
// and against one that reports calls which are allowed.
func TestEvacuations(t *testing.T) {
	const bound = 10 * time.Millisecond
	assertCounts := func(t *testing.T, want map[oracle.Invariant]int, record func(r *oracle.Recorder)) {
		t.Helper()
		t.Parallel()
		r := oracle.New()
		r.RecordDomain("t", "east")
		r.RecordDomain("u", "west")
		record(r)
		_, counts := r.Violations()
		qt.Assert(t, counts, qt.DeepEquals, want)
	}
	none := map[oracle.Invariant]int{}
	late := map[oracle.Invariant]int{oracle.CallToEvacuatedTarget: 1}
	cut := map[oracle.Invariant]int{oracle.InterruptedEvacuated: 1}
	settle := func() { time.Sleep(oracle.SettleTime + bound) }
	exceed := func() { time.Sleep(bound + 350*time.Millisecond) }
	t.Run("a late call", func(t *testing.T) {
		assertCounts(t, late, func(r *oracle.Recorder) {
			settle()
			r.BeginEvacuation("east")
			r.CheckEvacuated("c", "t", bound)
			exceed()
			r.CheckEvacuated("c", "u", bound)
			r.CheckEvacuated("c", "t", bound)
		})
	})
	t.Run("a call after the end", func(t *testing.T) {
		assertCounts(t, none, func(r *oracle.Recorder) {
			settle()
			r.BeginEvacuation("east")
			exceed()
			r.EndEvacuation("east")
			r.CheckEvacuated("c", "t", bound)
		})
	})
	t.Run("a call during a fault, and soon after", func(t *testing.T) {
		assertCounts(t, none, func(r *oracle.Recorder) {
			settle()
			r.BeginEvacuation("east")
			end := r.BeginFault()
			exceed()
			r.CheckEvacuated("c", "t", bound)
			end()
			r.CheckEvacuated("c", "t", bound)
		})
	})
	t.Run("a call in progress is cut", func(t *testing.T) {
		assertCounts(t, cut, func(r *oracle.Recorder) {
			r.RecordRun("c", 1, "t")
			r.BeginEvacuation("east")
			r.RecordRunEnd("c", "t")
			qt.Check(t, r.CheckInterrupted("c"), qt.IsTrue)
		})
	})
	t.Run("calls that are cut for other reasons", func(t *testing.T) {
		assertCounts(t, none, func(r *oracle.Recorder) {
			r.RecordRun("other domain", 1, "u")
			r.RecordRun("ended before", 1, "t")
			r.RecordRunEnd("ended before", "t")
			r.RecordRun("crash", 1, "t")
			r.BeginEvacuation("east")
			r.RecordBreakOff("t")
			r.RecordRun("began after", 1, "t")
			for _, call := range []string{"other domain", "ended before", "crash", "began after", "unknown"} {
				qt.Check(t, r.CheckInterrupted(call), qt.IsFalse, qt.Commentf("%s", call))
			}
		})
	})
}
