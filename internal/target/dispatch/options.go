package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/stream"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/platform/claims"
	"hickoryrock/internal/report/tally"
)

type (
	// Options holds the dependencies of a Dispatcher.
	Options struct {
		Log     zerolog.Logger
		Permits Permits
		Claims  claims.Store
		Plain   PlainClient
		Engines EngineClient
		Admit   Admit
		Budget  Budget
		Relay   *stream.Relay
		// Leaving reports whether a target is known to be draining.
		Leaving func(target string) bool
		// Record is called with each finished call.
		Record func(tally.Call)
		// Now returns the current time.
		Now func() time.Time
	}

	// Option changes the options of a Dispatcher.
	Option func(*Options)

	// Admit applies a workspace's admission limits to a call. If the call is
	// admitted, release must be called once.
	Admit func(ctx context.Context, w *catalog.Workspace) (release func(), f *outcome.Failure)

	// Budget limits retries, so that they do not amplify an overload.
	Budget interface {
		// Request counts a first attempt.
		Request(workspace, service string)
		// Retry reports whether one more attempt is allowed, and counts it if so.
		Retry(workspace, service string, share float64) bool
	}
)

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option {
	return func(o *Options) { o.Log = l }
}

// WithPermits sets what grants permits.
func WithPermits(p Permits) Option {
	return func(o *Options) { o.Permits = p }
}

// WithClaims sets the store of the claims of at-most-once calls.
func WithClaims(c claims.Store) Option {
	return func(o *Options) { o.Claims = c }
}

// WithPlain sets the client for plain services.
func WithPlain(p PlainClient) Option {
	return func(o *Options) { o.Plain = p }
}

// WithEngines sets the client for model engines.
func WithEngines(e EngineClient) Option {
	return func(o *Options) { o.Engines = e }
}

// WithAdmit sets the admission check for workspaces.
func WithAdmit(a Admit) Option {
	return func(o *Options) { o.Admit = a }
}

// WithBudget sets the retry budget.
func WithBudget(b Budget) Option {
	return func(o *Options) { o.Budget = b }
}

// WithRelay sets the relay that writes streams to callers.
func WithRelay(r *stream.Relay) Option {
	return func(o *Options) { o.Relay = r }
}

// WithLeaving sets the function that reports draining targets.
func WithLeaving(f func(target string) bool) Option {
	return func(o *Options) { o.Leaving = f }
}

// WithRecord sets the function that is called with each finished call.
func WithRecord(f func(tally.Call)) Option {
	return func(o *Options) { o.Record = f }
}

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option {
	return func(o *Options) { o.Now = now }
}

func newOptions(opts ...Option) Options {
	o := Options{
		Log:     zerolog.Nop(),
		Permits: unlimitedPermits{},
		Budget:  unlimitedBudget{},
		Admit:   admitAll,
		Relay:   stream.NewRelay(),
		Leaving: func(string) bool { return false },
		Record:  func(tally.Call) {},
		Now:     time.Now,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func admitAll(context.Context, *catalog.Workspace) (func(), *outcome.Failure) {
	return func() {}, nil
}
