package transport

import "time"

const (
	defaultDialTimeout   = 2 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultIdlePerTarget = 4
)

type (
	// Options holds the settings of a pool.
	Options struct {
		DialTimeout   time.Duration
		IdleTimeout   time.Duration
		IdlePerTarget int
	}

	// Option changes a setting.
	Option func(*Options)
)

func newOptions(opts ...Option) Options {
	o := Options{
		DialTimeout: defaultDialTimeout, IdleTimeout: defaultIdleTimeout, IdlePerTarget: defaultIdlePerTarget,
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithDialTimeout sets the timeout for establishing a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(o *Options) { o.DialTimeout = d }
}

// WithIdleTimeout sets how long an idle connection is kept.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *Options) { o.IdleTimeout = d }
}

// WithIdlePerTarget sets the maximum number of idle connections to each target.
func WithIdlePerTarget(n int) Option {
	return func(o *Options) { o.IdlePerTarget = n }
}
