package slots

import (
	"slices"
	"time"
)

// maxWaitShare is the part of the time until its deadline that a request may wait behind
// others.
const maxWaitShare = 0.5

// waiter is a request that waits.
type waiter struct {
	Request
	arrivedAt time.Time
	sequence  uint64
}

// overdueAt returns the time from which a request goes before others.
func (w *waiter) overdueAt() time.Time {
	return w.arrivedAt.Add(time.Duration(maxWaitShare * float64(w.Deadline.Sub(w.arrivedAt))))
}

func (w *waiter) isOverdue(now time.Time) bool { return !now.Before(w.overdueAt()) }

// isServedBefore reports whether a waiting request is granted a place before another one.
func (p *Pool) isServedBefore(a, b *waiter) bool {
	overdueA, overdueB := a.isOverdue(p.now), b.isOverdue(p.now)
	switch {
	case overdueA != overdueB:
		return overdueA
	case overdueA:
		return a.overdueAt().Before(b.overdueAt())
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	}
	if lateA, lateB := p.isLate(a), p.isLate(b); lateA != lateB {
		return lateB
	}
	if shareA, shareB := p.usage.grants(a.Workspace, p.now), p.usage.grants(b.Workspace, p.now); shareA != shareB {
		return shareA < shareB
	}
	if !a.Objective.Equal(b.Objective) {
		return a.Objective.Before(b.Objective)
	}
	return a.sequence < b.sequence
}

// isLate reports whether a request would miss its latency objective if it were granted now.
func (p *Pool) isLate(w *waiter) bool {
	return p.now.Add(p.usage.usual(w.Priority, p.now)).After(w.Objective)
}

// next returns the first waiting request for which a target has room, and that target.
func (p *Pool) next() (*waiter, *target) {
	if !slices.ContainsFunc(p.listed, func(t *target) bool { return t.hasRoom(p.now) }) {
		return nil, nil
	}
	var first *waiter
	var target *target
	for _, w := range p.waiting {
		if first != nil && !p.isServedBefore(w, first) {
			continue
		}
		if t := p.choose(&w.Request); t != nil {
			first, target = w, t
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
	var shed *waiter
	for _, w := range p.waiting {
		if shed == nil || waiting[w.Workspace] > waiting[shed.Workspace] ||
			(waiting[w.Workspace] == waiting[shed.Workspace] && p.isShedBefore(w, shed)) {
			shed = w
		}
	}
	return shed
}

func (p *Pool) isShedBefore(a, b *waiter) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return p.isServedBefore(b, a)
}

func (p *Pool) indexWaiting(k Key) int {
	return slices.IndexFunc(p.waiting, func(w *waiter) bool { return w.Key == k })
}

func (p *Pool) removeWaiting(k Key) {
	if i := p.indexWaiting(k); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}
