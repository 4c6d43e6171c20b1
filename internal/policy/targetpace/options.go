package targetpace

import "time"

const defaultReportInterval = 100 * time.Millisecond

type (
	// Option changes a tracker's settings.
	Option func(*Options)

	// Options holds the settings of a tracker.
	Options struct {
		// OnChange is called when a target's pace changes, without locks held.
		OnChange func(Change)
		// ReportInterval returns the time between two reports of a router. It is called with
		// the tracker's lock held, like LiveRouters.
		ReportInterval func() time.Duration
		// LiveRouters returns the routers that share windows. By default these are all known
		// ones: the share of a router that has ended is unused.
		LiveRouters Routers
		// ProportionalShares gives one call in flight to as many of the routers as the window is
		// a part of its goal. Routers with few and short calls do not use their shares
		// otherwise. The window is the expected number of calls in flight then, and no bound.
		ProportionalShares bool
	}
)

// WithOnChange sets the function that is called when a target's pace changes.
func WithOnChange(f func(Change)) Option {
	return func(o *Options) { o.OnChange = f }
}

// WithReportInterval sets the time between two reports of a router.
func WithReportInterval(interval func() time.Duration) Option {
	return func(o *Options) { o.ReportInterval = interval }
}

// WithLiveRouters sets the routers that share windows.
func WithLiveRouters(routers Routers) Option {
	return func(o *Options) { o.LiveRouters = routers }
}

// WithProportionalShares divides windows that are smaller than the fleet by expected calls.
func WithProportionalShares() Option {
	return func(o *Options) { o.ProportionalShares = true }
}

func newOptions(opts []Option) Options {
	o := Options{OnChange: func(Change) {}, ReportInterval: func() time.Duration { return defaultReportInterval }}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
