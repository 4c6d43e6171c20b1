package placement

import "sync"

type (
	// Overrides records, for the chats of one home target, which other target a
	// chat has moved to. It holds a bounded number of chats and evicts the
	// oldest first; an evicted one costs a cache miss. It is safe for
	// concurrent use.
	Overrides struct {
		mu    sync.Mutex
		moved map[uint64]string
		// ring holds the keys in the order of their moves.
		ring []uint64
		next int
	}
)

// NewOverrides returns an empty record for at most capacity chats.
func NewOverrides(capacity int) *Overrides {
	return &Overrides{
		moved: make(map[uint64]string, capacity),
		ring:  make([]uint64, 0, max(capacity, 1)),
	}
}

// Get returns the name of the target that a chat moved to.
func (o *Overrides) Get(key uint64) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	target, ok := o.moved[key]
	return target, ok
}

// Put records that a chat moved to a target.
func (o *Overrides) Put(key uint64, target string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.moved[key]; ok {
		o.moved[key] = target
		return
	}
	if len(o.ring) < cap(o.ring) {
		o.ring = append(o.ring, key)
	} else {
		delete(o.moved, o.ring[o.next])
		o.ring[o.next] = key
		o.next = (o.next + 1) % len(o.ring)
	}
	o.moved[key] = target
}

// Delete removes a chat, for example when the target that it moved to is gone.
func (o *Overrides) Delete(key uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.moved, key)
}
