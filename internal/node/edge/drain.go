package edge

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/forward"
)

const (
	// minDrainTime is how long a draining router keeps accepting callers that hold a cached
	// lookup response. After that it stops once it has had no new connection for
	// drainIdleTime and has no active call.
	minDrainTime  = 2500 * time.Millisecond
	drainIdleTime = 1200 * time.Millisecond
	// acceptFraction is the part of the grace period after which no more connections are
	// accepted although callers still come, so that they try other routers.
	acceptFraction = 0.5
	// drainMargin is how long before the end of the grace period a draining router stops in
	// any case, maxMarginFraction the largest part of that period that this may be: calls in
	// progress have nearly the whole period.
	drainMargin       = 400 * time.Millisecond
	maxMarginFraction = 0.125
	// defaultGrace is the grace period for shutdown when the settings specify none.
	defaultGrace = 8 * time.Second
	// drainCheckInterval is how often a draining router checks whether it may stop.
	drainCheckInterval = 50 * time.Millisecond
	// stopTime bounds the time in which the calls that are cut end and are logged, and
	// stopCheckInterval is how often a stopping router checks whether they have.
	stopTime          = 100 * time.Millisecond
	stopCheckInterval = 5 * time.Millisecond
)

// drain keeps serving callers that hold a cached address of this router until they have
// moved to others. It then stops accepting connections and finishes the calls that it has,
// but not beyond the grace period.
func (r *Router) drain() {
	grace := r.bounds.Load().Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	now := time.Now()
	planned := planStop(r.stalls.earliest(now), now, grace)
	start, end := planned.Since, planned.End
	r.shutdown.Store(&planned)
	r.logDrain("router draining", "sigterm")
	r.server.Drain()
	r.fleet.Leave()
	acceptUntil := start.Add(time.Duration(acceptFraction * float64(grace)))
	reason := "callers-still-come"
	for time.Now().Before(acceptUntil) {
		time.Sleep(drainCheckInterval)
		idle := r.server.Active() == 0 && r.server.SinceAccept() > drainIdleTime
		if time.Since(start) > minDrainTime && idle {
			reason = "no-callers"
			break
		}
	}
	for _, l := range r.callerListeners {
		if err := r.server.CloseListener(l); err != nil {
			r.log.Warn().Err(err).Msg("failed to accept pending connections")
		}
	}
	r.logDrain("router accepts no more connections", reason)
	r.server.CloseIdle()
	for r.server.Connections() > 0 && time.Now().Before(end) {
		time.Sleep(drainCheckInterval)
	}
	reason = "no-connections"
	if r.server.Connections() > 0 {
		reason = "grace-over"
		metrics.GetOrCreateCounter(`hickoryrock_calls_cut_by_drain_total`).Add(int(r.server.Active()))
	}
	r.logDrain("router stops", reason)
	r.server.Stop()
	for stopEnd := time.Now().Add(stopTime); r.server.Active() > 0 && time.Now().Before(stopEnd); {
		time.Sleep(stopCheckInterval)
	}
	r.logDrain("router stopped", reason)
}

// planStop returns the planned stop of a router that learns now that it must stop, and that may
// have been told so since an earlier time, at which it waited for a processor. Calls in progress
// have the first five sixths of the grace period in any case.
func planStop(earliest, now time.Time, grace time.Duration) forward.Shutdown {
	margin := min(drainMargin, time.Duration(maxMarginFraction*float64(grace)))
	since := now.Add(-min(now.Sub(earliest), grace/6-margin))
	return forward.Shutdown{Since: since, End: since.Add(grace - margin), HeldUntil: since.Add(minDrainTime)}
}

// logDrain logs a step of the drain and why it was taken.
func (r *Router) logDrain(step, reason string) {
	s := r.shutdown.Load()
	r.log.Info().Str("reason", reason).Int64("calls", r.server.Active()).Int("connections", r.server.Connections()).
		Int64("after-ms", time.Since(s.Since).Milliseconds()).Int64("left-ms", time.Until(s.End).Milliseconds()).
		Int64("since-accept-ms", r.server.SinceAccept().Milliseconds()).Msg(step)
}
