package targetload

import "time"

// defaultHalfLife is the age at which the slowdown and the queue of a target count half. In the
// model of docs/design/0023, 300 ms was better for slow periods of 300 ms and worse for those of
// 1.5 s, by up to 0.3% of the calls.
const defaultHalfLife = 600 * time.Millisecond

type (
	// Option changes a tracker's settings.
	Option func(*Options)

	// Options holds the settings of a tracker.
	Options struct {
		// HalfLife is the age of figures at which the slowdown and the queue count half.
		HalfLife time.Duration
		// OnResult is called, without a lock held, with what became of a number of figures.
		OnResult func(result Result, n int)
	}
)

// WithHalfLife sets the age of figures at which the slowdown and the queue count half.
func WithHalfLife(d time.Duration) Option {
	return func(o *Options) { o.HalfLife = d }
}

// WithOnResult sets a function that counts what becomes of figures.
func WithOnResult(f func(result Result, n int)) Option {
	return func(o *Options) { o.OnResult = f }
}

func newOptions(opts []Option) Options {
	o := Options{HalfLife: defaultHalfLife, OnResult: func(Result, int) {}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
