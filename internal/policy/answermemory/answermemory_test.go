package answermemory_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/answermemory"
)

const (
	faulty uint64 = iota + 1
	otherFaulty
	sound
)

const (
	// releaseDelay is the time after which an answer that is ended is released.
	releaseDelay = 10 * time.Millisecond

	limit = 100 << 10
	large = answermemory.FreeBytes + 40<<10
)

type fixture struct {
	*qt.C
	budget *answermemory.Budget
	// ended counts the answers that were ended, by target.
	ended map[uint64]int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), ended: make(map[uint64]int)}
	f.budget = answermemory.New(limit, func(e answermemory.Ended) { f.ended[e.Target]++ })
	return f
}

// begin begins an answer that is released soon after it is ended.
func (f *fixture) begin(target uint64) *answermemory.Answer {
	var a *answermemory.Answer
	a = f.budget.Begin(target, func() { time.AfterFunc(releaseDelay, func() { a.Release() }) })
	return a
}

func (f *fixture) assertEnded(target uint64, count int) {
	f.Helper()
	f.Assert(f.ended, qt.DeepEquals, map[uint64]int{target: count})
}

// Guards against a router that runs out of memory by the sum of bounded answers (LOST, issue 40).
func TestAnswersShareTheLimit(t *testing.T) {
	t.Run("small ones are free", func(t *testing.T) {
		f := newFixture(t)
		for range 1000 {
			f.Assert(f.begin(sound).Hold(answermemory.FreeBytes), qt.IsTrue)
		}
		f.Assert(f.budget.Used(), qt.Equals, int64(0))
	})
	t.Run("a target that alone needs more gets no more", func(t *testing.T) {
		f := newFixture(t)
		f.Assert(f.begin(faulty).Hold(large), qt.IsTrue)
		f.Assert(f.begin(faulty).Hold(large), qt.IsTrue)
		third, started := f.budget.Begin(faulty, func() {}), time.Now()
		f.Assert(third.Hold(large), qt.IsFalse)
		f.Assert(time.Since(started) < 200*time.Millisecond, qt.IsTrue) // It does not wait for others.
		f.Assert(third.Hold(1), qt.IsFalse)
		f.assertEnded(faulty, 1)
		f.Assert(f.budget.Used() <= limit, qt.IsTrue)
	})
	t.Run("an answer of another target ends one of the target that occupies the most", func(t *testing.T) {
		f := newFixture(t)
		answers := []*answermemory.Answer{f.begin(faulty), f.begin(faulty)}
		for _, a := range answers {
			f.Assert(a.Hold(large), qt.IsTrue)
		}
		f.Assert(f.begin(sound).Hold(large), qt.IsTrue)
		f.assertEnded(faulty, 1)
		f.Assert(answers[0].Hold(large) && answers[1].Hold(large), qt.IsFalse)
		f.Assert(f.budget.Used() <= limit, qt.IsTrue)
	})
	t.Run("but not before that one is released", func(t *testing.T) {
		f := newFixture(t)
		stuck := f.budget.Begin(faulty, func() {})
		f.Assert(stuck.Hold(limit), qt.IsTrue)
		f.Assert(f.begin(sound).Hold(large), qt.IsFalse)
		f.Assert(f.budget.Used() <= limit, qt.IsTrue)
		stuck.Release()
		f.Assert(f.begin(sound).Hold(large), qt.IsTrue)
	})
	t.Run("what an answer gives back is free for others", func(t *testing.T) {
		f := newFixture(t)
		first, second := f.begin(faulty), f.begin(otherFaulty)
		f.Assert(first.Hold(large), qt.IsTrue)
		f.Assert(second.Hold(large), qt.IsTrue)
		f.Assert(first.Hold(0), qt.IsTrue)
		second.Release()
		f.Assert(f.budget.Used(), qt.Equals, int64(0))
		f.Assert(f.begin(sound).Hold(limit), qt.IsTrue)
		f.Assert(f.ended, qt.HasLen, 0)
	})
}
