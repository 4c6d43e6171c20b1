package exchange

import "time"

const (
	// defaultDialTimeout is many times a round trip between zones and well under an objective.
	defaultDialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout holds for targets that do not state their own.
	defaultIdleTimeout = 4 * time.Second
	// defaultIdlePerTarget covers the calls that one router has in flight at a busy target.
	defaultIdlePerTarget = 16
)

type (
	// Option changes a pool's settings.
	Option func(*Options)

	// Options are the settings of a pool.
	Options struct {
		// DialTimeout bounds the time until a connection is there.
		DialTimeout time.Duration
		// IdleTimeout is how long a connection is kept without a call.
		IdleTimeout time.Duration
		// IdlePerTarget bounds the idle connections to one target.
		IdlePerTarget int
	}
)

// WithDialTimeout bounds the time until a connection is there.
func WithDialTimeout(d time.Duration) Option {
	return func(o *Options) { o.DialTimeout = d }
}

// WithIdleTimeout sets how long a connection is kept without a call.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *Options) { o.IdleTimeout = d }
}

// WithIdlePerTarget bounds the idle connections to one target.
func WithIdlePerTarget(n int) Option {
	return func(o *Options) { o.IdlePerTarget = n }
}

func newOptions(opts []Option) Options {
	o := Options{
		DialTimeout: defaultDialTimeout, IdleTimeout: defaultIdleTimeout, IdlePerTarget: defaultIdlePerTarget,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
