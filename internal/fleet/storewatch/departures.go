package storewatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// departureMemory is how long an incarnation of a target that has left is remembered. It
	// is well above the age of a copy from which the store may come back.
	departureMemory = 2 * time.Minute
	// maxDepartures bounds the incarnations that are remembered.
	maxDepartures = 4096
)

type (
	// Departure is an incarnation of a target that has left or is leaving.
	Departure struct {
		// Target is the hash of the incarnation.
		Target uint64
		// Drained is set if the target has announced that it leaves, which it never takes
		// back. Otherwise its entry was removed, which may also happen to a live target.
		Drained bool
		// Era is the last era of the store in which that was seen, At the time.
		Era uint64
		At  time.Time
	}

	// departures holds the latest departure of each incarnation.
	departures map[uint64]Departure
)

// record adds a departure, or merges it with what is known of the incarnation.
func (d departures) record(n Departure) {
	old, known := d[n.Target]
	if known {
		n.Drained = n.Drained || old.Drained
		n.Era = max(n.Era, old.Era)
		if old.At.After(n.At) {
			n.At = old.At
		}
	}
	d[n.Target] = n
	if len(d) > maxDepartures {
		oldest := d.recent()[maxDepartures:]
		for _, o := range oldest {
			delete(d, o.Target)
		}
	}
}

// retract removes what an entry contradicts that shows the incarnation ready in an era of
// the store; isWrite is set if the entry was written in that era. An entry that was not may
// be from a copy that is older than the departure.
func (d departures) retract(target, era uint64, isWrite bool) {
	old, known := d[target]
	if known && (old.Era >= era || (isWrite && !old.Drained)) {
		delete(d, target)
	}
}

// appliesTo reports whether an incarnation that is listed as ready in an era of the store is
// known to have left before. hasLapsed is set once the entry of a target that has really gone
// would have expired in this era.
func (d departures) appliesTo(target, era uint64, hasLapsed bool) bool {
	old, known := d[target]
	return known && old.Era < era && (old.Drained || !hasLapsed)
}

// recent returns the departures, the latest first.
func (d departures) recent() []Departure {
	list := make([]Departure, 0, len(d))
	for _, departure := range d {
		list = append(list, departure)
	}
	slices.SortFunc(list, func(a, b Departure) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target))
	})
	return list
}

// prune removes departures that are no longer needed.
func (d departures) prune(now time.Time) {
	for target, departure := range d {
		if now.Sub(departure.At) > departureMemory {
			delete(d, target)
		}
	}
}
