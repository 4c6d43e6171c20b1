package fairness

import "time"

const (
	defaultTerm          = 6 * time.Second
	defaultContestTerm   = 12 * time.Second
	defaultRenewInterval = 2 * time.Second
	defaultCapacity      = 256
	defaultMaxWait       = time.Second
	defaultHeadroom      = 2
)

type (
	// Option sets an option.
	Option func(*Options)

	// Options are the settings of pools, shares and queues.
	Options struct {
		// Term is how long a router may use an allotment after asking for it.
		Term time.Duration
		// ContestTerm is how long a new owner leaves allotments as they are; it
		// must exceed the sum of Term and the lease of a former owner.
		ContestTerm time.Duration
		// RenewInterval is the time after which a router asks again.
		RenewInterval time.Duration
		// Headroom is the number of requests that a router asks for in excess
		// of those in flight.
		Headroom int
		// Capacity is the largest number of items in a queue.
		Capacity int
		// MaxWait is the longest that an item waits in a queue.
		MaxWait time.Duration
	}
)

// WithTerm sets how long a router may use an allotment after asking for it.
func WithTerm(d time.Duration) Option {
	return func(o *Options) { o.Term = d }
}

// WithContestTerm sets how long a new owner leaves allotments as they are.
func WithContestTerm(d time.Duration) Option {
	return func(o *Options) { o.ContestTerm = d }
}

// WithRenewInterval sets the time after which a router asks again.
func WithRenewInterval(d time.Duration) Option {
	return func(o *Options) { o.RenewInterval = d }
}

// WithHeadroom sets the number of requests that a router asks for in excess of
// those in flight.
func WithHeadroom(n int) Option {
	return func(o *Options) { o.Headroom = n }
}

// WithCapacity sets the largest number of items in a queue.
func WithCapacity(n int) Option {
	return func(o *Options) { o.Capacity = n }
}

// WithMaxWait sets the longest that an item waits in a queue.
func WithMaxWait(d time.Duration) Option {
	return func(o *Options) { o.MaxWait = d }
}

func newOptions(opts []Option) Options {
	o := Options{
		Term:          defaultTerm,
		ContestTerm:   defaultContestTerm,
		RenewInterval: defaultRenewInterval,
		Headroom:      defaultHeadroom,
		Capacity:      defaultCapacity,
		MaxWait:       defaultMaxWait,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
