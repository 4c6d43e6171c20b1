package client

import "time"

const (
	defaultMaxAttempts           = 12
	defaultResponseHeaderTimeout = 30 * time.Second
	// defaultIdleTimeout is three times the heartbeat interval of a router.
	defaultIdleTimeout = 15 * time.Second
)

type (
	// Options are the settings of a Client.
	Options struct {
		// Routers are the addresses to contact first, as IP:port.
		Routers []string
		// Token is the workspace's bearer token.
		Token string
		// MaxAttempts bounds the attempts of one call or chat.
		MaxAttempts int
		// ResponseHeaderTimeout bounds the wait for the header of a response.
		ResponseHeaderTimeout time.Duration
		// IdleTimeout bounds the wait for the next event or heartbeat of a stream.
		IdleTimeout time.Duration
		// Now returns the current time.
		Now func() time.Time
	}

	// Option sets one of the Options.
	Option func(*Options)
)

// WithRouters sets the addresses to contact first, as IP:port.
func WithRouters(addresses ...string) Option {
	return func(o *Options) { o.Routers = addresses }
}

// WithToken sets the workspace's token.
func WithToken(token string) Option {
	return func(o *Options) { o.Token = token }
}

// WithMaxAttempts bounds the attempts of one call or chat.
func WithMaxAttempts(n int) Option {
	return func(o *Options) { o.MaxAttempts = n }
}

// WithResponseHeaderTimeout bounds the wait for the header of a response.
func WithResponseHeaderTimeout(d time.Duration) Option {
	return func(o *Options) { o.ResponseHeaderTimeout = d }
}

// WithIdleTimeout bounds the wait for the next event or heartbeat of a stream.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *Options) { o.IdleTimeout = d }
}

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option {
	return func(o *Options) { o.Now = now }
}

func newOptions(opts ...Option) Options {
	o := Options{MaxAttempts: defaultMaxAttempts, ResponseHeaderTimeout: defaultResponseHeaderTimeout, IdleTimeout: defaultIdleTimeout, Now: time.Now}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
