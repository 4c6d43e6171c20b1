package forward

import (
	"context"
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/policy/targetstats"
)

const (
	// silenceFraction is how long a target with calls in flight may send nothing
	// before it counts as failed, as a fraction of the latency objective.
	// minSilence, the lower bound, is many decoding steps of an engine.
	silenceFraction = 0.5
	minSilence      = 100 * time.Millisecond
	// eventGapFactor is the lower bound on that time as a multiple of the longest
	// gap between a stream's events that the route allows.
	eventGapFactor = 1.2
	// stallGapFactor is how long one stream may deliver no complete event while its
	// target serves others, as a multiple of the gap that the route allows. An engine
	// that preempts a call processes its prompt again before it goes on.
	stallGapFactor = 4
	// minStall is the lower bound on that time, undeclaredStall the time on a route that
	// declares no gap.
	minStall        = time.Second
	undeclaredStall = 10 * time.Second
	// retryDelayFraction is how long an idempotent call waits for a response before
	// it is sent to another target, as a fraction of the latency objective, so that
	// the other target can still respond in time.
	retryDelayFraction = 0.5
	// minSilenceCheckInterval is the shortest time between two checks for silence. A
	// check is due when the limit would be reached without further progress.
	minSilenceCheckInterval = 25 * time.Millisecond
	// silenceRecheckInterval is the time until a silent call is checked again that
	// could not be retried.
	silenceRecheckInterval = 100 * time.Millisecond
)

// recordProgress records that a response head or a complete event was received.
func (c *call) recordProgress(tracked *targetstats.Call, now time.Time) {
	tracked.Progress(now)
	c.lastProgress.Store(int64(now.Sub(c.attemptStart)) + 1)
}

// silenceLimit returns how long a target may send nothing. It is longer than the
// gap between events that the route allows.
func (c *call) silenceLimit() time.Duration {
	limit := max(minSilence, time.Duration(silenceFraction*float64(c.route.LatencyObjective)))
	return max(limit, time.Duration(eventGapFactor*float64(c.route.MaxEventGap)))
}

// stallLimit returns how long this call may go without a complete event after the
// head of its response.
func (c *call) stallLimit() time.Duration {
	if c.route.MaxEventGap <= 0 {
		return undeclaredStall
	}
	return max(minStall, stallGapFactor*c.route.MaxEventGap, c.silenceLimit())
}

// untilSilent returns the time until the attempt counts as silent if nothing more is
// received. For calls that are not streams, it goes by the time since the attempt
// began.
func (c *call) untilSilent(target *state.Target, started, now time.Time) time.Duration {
	if !c.route.Streaming {
		return time.Duration(retryDelayFraction*float64(c.route.LatencyObjective)) - now.Sub(started)
	}
	remaining := c.silenceLimit() - c.h.TargetHealth.SilentFor(target.Hash, now)
	if last := c.lastProgress.Load(); last != 0 {
		remaining = min(remaining, c.stallLimit()-now.Sub(started.Add(time.Duration(last))))
	}
	return remaining
}

// watchSilence cancels an attempt that may be retried when its target is silent for
// too long, another target is available and the retry budget allows it. The caller
// must call the returned function to stop it.
func (c *call) watchSilence(target *state.Target, cancel context.CancelCauseFunc) func() {
	if c.route.AtMostOnce() || c.progress.PossibleExecutions+1 >= c.route.MaxAttempts ||
		(!c.route.Streaming && c.route.LatencyObjective <= 0) {
		return func() {}
	}
	done, ended := make(chan struct{}), make(chan struct{})
	started, hasSlot := c.attemptStart, c.slot != (slotgrant.Grant{})
	go func() {
		defer close(ended)
		timer := time.NewTimer(max(c.untilSilent(target, started, time.Now()), minSilenceCheckInterval))
		defer timer.Stop()
		for {
			select {
			case <-done:
				return
			case <-timer.C:
			}
			if c.slow.waiting.Load() {
				timer.Reset(silenceRecheckInterval)
				continue // The router does not read what the target sends.
			}
			now := time.Now()
			remaining := c.untilSilent(target, started, now)
			if remaining > 0 {
				timer.Reset(max(remaining, minSilenceCheckInterval))
				continue
			}
			if c.begun.Load() && !c.route.Resumable {
				return // Cancelling would cut a stream that nothing can continue.
			}
			if c.reserveAlternative(hasSlot, done, now) {
				cancel(errSilent)
				return
			}
			timer.Reset(silenceRecheckInterval)
		}
	}()
	return func() {
		close(done)
		<-ended // The next attempt modifies fields that the goroutine reads.
	}
}

// reserveAlternative takes what another attempt needs while the present one goes on, and reports
// whether it did. It waits for a slot until done is closed at most.
func (c *call) reserveAlternative(hasSlot bool, done <-chan struct{}, now time.Time) bool {
	if c.unresumable.Load() || !c.hasAlternative(now) || (hasSlot && !c.reserveSlot(done)) {
		return false
	}
	if !c.reserveRetry(now) {
		c.cancelReservedSlot()
		return false
	}
	return true
}

// hasAlternative reports whether an untried target is available for the call.
func (c *call) hasAlternative(now time.Time) bool {
	targets := c.h.View().Targets.ByService[c.service]
	summaries := c.h.TargetHealth.Summaries(state.Hashes(targets), now)
	for i, t := range targets {
		if !c.tried[t.Hash] && !summaries[i].Ejected && c.h.isEligible(t, now) {
			return true
		}
	}
	return false
}
