package slots

import "time"

type (
	// memory is a map with a bounded number of entries, each of which is forgotten after
	// the same time. If it is full, a new entry displaces the oldest one.
	memory[K comparable, V any] struct {
		limit  int
		ttl    time.Duration
		values map[K]V
		// order holds the keys by age from index head on.
		order []remembered[K]
		head  int
	}

	remembered[K comparable] struct {
		key K
		at  time.Time
	}
)

func newMemory[K comparable, V any](limit int, ttl time.Duration) *memory[K, V] {
	return &memory[K, V]{limit: limit, ttl: ttl, values: make(map[K]V)}
}

func (m *memory[K, V]) get(key K) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

// add remembers a value. The first value of a key remains until it is forgotten.
func (m *memory[K, V]) add(key K, value V, now time.Time) {
	if _, ok := m.values[key]; ok {
		return
	}
	if len(m.values) >= m.limit {
		m.forgetOldest()
	}
	m.values[key] = value
	m.order = append(m.order, remembered[K]{key, now})
}

// expire forgets the entries that are older than the memory's time.
func (m *memory[K, V]) expire(now time.Time) {
	for m.head < len(m.order) && now.Sub(m.order[m.head].at) > m.ttl {
		m.forgetOldest()
	}
}

func (m *memory[K, V]) forgetOldest() {
	if m.head >= len(m.order) {
		return
	}
	delete(m.values, m.order[m.head].key)
	m.head++
	if m.head > len(m.order)/2 {
		m.order = append(m.order[:0], m.order[m.head:]...)
		m.head = 0
	}
}
