package slots

const (
	defaultCapacity = 256
	// defaultRemembered covers a minute of a service of 36 slots with calls of 150 ms, or half
	// a minute with calls of 60 ms; an entry takes about 100 bytes.
	defaultRemembered = 16384
)

type (
	// Option changes a pool's settings.
	Option func(*Options)

	// Options holds the settings of a pool.
	Options struct {
		// Capacity is the largest number of waiting requests.
		Capacity int
		// Remembered is the number of requests that are remembered after their end, so that
		// late copies of their messages are recognized, and of those that were refused.
		Remembered int
	}
)

// WithCapacity sets the largest number of waiting requests.
func WithCapacity(n int) Option {
	return func(o *Options) { o.Capacity = n }
}

// WithRemembered sets the number of requests that are remembered after their end.
func WithRemembered(n int) Option {
	return func(o *Options) { o.Remembered = n }
}

func newOptions(opts []Option) Options {
	o := Options{Capacity: defaultCapacity, Remembered: defaultRemembered}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
