package storewatch

import "time"

// Option configures a Watcher.
type Option func(*Watcher)

// WithBounds sets the times within which a change must be in force and a
// draining target must get no more calls; zero keeps the default.
func WithBounds(apply, drain time.Duration) Option {
	return func(w *Watcher) {
		if apply > 0 {
			w.watchWait = scale(watchWaitFraction, apply)
		}
		if drain > 0 {
			w.maxRetention = scale(retentionFraction, drain)
		}
	}
}

// WithHeartbeat sets how often targets renew their entries; zero keeps the default.
func WithHeartbeat(interval time.Duration) Option {
	return func(w *Watcher) {
		if interval > 0 {
			w.lapseTime = recoveryGrace + heartbeatsToLapse*interval
		}
	}
}

// WithEvacuations watches the evacuations of failure domains, which must be in force within
// bound. Without it, or if bound is zero, there are none.
func WithEvacuations(bound time.Duration) Option {
	return func(w *Watcher) {
		if bound > 0 {
			w.evacuationWait = scale(evacuationWaitFraction, bound)
		}
	}
}

func scale(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}
