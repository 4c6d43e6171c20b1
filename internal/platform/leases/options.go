package leases

import (
	"math/rand/v2"
	"time"
)

const (
	defaultLength = 10 * time.Second
	defaultMargin = time.Second
)

type (
	// Option sets one of the Options.
	Option func(*Options)

	// Options are the settings of a Keeper.
	Options struct {
		// Holder is the name of the process.
		Holder string
		// Length is how long the holder may act after it sent an acquisition or
		// renewal.
		Length time.Duration
		// Margin is added to the length before another holder takes over, to allow for
		// clocks that run at different rates.
		Margin time.Duration
		// Now returns the current time; it must be monotonic.
		Now func() time.Time
		// Random returns a number in [0, 1) for the jitter between renewals.
		Random func() float64
	}
)

// WithHolder sets the name of the process.
func WithHolder(name string) Option {
	return func(o *Options) { o.Holder = name }
}

// WithLength sets how long the holder may act after it sent an acquisition or renewal.
func WithLength(d time.Duration) Option {
	return func(o *Options) { o.Length = d }
}

// WithMargin sets the allowance for clocks that run at different rates.
func WithMargin(d time.Duration) Option {
	return func(o *Options) { o.Margin = d }
}

// WithNow sets the monotonic clock.
func WithNow(now func() time.Time) Option {
	return func(o *Options) { o.Now = now }
}

func newOptions(opts []Option) Options {
	o := Options{Holder: "unnamed", Length: defaultLength, Margin: defaultMargin, Now: time.Now, Random: rand.Float64}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
