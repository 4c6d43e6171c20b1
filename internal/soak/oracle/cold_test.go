package oracle_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/oracle"
)

// Guards against an oracle that misses calls beyond the bound on cold targets, and against one that
// reports calls which are allowed.
func TestColdTargets(t *testing.T) {
	const (
		bound     = 3
		coldTime  = 5 * time.Second
		learnTime = 10 * time.Millisecond
	)
	assertCount := func(t *testing.T, want int, play func(r *oracle.Recorder)) {
		t.Helper()
		t.Parallel()
		r := oracle.New()
		play(r)
		_, counts := r.Violations()
		qt.Assert(t, counts[oracle.TooManyToCold], qt.Equals, want)
	}
	call := func(p *oracle.ColdPeriod, n int) {
		for range n {
			p.RecordCall("c")
		}
	}
	learn := func() { time.Sleep(learnTime + 350*time.Millisecond) }
	settle := func() { time.Sleep(oracle.SettleTime + learnTime) }
	t.Run("as many as are allowed, in each second", func(t *testing.T) {
		assertCount(t, 0, func(r *oracle.Recorder) {
			p := r.BeginColdStart("t", bound, coldTime)
			call(p, bound)
			time.Sleep(1100 * time.Millisecond)
			call(p, bound)
		})
	})
	t.Run("a cold start during a fault", func(t *testing.T) {
		assertCount(t, 2, func(r *oracle.Recorder) {
			defer r.BeginFault()()
			call(r.BeginColdStart("t", bound, coldTime), bound+2)
		})
	})
	t.Run("after the cold time", func(t *testing.T) {
		assertCount(t, 0, func(r *oracle.Recorder) {
			p := r.BeginColdStart("t", bound, learnTime)
			learn()
			call(p, bound+1)
			qt.Check(t, p.Left(), qt.Equals, time.Duration(0))
		})
	})
	t.Run("a listed target, before and after routers must know", func(t *testing.T) {
		assertCount(t, 1, func(r *oracle.Recorder) {
			settle()
			p := r.BeginCold("t", bound, coldTime, learnTime)
			call(p, bound+1)
			learn()
			call(p, bound+1)
		})
	})
	t.Run("a listed target with a fault since then", func(t *testing.T) {
		assertCount(t, 0, func(r *oracle.Recorder) {
			settle()
			p := r.BeginCold("t", bound, coldTime, learnTime)
			r.BeginFault()()
			learn()
			call(p, bound+1)
		})
	})
	t.Run("calls that a network fault has delayed, and later ones", func(t *testing.T) {
		assertCount(t, 1, func(r *oracle.Recorder) {
			p := r.BeginColdStart("t", bound, coldTime)
			end := p.BeginNetworkFault()
			call(p, bound+1)
			end()
			call(p, bound+1)
			time.Sleep(1100 * time.Millisecond)
			call(p, bound+1)
		})
	})
}
