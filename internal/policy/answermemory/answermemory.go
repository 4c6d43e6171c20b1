// Package answermemory bounds the memory that the unfinished answers of all targets occupy in a
// router. At the bound, answers of the target that occupies the most are ended first.
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
		// used is what all answers occupy, ending what those of them do that are ended and have
		// not been released.
		used, ending int64
		byTarget     map[uint64]*holdings
		// released is closed and replaced when an answer gives memory back.
		released chan struct{}
	}

	// Ended describes an answer that was ended because the memory was used up.
	Ended struct {
		Target uint64
		// Bytes is what the answer occupied, TargetBytes what all answers of its target did, and
		// UsedBytes what all answers did.
		Bytes, TargetBytes, UsedBytes int64
	}

	// Answer is the memory of one answer. A nil Answer has no bound.
	Answer struct {
		budget *Budget
		target uint64
		end    func()
		// bytes and ended are guarded by the budget's lock.
		bytes int64
		ended bool
	}

	// holdings is what the answers of one target occupy beyond FreeBytes, without those that are
	// ended.
	holdings struct {
		bytes   int64
		answers []*Answer
	}
)

// New returns a budget of limit bytes. onEnd is called for each answer that is ended, with the
// budget's lock held.
func New(limit int64, onEnd func(Ended)) *Budget {
	return &Budget{limit: limit, onEnd: onEnd, byTarget: make(map[uint64]*holdings), released: make(chan struct{})}
}

// Used returns what all answers occupy beyond FreeBytes each, in bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Begin returns the memory of an answer of a target. If end is called, the answer must be ended:
// its memory is needed for answers of other targets. end is called with the budget's lock held.
func (b *Budget) Begin(target uint64, end func()) *Answer {
	return &Answer{budget: b, target: target, end: end}
}

// Hold changes what the answer occupies to a number of bytes. It waits for a bounded time until
// answers that are ended have given their memory back, and returns false if the answer must be
// ended because there is no memory for it.
func (a *Answer) Hold(bytes int) bool {
	if a == nil {
		return true
	}
	need := int64(0)
	if bytes > FreeBytes {
		need = (int64(bytes-FreeBytes) + stepBytes - 1) / stepBytes * stepBytes
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for deadline := time.Now().Add(maxWait); !a.ended; b.awaitRelease(time.Until(deadline)) {
		more := need - a.bytes
		if more <= 0 || b.used+more <= b.limit {
			b.set(a, need)
			return true
		}
		if !b.makeRoom(a, more) || !time.Now().Before(deadline) {
			b.endAnswer(a)
			return false
		}
	}
	return false
}

// makeRoom ends answers of the targets that occupy the most until there will be room for more bytes
// of an answer. It returns false if its own target is among them. The lock must be held.
func (b *Budget) makeRoom(a *Answer, more int64) bool {
	for b.used-b.ending+more > b.limit {
		largest := b.largest(a.target, more)
		if largest == a.target {
			return false
		}
		b.endAnswer(largestAnswer(b.byTarget[largest].answers))
	}
	return true
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
		b.used -= a.bytes
		close(b.released)
		b.released = make(chan struct{})
	}
	a.bytes, a.ended = 0, true
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
	b.onEnd(Ended{Target: a.target, Bytes: a.bytes, TargetBytes: targetBytes, UsedBytes: b.used})
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
	b.used += bytes - a.bytes
	a.bytes = bytes
}

// list enters among the answers of a target what one of them will occupy. The lock must be held.
func (b *Budget) list(a *Answer, bytes int64) {
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

// unlist removes an answer from those of its target. The lock must be held.
func (b *Budget) unlist(a *Answer) {
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
