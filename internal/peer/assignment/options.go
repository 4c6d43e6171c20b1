package assignment

import "time"

const (
	defaultTTL                = 30 * time.Second
	defaultPropagationTime    = 5 * time.Second
	defaultLocalityPreference = 2
)

type (
	// Option sets one option of an Assigner or a Drain.
	Option func(*options)

	options struct {
		ttl                time.Duration
		propagationTime    time.Duration
		localityPreference float64
	}
)

func newOptions(opts ...Option) options {
	o := options{ttl: defaultTTL, propagationTime: defaultPropagationTime, localityPreference: defaultLocalityPreference}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// TTL sets how long callers may use an assignment; the default is 30 s. It must be
// the same in the whole fleet.
func TTL(d time.Duration) Option {
	return func(o *options) { o.ttl = d }
}

// PropagationTime sets how long the announcement of a leaving router may take to
// reach all other routers; the default is 5 s.
func PropagationTime(d time.Duration) Option {
	return func(o *options) { o.propagationTime = d }
}

// LocalityPreference sets how many times as often a router of the caller's own failure
// domain may be assigned as the least assigned router of the fleet. The default is 2
// and the minimum 1.
func LocalityPreference(n float64) Option {
	return func(o *options) { o.localityPreference = max(n, 1) }
}
