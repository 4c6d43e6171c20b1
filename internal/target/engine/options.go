package engine

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/target/transport"
)

const (
	defaultFirstEventTimeout = 10 * time.Second
	defaultEventTimeout      = 5 * time.Second
	defaultControlTimeout    = time.Second
	defaultMoveTimeout       = 30 * time.Second
	defaultMaxResumes        = 3
	defaultBackoff           = 50 * time.Millisecond
	defaultMaxResponseBytes  = 8 << 20
)

type (
	// Options holds the settings of a client.
	Options struct {
		// FirstEventTimeout bounds the wait for the first event on a connection.
		FirstEventTimeout time.Duration
		// EventTimeout bounds the wait between events.
		EventTimeout time.Duration
		// ControlTimeout bounds control requests, such as load reports and cancels.
		ControlTimeout time.Duration
		// MoveTimeout bounds the move of one conversation's KV cache.
		MoveTimeout time.Duration
		// MaxResumes bounds the consecutive connections that may fail without an event.
		MaxResumes int
		// Backoff is multiplied by the square of the number of failed connections so far to get the
		// delay before the next one.
		Backoff time.Duration
		// MaxResponseBytes bounds the total size of the events of a non-streaming response.
		MaxResponseBytes int
		Transport        []transport.Option
		Metrics          *metrics.Set
	}

	// Option changes a setting.
	Option func(*Options)
)

func newOptions(opts ...Option) Options {
	o := Options{
		FirstEventTimeout: defaultFirstEventTimeout, EventTimeout: defaultEventTimeout,
		ControlTimeout: defaultControlTimeout, MoveTimeout: defaultMoveTimeout,
		MaxResumes: defaultMaxResumes, Backoff: defaultBackoff,
		MaxResponseBytes: defaultMaxResponseBytes, Metrics: metrics.GetDefaultSet(),
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithEventTimeouts sets the timeouts for the first event and between events.
func WithEventTimeouts(first, between time.Duration) Option {
	return func(o *Options) { o.FirstEventTimeout, o.EventTimeout = first, between }
}

// WithControlTimeout sets the timeout for control requests, such as load reports and cancels.
func WithControlTimeout(d time.Duration) Option {
	return func(o *Options) { o.ControlTimeout = d }
}

// WithMoveTimeout sets the timeout for moving one conversation's KV cache.
func WithMoveTimeout(d time.Duration) Option {
	return func(o *Options) { o.MoveTimeout = d }
}

// WithMaxResumes sets how many consecutive connections may fail without an event, and the base
// delay between them.
func WithMaxResumes(n int, backoff time.Duration) Option {
	return func(o *Options) { o.MaxResumes, o.Backoff = n, backoff }
}

// WithTransport adds options for the connection pool.
func WithTransport(opts ...transport.Option) Option {
	return func(o *Options) { o.Transport = append(o.Transport, opts...) }
}

// WithMetrics sets the metrics registry.
func WithMetrics(s *metrics.Set) Option {
	return func(o *Options) { o.Metrics = s }
}
