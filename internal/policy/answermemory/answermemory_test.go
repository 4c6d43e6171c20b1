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

// Guards against slow callers that use up the memory at the cost of callers that keep up (issue 44).
func TestAnswersOfSlowCallersAreEndedFirst(t *testing.T) {
	const step = 8 << 10
	t.Run("before those of the target that occupies the most", func(t *testing.T) {
		f := newFixture(t)
		keepsUp, slow := f.begin(faulty), f.beginBacklog(sound)
		f.Assert(keepsUp.Hold(large), qt.IsTrue)
		f.Assert(slow.Add(step), qt.IsTrue)
		f.Assert(f.begin(faulty).Hold(large+2*step), qt.IsTrue)
		f.assertEnded(sound, 1)
		f.Assert(keepsUp.Hold(large), qt.IsTrue)
	})
	t.Run("the largest before the others", func(t *testing.T) {
		f := newFixture(t)
		small, largest, middle := f.beginBacklog(sound), f.beginBacklog(otherFaulty), f.beginBacklog(faulty)
		f.Assert(small.Add(step) && largest.Add(6*step) && middle.Add(2*step), qt.IsTrue)
		f.Assert(f.begin(sound).Hold(large), qt.IsTrue)
		f.assertEnded(otherFaulty, 1)
		f.Assert(small.Add(step) && middle.Add(step), qt.IsTrue)
	})
	t.Run("as many as are needed", func(t *testing.T) {
		f := newFixture(t)
		first, second := f.beginBacklog(faulty), f.beginBacklog(faulty)
		f.Assert(first.Add(5*step) && second.Add(6*step), qt.IsTrue)
		f.Assert(f.begin(sound).Hold(limit), qt.IsTrue)
		f.assertEnded(faulty, 2)
	})
	t.Run("but not for another one that is larger", func(t *testing.T) {
		f := newFixture(t)
		small, largest := f.beginBacklog(sound), f.beginBacklog(faulty)
		f.Assert(small.Add(4*step) && largest.Add(6*step), qt.IsTrue)
		f.Assert(largest.Add(4*step), qt.IsFalse)
		f.assertEnded(faulty, 1)
		f.Assert(small.Add(step), qt.IsTrue)
	})
	t.Run("and none that keeps up for one of them", func(t *testing.T) {
		f := newFixture(t)
		keepsUp := f.begin(faulty)
		f.Assert(keepsUp.Hold(limit), qt.IsTrue)
		f.Assert(f.beginBacklog(sound).Add(2*step), qt.IsFalse)
		f.assertEnded(sound, 1)
		f.Assert(keepsUp.Hold(limit), qt.IsTrue)
	})
	t.Run("also one that becomes slow, and not one that has caught up", func(t *testing.T) {
		f := newFixture(t)
		slow, caughtUp := f.begin(sound), f.begin(otherFaulty)
		f.Assert(slow.Hold(large) && caughtUp.Hold(large), qt.IsTrue)
		slow.SetSlow(true)
		caughtUp.SetSlow(true)
		caughtUp.SetSlow(false)
		f.Assert(f.begin(faulty).Hold(large), qt.IsTrue)
		f.assertEnded(sound, 1)
	})
	t.Run("and what their callers take is free for others", func(t *testing.T) {
		f := newFixture(t)
		slow := f.beginBacklog(sound)
		for range 100 {
			f.Assert(slow.Add(11*step), qt.IsTrue)
			slow.Remove(11 * step)
		}
		f.Assert(f.budget.Used(), qt.Equals, int64(0))
		f.Assert(slow.Add(step), qt.IsTrue)
		slow.Release()
		f.Assert(f.budget.Used(), qt.Equals, int64(0))
		f.Assert(f.ended, qt.HasLen, 0)
	})
}

// Guards against many backlogs whose free parts together exceed the memory.
func TestNoPartOfBacklogIsFree(t *testing.T) {
	f := newFixture(t)
	f.Assert(f.beginBacklog(sound).Add(1), qt.IsTrue)
	f.Assert(f.budget.Used() > 0, qt.IsTrue)
}

// beginBacklog is begin for the backlog of a slow caller.
func (f *fixture) beginBacklog(target uint64) *answermemory.Answer {
	var a *answermemory.Answer
	a = f.budget.BeginBacklog(target, func() { time.AfterFunc(releaseDelay, func() { a.Release() }) })
	return a
}

// Guards against memory that counts for the wrong owner, or for one that has given it back.
func TestUsageByOwner(t *testing.T) {
	const kb = 1 << 10
	f := newFixture(t)
	assertUsage := func(slow, slowPeak, others, othersPeak int64) {
		f.Helper()
		gotSlow, gotOthers := f.budget.Usage()
		f.Assert(gotSlow, qt.Equals, answermemory.Usage{Bytes: slow * kb, Peak: slowPeak * kb})
		f.Assert(gotOthers, qt.Equals, answermemory.Usage{Bytes: others * kb, Peak: othersPeak * kb})
		f.Assert(f.budget.Used(), qt.Equals, (slow+others)*kb)
	}
	ignore := func() {}
	answer, backlog := f.budget.Begin(sound, ignore), f.budget.BeginBacklog(sound, ignore)
	f.Assert(answer.Hold(answermemory.FreeBytes+40*kb), qt.IsTrue)
	f.Assert(backlog.Add(16*kb), qt.IsTrue)
	assertUsage(16, 16, 40, 40)
	answer.SetSlow(true)
	assertUsage(56, 56, 0, 40)
	answer.SetSlow(false)
	backlog.Remove(8 * kb)
	assertUsage(8, 56, 40, 40)
	f.Assert(answer.Hold(answermemory.FreeBytes+8*kb), qt.IsTrue)
	assertUsage(8, 56, 8, 40)
	// The larger one of two slow answers is ended, and counts until it is released.
	other := f.budget.BeginBacklog(sound, ignore)
	f.Assert(other.Add(80*kb), qt.IsTrue)
	f.Assert(answer.Hold(answermemory.FreeBytes+16*kb), qt.IsFalse)
	assertUsage(88, 88, 8, 40)
	other.Remove(40 * kb)
	other.Release()
	backlog.Release()
	answer.Release()
	assertUsage(0, 88, 0, 40)
}
