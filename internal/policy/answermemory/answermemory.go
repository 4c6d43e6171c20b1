// Package answermemory bounds the memory that the unfinished answers of all targets occupy in a
// router. At the bound, answers whose callers read slowly are ended first, the largest of them
// before the others, and then answers of the target that occupies the most.
package answermemory

import (
	"slices"
	"sync"
	"time"
)

const (
	// FreeBytes is what one answer may occupy without a share of the bound. A router has as many
	// calls as it has descriptors, and answers are small.
	FreeBytes = 8 << 10
	// stepBytes is the unit of what an answer occupies beyond FreeBytes.
	stepBytes = 8 << 10
	// maxWait is how long an answer waits for the memory of those that are ended.
	maxWait = time.Second
)

type (
	// Budget is the memory for the answers of all targets. It is safe for concurrent use.
	Budget struct {
		limit int64
		onEnd func(Ended)

		mu sync.Mutex
		// slowUsage is what the answers occupy whose callers read slowly, otherUsage what all others
		// do, and ending what those of both do that are ended and have not been released.
		slowUsage, otherUsage Usage
		ending                int64
		byTarget              map[uint64]*holdings
		// slow holds the answers whose callers read slowly, without those that are ended.
		slow map[*Answer]struct{}
		// released is closed and replaced when an answer gives memory back.
		released chan struct{}
	}

	// Usage is what answers occupy, and the most that they have occupied since the start, in bytes.
	Usage struct{ Bytes, Peak int64 }

	// Ended describes an answer that was ended because the memory was used up.
	Ended struct {
		Target uint64
		// SlowCaller is set if it was ended because its caller reads slowly.
		SlowCaller bool
		// Bytes is what the answer occupied, TargetBytes what all answers of its target did, and
		// UsedBytes what all answers did.
		Bytes, TargetBytes, UsedBytes int64
	}

	// Answer is the memory of one answer. A nil Answer has no bound.
	Answer struct {
		budget *Budget
		target uint64
		end    func()
		// free is what the answer may occupy without a share of the bound, in bytes.
		free int
		// bytes, slow and ended are guarded by the budget's lock.
		bytes int64
		slow  bool
		ended bool
	}

	// holdings is what the answers of one target occupy beyond FreeBytes, without those that are
	// ended or whose callers read slowly.
	holdings struct {
		bytes   int64
		answers []*Answer
	}
)

// New returns a budget of limit bytes. onEnd is called for each answer that is ended, with the
// budget's lock held.
func New(limit int64, onEnd func(Ended)) *Budget {
	return &Budget{
		limit: limit, onEnd: onEnd, byTarget: make(map[uint64]*holdings), slow: make(map[*Answer]struct{}),
		released: make(chan struct{}),
	}
}

// Used returns what all answers occupy beyond FreeBytes each, in bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used()
}

// used is Used with the lock held.
func (b *Budget) used() int64 { return b.slowUsage.Bytes + b.otherUsage.Bytes }

// Usage returns what the answers occupy whose callers read slowly, and what all others do, as Used
// counts it.
func (b *Budget) Usage() (slow, others Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slowUsage, b.otherUsage
}

// Begin returns the memory of an answer of a target. If end is called, the answer must be ended:
// its memory is needed for others. end is called with the budget's lock held.
func (b *Budget) Begin(target uint64, end func()) *Answer {
	return &Answer{budget: b, target: target, end: end, free: FreeBytes}
}

// BeginBacklog returns the memory of the part of a target's answer that a slow caller has yet to
// take. No part of it is free, since all callers may read slowly at once. end is as for Begin.
func (b *Budget) BeginBacklog(target uint64, end func()) *Answer {
	return &Answer{budget: b, target: target, end: end, slow: true}
}

// Hold changes what the answer occupies to a number of bytes. It waits for a bounded time until
// answers that are ended have given their memory back, and returns false if the answer must be
// ended because there is no memory for it.
func (a *Answer) Hold(bytes int) bool {
	if a == nil {
		return true
	}
	return a.resize(func() int64 { return steps(bytes-a.free) - a.bytes })
}

// Add is Hold for a number of bytes besides those that the answer occupies. Unlike Hold, it may be
// used while another goroutine calls Remove.
func (a *Answer) Add(bytes int) bool {
	return a.resize(func() int64 { return steps(bytes) })
}

// Remove gives a part of the memory back that Add has returned.
func (a *Answer) Remove(bytes int) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	less := min(steps(bytes), a.bytes)
	if a.ended {
		a.bytes -= less
		a.budget.ending -= less
		a.budget.count(a, -less)
	} else {
		a.budget.set(a, a.bytes-less)
	}
	a.budget.announceRelease()
}

// SetSlow changes whether the answer's caller reads slowly.
func (a *Answer) SetSlow(slow bool) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended || a.slow == slow {
		return
	}
	b.unlist(a)
	bytes := a.bytes
	b.count(a, -bytes)
	a.bytes, a.slow = 0, slow
	b.count(a, bytes)
	b.list(a, bytes)
	a.bytes = bytes
}

// steps returns a number of bytes rounded up to whole steps.
func steps(bytes int) int64 {
	if bytes <= 0 {
		return 0
	}
	return (int64(bytes) + stepBytes - 1) / stepBytes * stepBytes
}

// resize changes what the answer occupies by the number of bytes that more returns with the lock
// held. It returns false if the answer must be ended.
func (a *Answer) resize(moreBytes func() int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for deadline := time.Now().Add(maxWait); !a.ended; b.awaitRelease(time.Until(deadline)) {
		more := moreBytes()
		if more <= 0 || b.used()+more <= b.limit {
			b.set(a, a.bytes+more)
			return true
		}
		if !b.makeRoom(a, more) || !time.Now().Before(deadline) {
			b.endAnswer(a)
			return false
		}
	}
	return false
}

// makeRoom ends answers until there will be room for more bytes of an answer: first those whose
// callers read slowly, then those of the targets that occupy the most. It returns false if the answer
// itself is to be ended. The lock must be held.
func (b *Budget) makeRoom(a *Answer, more int64) bool {
	for b.used()-b.ending+more > b.limit {
		if len(b.slow) > 0 || a.slow {
			slowest := b.largestSlow(a, more)
			if slowest == a {
				return false
			}
			b.endAnswer(slowest)
			continue
		}
		largest := b.largest(a.target, more)
		if largest == a.target {
			return false
		}
		b.endAnswer(largestAnswer(b.byTarget[largest].answers))
	}
	return true
}

// largestSlow returns the answer to end first among those whose callers read slowly: the largest,
// so that few are ended. The one that asks for more bytes counts with them if it is slow. The lock
// must be held.
func (b *Budget) largestSlow(asking *Answer, more int64) *Answer {
	var largest *Answer
	most := int64(-1)
	if asking.slow {
		largest, most = asking, asking.bytes+more
	}
	for a := range b.slow {
		if a.bytes > most {
			largest, most = a, a.bytes
		}
	}
	return largest
}

// awaitRelease waits until an answer has given memory back, for a bounded time. The lock must be
// held; it is not while it waits.
func (b *Budget) awaitRelease(limit time.Duration) {
	released := b.released
	b.mu.Unlock()
	defer b.mu.Lock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	}
}

// Release gives the memory back. The answer may be used no more.
func (a *Answer) Release() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.bytes > 0 {
		if a.ended {
			b.ending -= a.bytes
		} else {
			b.unlist(a)
		}
		b.count(a, -a.bytes)
		b.announceRelease()
	}
	a.bytes, a.ended = 0, true
}

// announceRelease wakes the answers that wait for memory. The lock must be held.
func (b *Budget) announceRelease() {
	close(b.released)
	b.released = make(chan struct{})
}

// largest returns the target whose answers would occupy the most if those of asking occupied more.
// The lock must be held.
func (b *Budget) largest(asking uint64, more int64) uint64 {
	target, most := asking, more
	if h := b.byTarget[asking]; h != nil {
		most += h.bytes
	}
	for t, h := range b.byTarget {
		if h.bytes > most || (h.bytes == most && t != asking && t < target) {
			target, most = t, h.bytes
		}
	}
	return target
}

func largestAnswer(answers []*Answer) *Answer {
	return slices.MaxFunc(answers, func(x, y *Answer) int { return int(x.bytes - y.bytes) })
}

// endAnswer ends an answer, which occupies its memory until it is released. The lock must be held.
func (b *Budget) endAnswer(a *Answer) {
	targetBytes := int64(0)
	if h := b.byTarget[a.target]; h != nil {
		targetBytes = h.bytes
	}
	b.onEnd(Ended{Target: a.target, SlowCaller: a.slow, Bytes: a.bytes, TargetBytes: targetBytes, UsedBytes: b.used()})
	b.unlist(a)
	b.ending += a.bytes
	a.ended = true
	a.end()
}

// set changes what an answer occupies. The lock must be held.
func (b *Budget) set(a *Answer, bytes int64) {
	if bytes == 0 {
		b.unlist(a)
	} else {
		b.list(a, bytes)
	}
	b.count(a, bytes-a.bytes)
	a.bytes = bytes
}

// count adds bytes to what an answer is counted with. The lock must be held.
func (b *Budget) count(a *Answer, bytes int64) {
	usage := &b.otherUsage
	if a.slow {
		usage = &b.slowUsage
	}
	usage.Bytes += bytes
	usage.Peak = max(usage.Peak, usage.Bytes)
}

// list enters what an answer will occupy, among the answers of its target or those of slow callers.
// The lock must be held.
func (b *Budget) list(a *Answer, bytes int64) {
	if bytes == 0 {
		return
	}
	if a.slow {
		b.slow[a] = struct{}{}
		return
	}
	h := b.byTarget[a.target]
	if h == nil {
		h = new(holdings)
		b.byTarget[a.target] = h
	}
	if a.bytes == 0 {
		h.answers = append(h.answers, a)
	}
	h.bytes += bytes - a.bytes
}

// unlist removes an answer from those that may be ended. The lock must be held.
func (b *Budget) unlist(a *Answer) {
	delete(b.slow, a)
	if a.slow {
		return
	}
	h := b.byTarget[a.target]
	if h == nil || a.bytes == 0 {
		return
	}
	h.answers = slices.DeleteFunc(h.answers, func(other *Answer) bool { return other == a })
	h.bytes -= a.bytes
	if len(h.answers) == 0 {
		delete(b.byTarget, a.target)
	}
}
