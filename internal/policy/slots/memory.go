package slots

// memory is a map with a bounded number of entries: if it is full, a new entry displaces the
// oldest one. It forgets nothing by time, because a late message can be as old as a freeze of
// its receiver.
type memory[K comparable, V any] struct {
	values map[K]V
	// order holds the keys, the oldest at index oldest once it is full.
	order  []K
	oldest int
	limit  int
}

func newMemory[K comparable, V any](limit int) *memory[K, V] {
	return &memory[K, V]{limit: max(limit, 1), values: make(map[K]V)}
}

func (m *memory[K, V]) get(key K) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

// add remembers a value. The first value of a key remains until it is displaced.
func (m *memory[K, V]) add(key K, value V) {
	if _, ok := m.values[key]; ok {
		return
	}
	m.values[key] = value
	if len(m.order) < m.limit {
		m.order = append(m.order, key)
		return
	}
	delete(m.values, m.order[m.oldest])
	m.order[m.oldest] = key
	m.oldest = (m.oldest + 1) % m.limit
}
