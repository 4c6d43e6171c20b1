package dispatch

import (
	"sync"
	"time"

	"hickoryrock/internal/caller/outcome"
)

// openDuration is how long a target is skipped after it was unreachable or silent. The
// target's owner detects the failure for the whole fleet; until then, the breaker
// keeps this router's calls away from the target.
const openDuration = 2 * time.Second

// breaker is a circuit breaker for the targets that this router failed to reach recently.
type breaker struct {
	mu        sync.Mutex
	openUntil map[string]time.Time
}

func newBreaker() *breaker {
	return &breaker{openUntil: map[string]time.Time{}}
}

// record updates the breaker with the result of one attempt.
func (b *breaker) record(target string, f *outcome.Failure, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f == nil {
		delete(b.openUntil, target)
		return
	}
	switch f.Reason {
	case outcome.ReasonTargetUnreachable, outcome.ReasonTargetSilent:
		b.openUntil[target] = now.Add(openDuration)
	default:
	}
}

// isOpen reports whether a target is to be skipped.
func (b *breaker) isOpen(target string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.openUntil[target]
	if ok && !now.Before(until) {
		delete(b.openUntil, target)
		return false
	}
	return ok
}
