package targetlimits

import "time"

const defaultReportInterval = 100 * time.Millisecond

type (
	// Option changes a tracker's settings.
	Option func(*Options)

	// Options holds the settings of a tracker.
	Options struct {
		// ReportInterval returns the time between two reports of a router.
		ReportInterval func() time.Duration
	}
)

// WithReportInterval sets the time between two reports of a router.
func WithReportInterval(interval func() time.Duration) Option {
	return func(o *Options) { o.ReportInterval = interval }
}

func newOptions(opts []Option) Options {
	o := Options{ReportInterval: func() time.Duration { return defaultReportInterval }}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
