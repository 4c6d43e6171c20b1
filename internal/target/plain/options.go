package plain

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/target/transport"
)

const (
	defaultTimeout           = 2 * time.Second
	defaultAtMostOnceTimeout = 10 * time.Second
	defaultMaxResponseBytes  = 1 << 20
)

type (
	// Options holds the settings of a client.
	Options struct {
		// Timeout bounds an idempotent call.
		Timeout time.Duration
		// AtMostOnceTimeout bounds an at-most-once call.
		AtMostOnceTimeout time.Duration
		MaxResponseBytes  int64
		Transport         []transport.Option
		Metrics           *metrics.Set
	}

	// Option changes a setting.
	Option func(*Options)
)

func newOptions(opts ...Option) Options {
	o := Options{
		Timeout: defaultTimeout, AtMostOnceTimeout: defaultAtMostOnceTimeout,
		MaxResponseBytes: defaultMaxResponseBytes, Metrics: metrics.GetDefaultSet(),
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithTimeout sets the timeout for idempotent calls.
func WithTimeout(d time.Duration) Option {
	return func(o *Options) { o.Timeout = d }
}

// WithAtMostOnceTimeout sets the timeout for at-most-once calls.
func WithAtMostOnceTimeout(d time.Duration) Option {
	return func(o *Options) { o.AtMostOnceTimeout = d }
}

// WithMaxResponseBytes sets the maximum size of a response body.
func WithMaxResponseBytes(n int64) Option {
	return func(o *Options) { o.MaxResponseBytes = n }
}

// WithTransport adds options for the connection pool.
func WithTransport(opts ...transport.Option) Option {
	return func(o *Options) { o.Transport = append(o.Transport, opts...) }
}

// WithMetrics sets the metrics registry.
func WithMetrics(s *metrics.Set) Option {
	return func(o *Options) { o.Metrics = s }
}
