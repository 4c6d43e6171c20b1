package permits

import "time"

const (
	defaultLeaseTerm   = 2 * time.Second
	defaultGrantTerm   = time.Second
	defaultContestTerm = 6 * time.Second
	defaultPermitTerm  = 30 * time.Second
	defaultRequestTerm = 15 * time.Minute
	defaultMeanTerm    = 10 * time.Second
)

type (
	// Option sets an option of a Ledger.
	Option func(*Options)

	// Options are the durations that a Ledger uses.
	Options struct {
		// LeaseTerm is how long after the last Confirm an owner may grant
		// permits.
		LeaseTerm time.Duration
		// GrantTerm is how long after asking for a permit a holder may send the
		// request.
		GrantTerm time.Duration
		// ContestTerm is how long a new owner grants no permits; it must exceed
		// the sum of LeaseTerm, GrantTerm and the time to detect a dead router.
		ContestTerm time.Duration
		// PermitTerm is how long a permit lasts without being announced again.
		PermitTerm time.Duration
		// RequestTerm is the longest that a request runs on a target.
		RequestTerm time.Duration
		// MeanTerm is how long a mean is used after it was set.
		MeanTerm time.Duration
	}
)

// WithLeaseTerm sets how long after the last Confirm an owner may grant
// permits.
func WithLeaseTerm(d time.Duration) Option {
	return func(o *Options) { o.LeaseTerm = d }
}

// WithGrantTerm sets how long after asking for a permit a holder may send the
// request.
func WithGrantTerm(d time.Duration) Option {
	return func(o *Options) { o.GrantTerm = d }
}

// WithContestTerm sets how long a new owner grants no permits.
func WithContestTerm(d time.Duration) Option {
	return func(o *Options) { o.ContestTerm = d }
}

// WithPermitTerm sets how long a permit lasts without being announced again.
func WithPermitTerm(d time.Duration) Option {
	return func(o *Options) { o.PermitTerm = d }
}

// WithRequestTerm sets the longest that a request runs on a target.
func WithRequestTerm(d time.Duration) Option {
	return func(o *Options) { o.RequestTerm = d }
}

// WithMeanTerm sets how long a mean is used after it was set.
func WithMeanTerm(d time.Duration) Option {
	return func(o *Options) { o.MeanTerm = d }
}

func newOptions(opts []Option) Options {
	o := Options{
		LeaseTerm:   defaultLeaseTerm,
		GrantTerm:   defaultGrantTerm,
		ContestTerm: defaultContestTerm,
		PermitTerm:  defaultPermitTerm,
		RequestTerm: defaultRequestTerm,
		MeanTerm:    defaultMeanTerm,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
