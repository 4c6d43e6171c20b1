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
		// Announced is set if the target has said so in an answer. That applies in all eras,
		// and no entry of the incarnation takes it back.
		Announced bool
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
		n.Announced = n.Announced || old.Announced
		n.Era = max(n.Era, old.Era)
		if old.At.After(n.At) {
			n.At = old.At
		}
	}
	d[n.Target] = n
	if len(d) > maxDepartures {
		oldest := d.list()[maxDepartures:]
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
	if known && !old.Announced && (old.Era >= era || (isWrite && !old.Drained)) {
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

// isAnnounced reports whether an incarnation has said in an answer that it leaves.
func (d departures) isAnnounced(target uint64) bool { return d[target].Announced }

// list returns the departures, the announced ones first and then the latest.
func (d departures) list() []Departure {
	list := make([]Departure, 0, len(d))
	for _, departure := range d {
		list = append(list, departure)
	}
	slices.SortFunc(list, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), b.At.Compare(a.At), cmp.Compare(a.Target, b.Target))
	})
	return list
}

func (d Departure) rank() int {
	if d.Announced {
		return 1
	}
	return 0
}

// prune removes departures that are no longer needed. An announced one is kept as long as the
// incarnation is listed.
func (d departures) prune(now time.Time, isListed func(target uint64) bool) {
	for target, departure := range d {
		switch {
		case now.Sub(departure.At) <= departureMemory:
		case departure.Announced && isListed(target):
			departure.At = now
			d[target] = departure
		default:
			delete(d, target)
		}
	}
}
