package http1client

import "time"

const (
	// defaultDialTimeout is many round trips between failure domains and well below the
	// latency objective.
	defaultDialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout applies to targets that do not send a Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// defaultIdlePerTarget covers the concurrent calls of one router to a busy target.
	defaultIdlePerTarget = 16
)

type (
	// Option changes a pool's settings.
	Option func(*Options)

	// Options holds the settings of a pool.
	Options struct {
		// DialTimeout bounds the time to establish a connection.
		DialTimeout time.Duration
		// IdleTimeout is how long an idle connection is kept; a shorter Keep-Alive timeout of the
		// target takes precedence.
		IdleTimeout time.Duration
		// IdlePerTarget bounds the idle connections to one target.
		IdlePerTarget int
	}
)

// WithDialTimeout sets the timeout for establishing a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(o *Options) { o.DialTimeout = d }
}

// WithIdleTimeout sets how long an idle connection is kept.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *Options) { o.IdleTimeout = d }
}

// WithIdlePerTarget sets the maximum number of idle connections to one target.
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
