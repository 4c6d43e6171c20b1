package targetbackoff

import "time"

type (
	// Option changes a tracker's settings.
	Option func(*Options)

	// Options holds the settings of a tracker.
	Options struct {
		// OnWait is called when a target that may be sent to asks to wait, without locks held.
		OnWait func(target uint64, wait time.Duration)
	}
)

// WithOnWait sets the function that is called when a target that may be sent to asks to wait.
func WithOnWait(f func(target uint64, wait time.Duration)) Option {
	return func(o *Options) { o.OnWait = f }
}

func newOptions(opts []Option) Options {
	o := Options{OnWait: func(uint64, time.Duration) {}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
