package objects

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

const (
	defaultCallTimeout      = 2 * time.Second
	defaultDialTimeout      = time.Second
	defaultWatchIdleTimeout = 10 * time.Second
	defaultBackoffBase      = 50 * time.Millisecond
	defaultBackoffMax       = 5 * time.Second
	defaultReadAttempts     = 4
	defaultIdleConnsPerHost = 16
)

type (
	// Option sets one of the Options.
	Option func(*Options)

	// Options are the settings of a Client.
	Options struct {
		// BaseURLs are the platform's base URLs, such as http://10.0.0.1:7000.
		BaseURLs []string
		// Name is sent to the platform as the name of this client.
		Name string
		// CallTimeout bounds each attempt of a call other than a watch.
		CallTimeout time.Duration
		// WatchIdleTimeout ends a watch that receives neither events nor bookmarks for
		// this long.
		WatchIdleTimeout time.Duration
		// BackoffBase is the delay after the first failed attempt.
		BackoffBase time.Duration
		// BackoffMax bounds the delay between attempts.
		BackoffMax time.Duration
		// ReadAttempts is the maximum number of attempts of one read.
		ReadAttempts int
		// HTTPClient replaces the default HTTP client. Its transport must not retry
		// writes.
		HTTPClient *http.Client
		// Logger receives warnings about interrupted watches.
		Logger zerolog.Logger
		// Random returns a number in [0, 1) for the backoff jitter.
		Random func() float64
	}
)

// WithBaseURLs sets the platform's base URLs.
func WithBaseURLs(urls ...string) Option {
	return func(o *Options) { o.BaseURLs = urls }
}

// WithName sets the client name that is sent to the platform.
func WithName(name string) Option {
	return func(o *Options) { o.Name = name }
}

// WithCallTimeout bounds each attempt of a call other than a watch.
func WithCallTimeout(d time.Duration) Option {
	return func(o *Options) { o.CallTimeout = d }
}

// WithWatchIdleTimeout sets how long a watch may receive neither events nor bookmarks
// before it is ended.
func WithWatchIdleTimeout(d time.Duration) Option {
	return func(o *Options) { o.WatchIdleTimeout = d }
}

// WithBackoff sets the first and the longest delay between attempts.
func WithBackoff(base, longest time.Duration) Option {
	return func(o *Options) { o.BackoffBase, o.BackoffMax = base, longest }
}

// WithReadAttempts sets the maximum number of attempts of one read.
func WithReadAttempts(n int) Option {
	return func(o *Options) { o.ReadAttempts = n }
}

// WithHTTPClient replaces the default HTTP client.
func WithHTTPClient(c *http.Client) Option {
	return func(o *Options) { o.HTTPClient = c }
}

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithRandom sets the random source of the backoff jitter.
func WithRandom(f func() float64) Option {
	return func(o *Options) { o.Random = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		CallTimeout:      defaultCallTimeout,
		WatchIdleTimeout: defaultWatchIdleTimeout,
		BackoffBase:      defaultBackoffBase,
		BackoffMax:       defaultBackoffMax,
		ReadAttempts:     defaultReadAttempts,
		Logger:           zerolog.Nop(),
		Random:           rand.Float64,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func (o Options) backoff() Backoff {
	return Backoff{Base: o.BackoffBase, Max: o.BackoffMax, Random: o.Random}
}
