package platform

import "time"

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	defaultHistoryLimit    = 4096
	defaultVMLag           = 2 * time.Second
)

type (
	// Option modifies the Options of a Server.
	Option func(*Options)

	// Options are the settings of a Server.
	Options struct {
		// WritesPerSecond is the rate limit and burst of writes.
		WritesPerSecond int
		// ReadsPerSecond is the rate limit and burst of reads; an open watch consumes one read
		// per second.
		ReadsPerSecond int
		// HistoryLimit is the number of past changes from which a watch can resume.
		HistoryLimit int
		// VMLag is the delay until a change appears in the list of VMs.
		VMLag time.Duration
		// Now returns the current time; tests replace it.
		Now func() time.Time
	}
)

// WithRates sets the rate limits of writes and reads per second.
func WithRates(writes, reads int) Option {
	return func(o *Options) { o.WritesPerSecond, o.ReadsPerSecond = writes, reads }
}

// WithHistoryLimit sets the number of past changes from which a watch can resume.
func WithHistoryLimit(n int) Option {
	return func(o *Options) { o.HistoryLimit = n }
}

// WithVMLag sets the delay until a change appears in the list of VMs.
func WithVMLag(d time.Duration) Option {
	return func(o *Options) { o.VMLag = d }
}

// WithNow sets the function that returns the current time.
func WithNow(now func() time.Time) Option {
	return func(o *Options) { o.Now = now }
}

func newOptions(opts []Option) Options {
	o := Options{
		WritesPerSecond: defaultWritesPerSecond,
		ReadsPerSecond:  defaultReadsPerSecond,
		HistoryLimit:    defaultHistoryLimit,
		VMLag:           defaultVMLag,
		Now:             time.Now,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
