package gossip

import (
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/policy/targetlimits"
	"hickoryrock/internal/policy/targetload"
	"hickoryrock/internal/policy/targetpace"
)

type (
	// Option changes a fleet's settings.
	Option func(*Options)

	// Options holds the settings of a fleet.
	Options struct {
		// Quarantine learns which prompt parts crash targets.
		Quarantine *quarantine.Tracker
		// Limits knows the limits that targets name. It calls LiveRouters and ReportInterval
		// with its lock held, so the fleet must not call it with its own.
		Limits *targetlimits.Tracker
		// Pace knows the windows of new and recovered targets. It calls KnownRouters, LiveRouters
		// and ReportInterval with its lock held, like Limits.
		Pace *targetpace.Tracker
		// LoadFigures knows the load figures of plain services' targets.
		LoadFigures *targetload.Tracker
	}
)

// WithLimits exchanges the limits that a tracker knows with the other routers.
func WithLimits(t *targetlimits.Tracker) Option {
	return func(o *Options) { o.Limits = t }
}

// WithPace exchanges the windows that a tracker knows with the other routers.
func WithPace(t *targetpace.Tracker) Option {
	return func(o *Options) { o.Pace = t }
}

// WithLoadFigures exchanges the load figures that a tracker knows with the other routers.
func WithLoadFigures(t *targetload.Tracker) Option {
	return func(o *Options) { o.LoadFigures = t }
}

// WithQuarantine exchanges what a tracker knows with the other routers.
func WithQuarantine(t *quarantine.Tracker) Option {
	return func(o *Options) { o.Quarantine = t }
}

func newOptions(opts []Option) Options {
	var o Options
	for _, opt := range opts {
		opt(&o)
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTracker()
	}
	if o.LoadFigures == nil {
		o.LoadFigures = targetload.NewTracker()
	}
	return o
}
