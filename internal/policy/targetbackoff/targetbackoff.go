// Package targetbackoff knows which targets have turned a request of this router away and asked
// it to send nothing for a time. Targets are incarnations, so that a restart ends the wait.
// Callers pass the current time to every function.
package targetbackoff

import (
	"sync"
	"time"
)

const (
	// maxWait bounds a wait, so that a wrong value does not keep a target out of use for good.
	// It is far above what targets that recover ask for.
	maxWait = time.Hour
	// maxTargets bounds the number of targets that are waited for.
	maxTargets = 4096
)

// Tracker holds the times until which targets want no requests. It is safe for concurrent use.
type Tracker struct {
	opts Options

	mu sync.Mutex
	// until holds the end of each wait by target.
	until map[uint64]time.Time
}

// NewTracker returns an empty tracker.
func NewTracker(opts ...Option) *Tracker {
	return &Tracker{opts: newOptions(opts), until: make(map[uint64]time.Time)}
}

// Observe records that a target wants no requests for a time from now. Answers may overtake one
// another, so the wait that ends last applies. A wait of zero or less has no effect.
func (t *Tracker) Observe(target uint64, wait time.Duration, now time.Time) {
	if wait <= 0 {
		return
	}
	wait = min(wait, maxWait)
	if t.extend(target, now.Add(wait), now) {
		t.opts.OnWait(target, wait)
	}
}

// extend sets the end of a target's wait unless a later one is known, and reports whether the
// target was not waited for before.
func (t *Tracker) extend(target uint64, until, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.until[target]
	if !until.After(old) {
		return false
	}
	t.until[target] = until
	if len(t.until) > maxTargets {
		t.prune(now)
	}
	return !old.After(now)
}

// prune removes the waits that are over, or the one that ends first if there is none. The lock
// must be held.
func (t *Tracker) prune(now time.Time) {
	var first uint64
	var firstEnd time.Time
	for target, until := range t.until {
		if !until.After(now) {
			delete(t.until, target)
			continue
		}
		if firstEnd.IsZero() || until.Before(firstEnd) {
			first, firstEnd = target, until
		}
	}
	if len(t.until) > maxTargets {
		delete(t.until, first)
	}
}

// Remaining returns the time until a target may be sent to, or zero.
func (t *Tracker) Remaining(target uint64, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.until[target].Sub(now), 0)
}

// Waits returns the time until each target that is waited for may be sent to.
func (t *Tracker) Waits(now time.Time) map[uint64]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	waits := make(map[uint64]time.Duration)
	for target, until := range t.until {
		if until.After(now) {
			waits[target] = until.Sub(now)
		}
	}
	return waits
}
