// Package permits limits the load of targets. The owner of a target keeps a
// ledger of the requests in flight on it and grants a permit for each new one.
package permits

import "time"

const (
	// Granted means that the holder may send the request within the grant term.
	Granted Verdict = iota + 1
	// Full means that the request would take the target over its bound.
	Full
	// Leaving means that the target is draining.
	Leaving
	// NotOwner means that this router does not own the target or has no valid
	// lease.
	NotOwner
	// Contested means that a former owner may still be granting permits.
	Contested
)

type (
	// Verdict is the owner's decision on a permit request.
	Verdict uint8

	// Target is one server whose load is bounded.
	Target struct {
		Name    string
		Service string
		// Weight is the target's relative speed; 0 counts as 1.
		Weight float64
		// Leaving is set while the target drains and gets no new permits.
		Leaving bool
		// NoReports says that the target never reports its load. Its bound is
		// not exact after a change of owner.
		NoReports bool
	}

	// Permit is the right to have one request in flight on a target.
	Permit struct {
		Holder string
		ID     string
		// Weight is in load units.
		Weight uint32
	}

	// Bound is the load that a target of a service may carry.
	Bound struct {
		// Factor is the multiple of the mean load that no target may exceed.
		Factor float64
		// Floor is the load, in load units, that a target may always take.
		Floor int
		// MaxInFlight bounds the requests in flight on one target; 0 means no
		// limit.
		MaxInFlight int
	}

	// Report is a target's own measurement of its load.
	Report struct {
		Usage
		// SampledAt is on the owner's clock, and not later than the actual
		// sample.
		SampledAt time.Time
	}

	// Handover is a former owner's ledger of one target.
	Handover struct {
		// Epoch repeats the epoch of the adoption for which it was requested.
		Epoch   uint64
		Permits []Permit
		// Foreign is an upper bound on what is in flight in addition to the
		// permits.
		Foreign Usage
	}

	// Sum is the load of those targets of a service that one router owns.
	Sum struct {
		Load    uint64
		Targets int
		Weight  float64
	}
)

// String returns the verdict in kebab case.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "granted"
	case Full:
		return "full"
	case Leaving:
		return "leaving"
	case NotOwner:
		return "not-owner"
	case Contested:
		return "contested"
	default:
		return "unspecified"
	}
}
