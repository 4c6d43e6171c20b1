package drain

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	defaultPollInterval     = time.Second
	defaultIdleReports      = 3
	defaultMaxParallelMoves = 4
	defaultTimeout          = 10 * time.Minute
)

type (
	// Options holds the settings of a drainer.
	Options struct {
		// PollInterval is the time between load reports.
		PollInterval time.Duration
		// IdleReports is how many idle load reports in a row mean that the engine is empty.
		// IdleReports times PollInterval must exceed the lag of the reports.
		IdleReports int
		// MaxParallelMoves bounds the number of conversations that move at the same time.
		MaxParallelMoves int
		// Timeout bounds the drain of one engine started by Watch.
		Timeout time.Duration
		Metrics *metrics.Set
	}

	// Option changes a setting.
	Option func(*Options)
)

func newOptions(opts ...Option) Options {
	o := Options{
		PollInterval: defaultPollInterval, IdleReports: defaultIdleReports, MaxParallelMoves: defaultMaxParallelMoves, Timeout: defaultTimeout,
		Metrics: metrics.GetDefaultSet(),
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithPolling sets the time between load reports and how many idle ones in a row mean that the
// engine is empty.
func WithPolling(d time.Duration, idle int) Option {
	return func(o *Options) { o.PollInterval, o.IdleReports = d, idle }
}

// WithMaxParallelMoves sets how many conversations may move at the same time.
func WithMaxParallelMoves(n int) Option {
	return func(o *Options) { o.MaxParallelMoves = n }
}

// WithTimeout sets the timeout for a drain started by Watch.
func WithTimeout(d time.Duration) Option {
	return func(o *Options) { o.Timeout = d }
}

// WithMetrics sets the metrics registry.
func WithMetrics(s *metrics.Set) Option {
	return func(o *Options) { o.Metrics = s }
}
