package engine

import (
	"container/heap"
	"context"
	"sync"
)

type (
	// scheduler runs up to slots requests at a time and queues the others by priority.
	scheduler struct {
		mu           sync.Mutex
		slots        int
		inFlight     int
		lastSequence int
		queue        waiterHeap
		// onChange is called with mu held after every change of the counts.
		onChange func(inFlight, queued int)
	}

	waiter struct {
		priority int
		sequence int
		index    int
		admitted chan struct{}
	}

	waiterHeap []*waiter
)

// acquire waits for a free slot. It returns false if ctx ends first; then no slot is held.
func (s *scheduler) acquire(ctx context.Context, priority int) bool {
	w := s.enqueue(priority)
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.admitted:
		s.inFlight--
		s.admit()
	default:
		heap.Remove(&s.queue, w.index)
		s.onChange(s.inFlight, len(s.queue))
	}
	return false
}

func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.admit()
}

func (s *scheduler) enqueue(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSequence++
	w := &waiter{priority: priority, sequence: s.lastSequence, admitted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.admit()
	return w
}

// admit starts queued requests while slots are free. The caller holds mu.
func (s *scheduler) admit() {
	for s.inFlight < s.slots && len(s.queue) > 0 {
		w := heap.Pop(&s.queue).(*waiter)
		s.inFlight++
		close(w.admitted)
	}
	s.onChange(s.inFlight, len(s.queue))
}

// Len implements heap.Interface.
func (w waiterHeap) Len() int { return len(w) }

// Less implements heap.Interface. Lower priority values come first; equal ones in order of arrival.
func (w waiterHeap) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].sequence < w[j].sequence
}

// Swap implements heap.Interface.
func (w waiterHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiterHeap) Push(x any) {
	v := x.(*waiter)
	v.index = len(*w)
	*w = append(*w, v)
}

// Pop implements heap.Interface.
func (w *waiterHeap) Pop() any {
	old := *w
	v := old[len(old)-1]
	*w = old[:len(old)-1]
	return v
}
