package slots

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaitShare is the part of the time until its deadline that a request may wait behind
	// others.
	maxWaitShare = 0.5
	// lateMargin is the multiple of a call's usual duration that must be left of its latency
	// objective for it to count as able to be on time.
	lateMargin = 1.5
)

type (
	// waiter is a request that waits.
	waiter struct {
		Request
		arrivedAt time.Time
		// overdueAt is the time from which the request goes before others.
		overdueAt time.Time
		sequence  uint64
	}

	// rank is the place of a waiting request in the order of service at one time.
	rank struct {
		class    class
		priority int
		// share is the number of recent grants of the workspace.
		share    int
		due      time.Time
		sequence uint64
	}

	// class orders requests before their urgency.
	class uint8
)

const (
	// overdue requests have waited for maxWaitShare of the time until their deadline.
	overdue class = iota
	// punctual requests can still meet their latency objective.
	punctual
	// late requests cannot.
	late
)

func newWaiter(r Request, sequence uint64, now time.Time) *waiter {
	r.Excluded = slices.Clone(r.Excluded)
	if r.Objective.IsZero() || r.Objective.After(r.Deadline) {
		r.Objective = r.Deadline
	}
	wait := time.Duration(maxWaitShare * float64(r.Deadline.Sub(now)))
	return &waiter{Request: r, arrivedAt: now, overdueAt: now.Add(wait), sequence: sequence}
}

// compare returns a negative number if a request of rank r is served before one of rank s.
func (r *rank) compare(s *rank) int {
	if r.class == overdue && s.class == overdue {
		return cmp.Or(r.due.Compare(s.due), cmp.Compare(r.sequence, s.sequence))
	}
	return cmp.Or(
		cmp.Compare(r.class, s.class), cmp.Compare(r.priority, s.priority), cmp.Compare(r.share, s.share),
		r.due.Compare(s.due), cmp.Compare(r.sequence, s.sequence),
	)
}

func (p *Pool) rank(w *waiter) rank {
	r := rank{
		class: punctual, priority: w.Priority, share: p.usage.grants(w.Workspace, p.now), due: w.Objective, sequence: w.sequence,
	}
	switch {
	case !p.now.Before(w.overdueAt):
		r.class, r.due = overdue, w.overdueAt
	case !p.canBeOnTime(w, 0):
		r.class = late
	}
	return r
}

// canBeOnTime reports whether a request can meet its latency objective after a wait.
func (p *Pool) canBeOnTime(w *waiter, wait time.Duration) bool {
	usual := time.Duration(lateMargin * float64(p.usage.usual(w.Priority)))
	return !p.now.Add(wait + usual).After(w.Objective)
}

// next returns the first waiting request for which a target has room, and that target.
func (p *Pool) next() (*waiter, *target) {
	if !slices.ContainsFunc(p.listed, func(t *target) bool { return t.hasRoom(p.now) }) {
		return nil, nil
	}
	var first *waiter
	var target *target
	var best rank
	for _, w := range p.waiting {
		r := p.rank(w)
		if first != nil && r.compare(&best) >= 0 {
			continue
		}
		if t := p.choose(&w.Request); t != nil {
			first, target, best = w, t, r
		}
	}
	return first, target
}

// toShed returns the request to refuse when too many wait: the least urgent one of the
// workspace with the most waiting, and of several the one that would be served last.
func (p *Pool) toShed() *waiter {
	waiting := make(map[uint64]int)
	for _, w := range p.waiting {
		waiting[w.Workspace]++
	}
	return slices.MaxFunc(p.waiting, func(a, b *waiter) int {
		rankA, rankB := p.rank(a), p.rank(b)
		return cmp.Or(
			cmp.Compare(waiting[a.Workspace], waiting[b.Workspace]), cmp.Compare(a.Priority, b.Priority), rankA.compare(&rankB),
		)
	})
}

func (p *Pool) indexWaiting(k Key) int {
	return slices.IndexFunc(p.waiting, func(w *waiter) bool { return w.Key == k })
}

// removeWaiting removes a request if it waits.
func (p *Pool) removeWaiting(k Key) {
	if i := p.indexWaiting(k); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}
