package collect

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	defaultInterval = 5 * time.Second
	defaultTimeout  = 15 * time.Second
)

type (
	// Options are the settings of both the sending and the aggregating side.
	Options struct {
		Log zerolog.Logger
		// Interval is the time between two deliveries of a router, and between two
		// writes of an aggregator.
		Interval time.Duration
		// Timeout bounds one attempt to deliver.
		Timeout time.Duration
		// Now returns the current time.
		Now func() time.Time
	}

	// Option sets one of the Options.
	Option func(*Options)
)

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option {
	return func(o *Options) { o.Log = l }
}

// WithInterval sets the time between two deliveries or writes.
func WithInterval(d time.Duration) Option {
	return func(o *Options) { o.Interval = d }
}

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option {
	return func(o *Options) { o.Now = now }
}

func newOptions(opts ...Option) Options {
	o := Options{Log: zerolog.Nop(), Interval: defaultInterval, Timeout: defaultTimeout, Now: time.Now}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
