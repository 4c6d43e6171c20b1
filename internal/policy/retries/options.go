package retries

const (
	defaultFraction = 0.1
	defaultFloor    = 0.1
	defaultBurst    = 10
)

type (
	// Option sets an option of Budgets.
	Option func(*Options)

	// Options are the fill rates and the capacity of budgets.
	Options struct {
		// Fraction is the number of retries that each request adds.
		Fraction float64
		// Floor is the number of retries per second that are added without any
		// request.
		Floor float64
		// Burst is the capacity of a budget in retries.
		Burst float64
		// EmptyStart is set if budgets start empty. Processes that start anew must not bring
		// the retries again that their predecessors have made.
		EmptyStart bool
	}
)

// WithFraction sets the number of retries that each request adds.
func WithFraction(f float64) Option {
	return func(o *Options) { o.Fraction = f }
}

// WithFloor sets the number of retries per second that are added without any
// request.
func WithFloor(f float64) Option {
	return func(o *Options) { o.Floor = f }
}

// WithBurst sets the capacity of a budget in retries.
func WithBurst(n float64) Option {
	return func(o *Options) { o.Burst = n }
}

// WithEmptyStart makes budgets start empty instead of full.
func WithEmptyStart() Option {
	return func(o *Options) { o.EmptyStart = true }
}

func newOptions(opts []Option) Options {
	o := Options{Fraction: defaultFraction, Floor: defaultFloor, Burst: defaultBurst}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
