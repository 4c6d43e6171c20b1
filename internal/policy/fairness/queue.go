package fairness

import (
	"slices"
	"time"
)

type (
	// Queue is a bounded weighted fair queue: it serves workspaces in
	// proportion to their weights. It is not safe for concurrent use.
	Queue[T any] struct {
		options Options
		flows   map[string]*flow[T]
		size    int
		// virtualTime is the finish tag of the item served last.
		virtualTime float64
	}

	// Item is one waiting request.
	Item[T any] struct {
		Workspace string
		// Priority is the workspace's priority, from 0; its weight is Priority+1.
		Priority int
		// Cost is in load units.
		Cost  uint32
		Value T

		queuedAt  time.Time
		finishTag float64
	}

	// flow holds the waiting items of one workspace, in order.
	flow[T any] struct {
		items         []Item[T]
		lastFinishTag float64
	}
)

// NewQueue returns an empty queue.
func NewQueue[T any](opts ...Option) *Queue[T] {
	return &Queue[T]{options: newOptions(opts), flows: make(map[string]*flow[T])}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	return q.size
}

// Push adds an item. If the queue is full, it removes and returns the item to
// refuse, with true: the last one of the workspace with the longest backlog
// relative to its weight, which can be the new item.
func (q *Queue[T]) Push(now time.Time, i Item[T]) (Item[T], bool) {
	f, ok := q.flows[i.Workspace]
	if !ok {
		f = &flow[T]{}
		q.flows[i.Workspace] = f
	}
	i.queuedAt = now
	i.finishTag = max(q.virtualTime, f.lastFinishTag) + float64(max(i.Cost, 1))/weight(i.Priority)
	f.lastFinishTag = i.finishTag
	f.items = append(f.items, i)
	q.size++
	if q.size <= q.options.Capacity {
		return Item[T]{}, false
	}
	return q.evict(), true
}

// Pop removes and returns the next item to serve, or false if the queue is
// empty.
func (q *Queue[T]) Pop() (Item[T], bool) {
	var next *flow[T]
	for _, f := range q.flows {
		if next == nil || f.items[0].servedBefore(next.items[0]) {
			next = f
		}
	}
	if next == nil {
		return Item[T]{}, false
	}
	i := next.items[0]
	q.virtualTime = i.finishTag
	q.remove(next, 0)
	return i, true
}

// Expired removes and returns the items that have waited longer than MaxWait.
// They were not executed.
func (q *Queue[T]) Expired(now time.Time) []Item[T] {
	var expired []Item[T]
	for _, f := range q.flows {
		for len(f.items) > 0 && now.Sub(f.items[0].queuedAt) > q.options.MaxWait {
			expired = append(expired, f.items[0])
			q.remove(f, 0)
		}
	}
	slices.SortFunc(expired, func(a, b Item[T]) int { return a.queuedAt.Compare(b.queuedAt) })
	return expired
}

// evict removes the last item of the workspace with the longest backlog
// relative to its weight.
func (q *Queue[T]) evict() Item[T] {
	var longest *flow[T]
	for _, f := range q.flows {
		if longest == nil || hasLongerBacklog(f, longest) {
			longest = f
		}
	}
	i := longest.items[len(longest.items)-1]
	longest.lastFinishTag = i.finishTag - float64(max(i.Cost, 1))/weight(i.Priority)
	q.remove(longest, len(longest.items)-1)
	return i
}

func (q *Queue[T]) remove(f *flow[T], index int) {
	workspace := f.items[index].Workspace
	f.items = slices.Delete(f.items, index, index+1)
	q.size--
	// A new flow's tags start at virtualTime, so a workspace gains nothing by
	// being idle.
	if len(f.items) == 0 {
		delete(q.flows, workspace)
	}
}

func hasLongerBacklog[T any](a, b *flow[T]) bool {
	la := float64(len(a.items)) / weight(a.items[0].Priority)
	lb := float64(len(b.items)) / weight(b.items[0].Priority)
	if la != lb {
		return la > lb
	}
	return b.items[0].servedBefore(a.items[0])
}

// servedBefore orders items by finish tag. Workspace names break ties, so that
// the order does not depend on map iteration.
func (i Item[T]) servedBefore(j Item[T]) bool {
	if i.finishTag != j.finishTag {
		return i.finishTag < j.finishTag
	}
	return i.Workspace < j.Workspace
}

// weight returns the share of service of a priority relative to priority 0.
func weight(priority int) float64 {
	return float64(1 + max(priority, 0))
}
