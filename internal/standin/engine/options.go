package engine

import "time"

const (
	defaultSlots       = 8
	defaultCacheTokens = 1 << 20
	defaultTokenTime   = 100 * time.Microsecond
	defaultResumeGrace = 5 * time.Second
	defaultRetain      = 30 * time.Second
	defaultHeartbeat   = time.Second
)

type (
	// Options are the settings of an engine.
	Options struct {
		Name string
		// Slots is the maximum number of requests that run at the same time.
		Slots int
		// TokenTime is the time to generate one token.
		TokenTime time.Duration
		// PrefillTime is the time to process one uncached prompt token.
		PrefillTime time.Duration
		// CacheTokens is the capacity of the prefix cache.
		CacheTokens int
		// ResumeGrace is how long an answer is generated after its last reader has disconnected.
		ResumeGrace time.Duration
		// Retain is how long a finished answer can still be resumed.
		Retain time.Duration
		// Heartbeat is the interval between comments on a stream.
		Heartbeat time.Duration
		// LoadLag is the age of the values in load reports.
		LoadLag time.Duration
		// EventLag is the delay of cache events. Every EventGap-th event is omitted; 0 omits none.
		EventLag time.Duration
		EventGap int
		// CheckFencing rejects orders with a stale fencing token.
		CheckFencing bool
		// LoadTime is the time that an order takes to execute.
		LoadTime time.Duration
		// Models are loaded at start; an empty list means that every model is accepted.
		Models []string
	}

	// Option modifies the Options of an Engine.
	Option func(*Options)
)

func newOptions(opts ...Option) Options {
	o := Options{
		Name: "engine", Slots: defaultSlots, TokenTime: defaultTokenTime, CacheTokens: defaultCacheTokens,
		ResumeGrace: defaultResumeGrace, Retain: defaultRetain,
		Heartbeat: defaultHeartbeat,
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithOptions replaces all Options.
func WithOptions(all Options) Option {
	return func(o *Options) { *o = all }
}

// WithName sets the engine's name.
func WithName(name string) Option {
	return func(o *Options) { o.Name = name }
}

// WithSlots sets the maximum number of requests that run at the same time.
func WithSlots(n int) Option {
	return func(o *Options) { o.Slots = n }
}

// WithTokenTime sets the time to generate one token.
func WithTokenTime(d time.Duration) Option {
	return func(o *Options) { o.TokenTime = d }
}

// WithCacheTokens sets the capacity of the prefix cache in tokens.
func WithCacheTokens(n int) Option {
	return func(o *Options) { o.CacheTokens = n }
}

// WithResumeGrace sets how long an answer is generated after its last reader has disconnected.
func WithResumeGrace(d time.Duration) Option {
	return func(o *Options) { o.ResumeGrace = d }
}

// WithHeartbeat sets the interval between comments on a stream.
func WithHeartbeat(d time.Duration) Option {
	return func(o *Options) { o.Heartbeat = d }
}

// WithLoadLag sets the age of the load values that load reports carry.
func WithLoadLag(d time.Duration) Option {
	return func(o *Options) { o.LoadLag = d }
}

// WithCacheEvents delays cache events by lag and omits every gap-th one; a gap of 0 omits none.
func WithCacheEvents(lag time.Duration, gap int) Option {
	return func(o *Options) { o.EventLag, o.EventGap = lag, gap }
}

// WithFencing makes the engine reject orders that carry a stale fencing token.
func WithFencing() Option {
	return func(o *Options) { o.CheckFencing = true }
}

// WithModels sets the models that are loaded at start.
func WithModels(models ...string) Option {
	return func(o *Options) { o.Models = models }
}
