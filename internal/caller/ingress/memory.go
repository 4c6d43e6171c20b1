package ingress

import "sync/atomic"

// memoryBound counts and bounds what requests occupy, in bytes. It is safe for concurrent use.
type memoryBound struct {
	limit      int64
	used, peak atomic.Int64
}

// tryAcquire takes a number of bytes if there is room for them, and reports whether it did.
func (m *memoryBound) tryAcquire(bytes int64) bool {
	for {
		used := m.used.Load()
		if bytes > m.limit-used {
			return false
		}
		if m.used.CompareAndSwap(used, used+bytes) {
			m.raisePeak(used + bytes)
			return true
		}
	}
}

func (m *memoryBound) release(bytes int64) { m.used.Add(-bytes) }

func (m *memoryBound) raisePeak(used int64) {
	for peak := m.peak.Load(); used > peak; peak = m.peak.Load() {
		if m.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// BodyMemory returns what request bodies and large heads occupy, and the most that they have
// occupied since the start, in bytes.
func (s *Server) BodyMemory() (used, peak int64) {
	return s.bodyMemory.used.Load(), s.bodyMemory.peak.Load()
}
