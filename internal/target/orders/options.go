package orders

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	defaultPeriod        = 2 * time.Second
	defaultLoadTimeout   = 5 * time.Minute
	defaultMaxFleetLoads = 16
)

type (
	// Option changes a Controller's settings.
	Option func(*Options)

	// Options holds the settings of a Controller.
	Options struct {
		// Period is the time between two reconciliations.
		Period time.Duration
		// LoadTimeout is the time within which an engine must report that it applied an order.
		LoadTimeout time.Duration
		// MaxFleetLoads bounds how many engines of the whole fleet load weights at the same time.
		MaxFleetLoads int
		// Now returns the current time.
		Now func() time.Time
		// Logger receives failed reconciliations.
		Logger zerolog.Logger
	}
)

// WithPeriod sets the time between two reconciliations.
func WithPeriod(d time.Duration) Option {
	return func(o *Options) { o.Period = d }
}

// WithLoadTimeout sets the time within which an engine must report that it applied an order.
func WithLoadTimeout(d time.Duration) Option {
	return func(o *Options) { o.LoadTimeout = d }
}

// WithMaxFleetLoads sets how many engines of the whole fleet may load weights at the same time.
func WithMaxFleetLoads(n int) Option {
	return func(o *Options) { o.MaxFleetLoads = n }
}

// WithNow sets the function that returns the current time.
func WithNow(now func() time.Time) Option {
	return func(o *Options) { o.Now = now }
}

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

func newOptions(opts []Option) Options {
	o := Options{
		Period: defaultPeriod, LoadTimeout: defaultLoadTimeout, MaxFleetLoads: defaultMaxFleetLoads,
		Now: time.Now, Logger: zerolog.Nop(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
