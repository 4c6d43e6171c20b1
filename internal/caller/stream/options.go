package stream

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	defaultHeartbeat    = 5 * time.Second
	defaultWriteTimeout = 10 * time.Second
)

type (
	// Options are the settings of a relay.
	Options struct {
		// Heartbeat is the interval without events after which a heartbeat is sent.
		Heartbeat time.Duration
		// WriteTimeout bounds each write to a caller that does not read.
		WriteTimeout time.Duration
		Metrics      *metrics.Set
	}

	// Option sets one of the Options.
	Option func(*Options)
)

func newOptions(opts ...Option) Options {
	o := Options{Heartbeat: defaultHeartbeat, WriteTimeout: defaultWriteTimeout, Metrics: metrics.GetDefaultSet()}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithHeartbeat sets the interval without events after which a heartbeat is sent.
func WithHeartbeat(d time.Duration) Option {
	return func(o *Options) { o.Heartbeat = d }
}

// WithWriteTimeout bounds each write to a caller that does not read.
func WithWriteTimeout(d time.Duration) Option {
	return func(o *Options) { o.WriteTimeout = d }
}

// WithMetrics sets the metrics set in which counters are registered.
func WithMetrics(s *metrics.Set) Option {
	return func(o *Options) { o.Metrics = s }
}
