package slots

import (
	"cmp"
	"slices"
	"time"
)

const (
	// absenceTime and minAbsenceAnswers are the time and the number of a target's answers
	// over which it must state fewer calls than it has leases. Calls and releases that are
	// on their way explain a difference for a few milliseconds.
	absenceTime       = 50 * time.Millisecond
	minAbsenceAnswers = 4
	// lostAge is the multiple of the usual time after which the release of a lease can be
	// taken for lost.
	lostAge = 4
	// minOwnAnswers is the number of answers in a row that state a call from which targets are
	// assumed to count the answered one.
	minOwnAnswers = 100
)

// absence is the least difference between the leases of a target and the calls that it stated,
// over a time. The zero value is empty.
type absence struct {
	since   time.Time
	answers int
	least   int
}

func (a *absence) record(missing int, now time.Time) {
	if a.answers == 0 {
		a.since, a.least = now, missing
	}
	a.answers++
	a.least = min(a.least, missing)
}

// take returns the number of calls that the target did not have for a sufficient time, and
// starts anew. It returns 0 before that.
func (a *absence) take(now time.Time) int {
	if a.answers < minAbsenceAnswers || now.Sub(a.since) < absenceTime {
		return 0
	}
	missing := max(a.least, 0)
	*a = absence{}
	return missing
}

// ownCalls returns how many calls a target states of the one that it answers. A target that
// does not count it states none as soon as it has no other.
func (p *Pool) ownCalls() int {
	if p.answersWithCalls >= minOwnAnswers {
		return 1
	}
	return 0
}

// recordLoad uses the calls that a target stated in the answer of one that it still holds.
func (p *Pool) recordLoad(t *target, stated int) {
	p.answersWithCalls++
	if stated == 0 {
		p.answersWithCalls = 0
	}
	// The answered call is one of those that are held.
	t.others, t.othersAt = float64(max(stated-t.held, 0)), p.now
	t.absent.record(t.held-1+p.ownCalls()-stated, p.now)
}

// freeLost frees the places of leases whose release seems to be lost: the oldest of a target
// that has stated for some time that it has fewer calls. Otherwise one release in a hundred
// that is lost takes half of the places of a service with calls of 60 ms and deadlines of 4 s.
// The leases themselves remain until their end, so that their requests are not granted again.
func (p *Pool) freeLost(t *target) {
	missing := t.absent.take(p.now)
	if missing == 0 {
		return
	}
	var old []*lease
	for _, l := range p.leases {
		usual := float64(p.usage.usualLease(l.priority)) * max(t.slowness(p.now), 1)
		if l.target == t && !l.isLost && p.now.Sub(l.grantedAt) > time.Duration(lostAge*usual) {
			old = append(old, l)
		}
	}
	slices.SortFunc(old, func(a, b *lease) int {
		return cmp.Or(a.grantedAt.Compare(b.grantedAt), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Serial, b.Serial))
	})
	for _, l := range old[:min(missing, len(old))] {
		l.isLost = true
		t.held--
		t.lost++
	}
}
