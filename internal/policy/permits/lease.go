package permits

import (
	"sync"
	"time"
)

type (
	// lease limits the time in which a router may grant permits.
	lease struct {
		mu    sync.Mutex
		state leaseState
	}

	leaseState struct {
		end time.Time
		// startedAt is when the lease was last confirmed after a lapse.
		startedAt time.Time
		// generation counts the lapses.
		generation uint64
	}
)

// confirm extends the lease, or starts it again after a lapse.
func (l *lease) confirm(now time.Time, term time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.state.end) {
		l.state.generation++
		l.state.startedAt = now
	}
	l.state.end = now.Add(term)
}

// read returns the state of the lease and whether it is valid.
func (l *lease) read(now time.Time) (leaseState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, !now.After(l.state.end)
}
