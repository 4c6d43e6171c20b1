package retries

import (
	"slices"
	"sync"
	"time"
)

// shareMemory is how long a share counts routers that are no longer heard. It is several of the
// windows in which the platform counts retries.
const shareMemory = time.Minute

type (
	// Share divides the burst of retries that a fleet may make among its routers. Routers that
	// do not hear each other for a time must not each take a larger part: they exist all the
	// same. It is safe for concurrent use.
	Share struct {
		mu sync.Mutex
		// sizes holds the sizes that may be the largest of the last shareMemory, oldest and
		// largest first.
		sizes []fleetSize
	}

	fleetSize struct {
		routers int
		at      time.Time
	}
)

// Burst returns this router's part of the fleet's burst, at least one retry, with the number of
// routers that it hears now, itself included.
func (s *Share) Burst(fleetBurst float64, routers int, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes = slices.DeleteFunc(s.sizes, func(f fleetSize) bool {
		return f.routers <= routers || now.Sub(f.at) > shareMemory
	})
	s.sizes = append(s.sizes, fleetSize{routers, now})
	return max(fleetBurst/float64(s.sizes[0].routers), 1)
}
