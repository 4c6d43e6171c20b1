package slots

import "time"

const (
	defaultCapacity  = 256
	defaultRetention = 10 * time.Second
)

type (
	// Option changes a pool's settings.
	Option func(*Options)

	// Options holds the settings of a pool.
	Options struct {
		// Capacity is the largest number of waiting requests.
		Capacity int
		// Retention is how long the end of a request is remembered, so that a late copy of
		// its messages is recognized.
		Retention time.Duration
	}
)

// WithCapacity sets the largest number of waiting requests.
func WithCapacity(n int) Option {
	return func(o *Options) { o.Capacity = n }
}

// WithRetention sets how long the end of a request is remembered.
func WithRetention(d time.Duration) Option {
	return func(o *Options) { o.Retention = d }
}

func newOptions(opts []Option) Options {
	o := Options{Capacity: defaultCapacity, Retention: defaultRetention}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
