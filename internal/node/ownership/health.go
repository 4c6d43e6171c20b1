package ownership

import "sync"

// downThreshold is the number of consecutive failed load reports after which a target
// counts as down.
const downThreshold = 3

// health tracks which owned targets cannot take work: their load reports failed several
// times in a row, or say that they are leaving or serve another version than the desired
// one. It is safe for concurrent use.
type health struct {
	mu          sync.Mutex
	failures    map[string]int
	unavailable map[string]bool
}

func newHealth() *health {
	return &health{failures: map[string]int{}, unavailable: map[string]bool{}}
}

// record records the result of one load report.
func (h *health) record(target string, responded, serves bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !responded {
		h.failures[target]++
		return
	}
	delete(h.failures, target)
	if serves {
		delete(h.unavailable, target)
		return
	}
	h.unavailable[target] = true
}

// isDown reports whether a target takes no work.
func (h *health) isDown(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unavailable[target] || h.failures[target] >= downThreshold
}

// retain removes the targets that are no longer owned.
func (h *health) retain(owned map[string]ownedTarget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.failures {
		if _, ok := owned[name]; !ok {
			delete(h.failures, name)
		}
	}
	for name := range h.unavailable {
		if _, ok := owned[name]; !ok {
			delete(h.unavailable, name)
		}
	}
}
