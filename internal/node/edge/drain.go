package edge

import "time"

const (
	// minDrainTime is how long a draining router keeps accepting callers that hold a cached
	// lookup response. After that it stops once it has had no new connection for
	// drainIdleTime and has no active call.
	minDrainTime  = 2500 * time.Millisecond
	drainIdleTime = 1200 * time.Millisecond
	// acceptFraction is the part of the grace period after which no more connections are
	// accepted although callers still come: a call that is accepted later might be cut at
	// the end of the grace period, while one that is refused can be made elsewhere.
	acceptFraction = 0.5
	// drainMargin is how long before the end of the grace period a draining router stops in
	// any case.
	drainMargin = 400 * time.Millisecond
	// defaultGrace is the grace period for shutdown when the settings specify none.
	defaultGrace = 8 * time.Second
	// drainCheckInterval is how often a draining router checks whether it may stop.
	drainCheckInterval = 50 * time.Millisecond
)

// drain keeps serving callers that hold a cached address of this router until they have
// moved to others. It then stops accepting connections and finishes the calls that it has,
// but not beyond the grace period.
func (r *Router) drain() {
	r.log.Info().Int64("calls", r.server.Active()).Msg("router draining")
	r.draining.Store(true)
	r.server.Drain()
	r.fleet.Leave()
	grace := r.bounds.Load().Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	start := time.Now()
	acceptUntil := start.Add(time.Duration(acceptFraction * float64(grace)))
	for time.Now().Before(acceptUntil) {
		time.Sleep(drainCheckInterval)
		idle := r.server.Active() == 0 && r.server.SinceAccept() > drainIdleTime
		if time.Since(start) > minDrainTime && idle {
			break
		}
	}
	for _, l := range r.callerListeners {
		_ = l.Close()
	}
	time.Sleep(r.server.CloseIdle())
	for r.server.Active() > 0 && time.Since(start) < grace-drainMargin {
		time.Sleep(drainCheckInterval)
	}
}
