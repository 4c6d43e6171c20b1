package quarantine

import "time"

type (
	// Option changes a tracker's settings.
	Option func(*Options)

	// Options holds the settings of a tracker.
	Options struct {
		// SettleTime returns the time after which a crash that was learned of counts. Other routers' reports of
		// complete answers must arrive within it.
		SettleTime func() time.Duration
		// OnChange is called when a part is quarantined or released, with the tracker's lock
		// held.
		OnChange func(Change)
	}

	// Change says that a part was quarantined, or released because it was answered.
	Change struct {
		Record
		Released bool
		// Reported is set when another router or the store told of the part.
		Reported bool
	}
)

// WithOnChange sets a function that is called when a part is quarantined or released. It
// must not call the tracker.
func WithOnChange(onChange func(Change)) Option {
	return func(o *Options) { o.OnChange = onChange }
}

// WithSettleTime sets the time after which a crash that was learned of counts.
func WithSettleTime(settleTime func() time.Duration) Option {
	return func(o *Options) { o.SettleTime = settleTime }
}

func newOptions(opts []Option) Options {
	o := Options{SettleTime: func() time.Duration { return defaultSettleTime }, OnChange: func(Change) {}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
