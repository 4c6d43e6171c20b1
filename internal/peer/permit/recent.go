package permit

import (
	"sync"
	"time"
)

// recentReleaseTTL is longer than an acquire can be in transit on a connection.
const recentReleaseTTL = 30 * time.Second

// recentReleases remembers recently released permits. If a release overtakes the
// acquire of the same permit, the acquire is refused, because a permit granted then
// would never be released.
type recentReleases struct {
	mu        sync.Mutex
	rotatedAt time.Time
	current   map[string]struct{}
	previous  map[string]struct{}
}

// add remembers permits for at least recentReleaseTTL.
func (r *recentReleases) add(now time.Time, permits []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || now.Sub(r.rotatedAt) > recentReleaseTTL {
		r.previous, r.current, r.rotatedAt = r.current, make(map[string]struct{}), now
	}
	for _, p := range permits {
		r.current[p] = struct{}{}
	}
}

// contains reports whether a permit was released recently.
func (r *recentReleases) contains(permitID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.current[permitID]; ok {
		return true
	}
	_, ok := r.previous[permitID]
	return ok
}
