package edge

import (
	"context"
	"sync"
	"time"

	"hickoryrock/internal/platform/objects"
)

const (
	// stallCheckInterval is how often the router checks whether the process was stalled.
	// After a delay of more than stallThreshold, silence of a target is no evidence against
	// it.
	stallCheckInterval = 50 * time.Millisecond
	stallThreshold     = 150 * time.Millisecond
	// recentStall is how long after a stall the process still learns of what happened in it.
	recentStall = 100 * time.Millisecond
)

// stalls knows when the process did not run for a while. It is safe for concurrent use.
type stalls struct {
	mu sync.Mutex
	// last is when the process was last seen to run. The last stall went from from to to.
	last, from, to time.Time
}

func newStalls(now time.Time) *stalls { return &stalls{last: now} }

// observe records that the process runs and returns how late it did so.
func (s *stalls) observe(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := now.Sub(s.last) - stallCheckInterval
	if late > stallThreshold {
		s.from, s.to = s.last, now
	}
	s.last = now
	return max(late, 0)
}

// earliest returns when something may have happened that the process learns of now.
func (s *stalls) earliest(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case now.Sub(s.last) > stallCheckInterval+stallThreshold:
		return s.last
	case now.Sub(s.to) < recentStall:
		return s.from
	}
	return now
}

// detectStalls notices when the process did not run for a while and then restarts the
// silence timers of all targets.
func (r *Router) detectStalls(ctx context.Context) {
	r.stalls.observe(time.Now()) // A stop signal may have come since New.
	for objects.Sleep(ctx, stallCheckInterval) == nil {
		now := time.Now()
		if late := r.stalls.observe(now); late > stallThreshold {
			r.log.Warn().Dur("late-ms", late).Msg("process was stalled")
			r.tracker.ResetSilence(now)
		}
	}
}
