package ownership

import (
	"context"
	"errors"
	"time"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/peer/membership"
)

type (
	// Options are the dependencies of an Owner.
	Options struct {
		// Loads reads the load of targets.
		Loads Loads
		// Leaving reports whether a target is known to be leaving.
		Leaving func(target string) bool
		// SetLoads publishes the load of the owned targets.
		SetLoads func([]membership.Load)
		// Totals returns the fleet's total load by service.
		Totals func() []membership.Total
		// Reached returns the number of routers, including this one, that were heard from
		// within the given time.
		Reached func(within time.Duration) int
		// Now returns the current time.
		Now func() time.Time
	}

	// Option sets one of the Options.
	Option func(*Options)

	noLoads struct{}
)

var errNoLoadReport = errors.New("target does not report its load")

// WithLoads sets the source of the targets' load; without it every load report fails.
func WithLoads(l Loads) Option {
	return func(o *Options) { o.Loads = l }
}

// WithLeaving sets the function that reports whether a target is leaving; the default is
// false for all.
func WithLeaving(f func(target string) bool) Option {
	return func(o *Options) { o.Leaving = f }
}

// WithExchange sets the functions that publish this router's load and return the fleet's
// totals.
func WithExchange(set func([]membership.Load), totals func() []membership.Total) Option {
	return func(o *Options) { o.SetLoads, o.Totals = set, totals }
}

// WithReached sets the function that returns how many routers were heard from recently.
func WithReached(f func(within time.Duration) int) Option {
	return func(o *Options) { o.Reached = f }
}

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(o *Options) { o.Now = now }
}

// Load implements Loads.
func (noLoads) Load(context.Context, *catalog.Service, catalog.Target) (Report, error) {
	return Report{}, errNoLoadReport
}

func newOptions(opts ...Option) Options {
	o := Options{
		Loads:    noLoads{},
		Leaving:  func(string) bool { return false },
		SetLoads: func([]membership.Load) {},
		Totals:   func() []membership.Total { return nil },
		Reached:  func(time.Duration) int { return contactMaxFleet },
		Now:      time.Now,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
