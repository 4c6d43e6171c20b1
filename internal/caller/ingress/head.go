package ingress

const (
	// freeHeadBytes is what the head of a request may occupy without a share of the bound of the
	// memory of requests.
	freeHeadBytes = 6 << 10
	// headStepBytes is the unit of what a large head takes.
	headStepBytes = 4 << 10
)

// headMemory is the memory that the head of one request occupies.
type headMemory struct {
	total *memoryBound
	// held is in bytes.
	held int64
}

// hold reports whether there is memory for a head that occupies a number of bytes.
func (m *headMemory) hold(bytes int) bool {
	if bytes <= freeHeadBytes {
		return true
	}
	need := (int64(bytes) + headStepBytes - 1) / headStepBytes * headStepBytes
	if need <= m.held {
		return true
	}
	if !m.total.tryAcquire(need - m.held) {
		return false
	}
	m.held = need
	return true
}

func (m *headMemory) release() {
	m.total.release(m.held)
	m.held = 0
}
