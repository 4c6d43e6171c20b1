package assignment

import "time"

const (
	// Serving means that the router is not leaving.
	Serving Phase = "serving"
	// Accepting means that the leaving router still accepts calls, because callers may
	// hold unexpired assignments to it.
	Accepting Phase = "accepting"
	// Refusing means that the leaving router refuses new calls as not run, gives the
	// callers another address, and finishes the calls in flight.
	Refusing Phase = "refusing"
	// Done means that the leaving router has no calls in flight and may stop.
	Done Phase = "done"
)

type (
	// Phase is the stage of a router's drain.
	Phase string

	// Drain determines whether a leaving router still accepts calls and when it may
	// stop. It is not safe for concurrent use.
	Drain struct {
		leftAt    time.Time
		refuseAt  time.Time
		acceptFor time.Duration
		// refused is set once the router has been told to refuse calls.
		refused bool
	}
)

// NewDrain returns the drain of a serving router. The options must be those of
// the fleet's Assigners.
func NewDrain(opts ...Option) *Drain {
	o := newOptions(opts...)
	return &Drain{acceptFor: o.propagationTime + o.ttl}
}

// Leave starts the drain; later calls have no effect.
func (d *Drain) Leave(now time.Time) {
	if !d.leftAt.IsZero() {
		return
	}
	d.leftAt = now
	d.refuseAt = now.Add(d.acceptFor)
}

// Phase returns the phase at a time, given the number of calls in flight. Open
// connections without a call do not count. Done follows Refusing only: a router that
// accepts calls may get another one before it stops.
func (d *Drain) Phase(now time.Time, inFlight int) Phase {
	switch {
	case d.leftAt.IsZero():
		return Serving
	case now.Before(d.refuseAt):
		return Accepting
	case inFlight > 0 || !d.refused:
		d.refused = true
		return Refusing
	}
	return Done
}
