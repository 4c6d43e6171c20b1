package forward

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/target/http1client"
	"hickoryrock/internal/wire/http1"
)

const (
	reasonQuarantined = "quarantined-part"
	reasonSuspected   = "suspected-part"

	// crashProbeTimeout bounds the connection by which a router finds out whether a target's
	// process has ended. A live VM without the process refuses within a round trip.
	crashProbeTimeout = 150 * time.Millisecond
	// maxHold is the longest time for which a call with a suspected part waits for other
	// routers' reports, maxHoldFraction the same as a fraction of the time that it has left.
	maxHold         = 500 * time.Millisecond
	maxHoldFraction = 0.25
	// holdCheckInterval is how often a call that waits is checked: crashes settle with time.
	holdCheckInterval = 50 * time.Millisecond
)

// A sight is what a router sees of a target that has left a call without a whole response.
type sight string

const (
	// sightRefused means that no process listens on the target's address.
	sightRefused sight = "refused"
	// sightAccepted means that the target accepts connections.
	sightAccepted sight = "accepted"
	// sightNone means that the target does not respond.
	sightNone sight = "no-response"
	// sightLeft means that the target drains or is no longer listed.
	sightLeft sight = "left"
)

// sharedHashes returns the hashes of the parts that other calls may share: all but the
// last one, which belongs to the call or to its chat.
func sharedHashes(parts []affinity.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	hashes := make([]uint64, len(parts)-1)
	for i := range hashes {
		hashes[i] = parts[i].Hash
	}
	return hashes
}

// passQuarantine decides whether the call may be sent to a target. If it returns false,
// the call is finished.
func (c *call) passQuarantine(ctx context.Context) bool {
	standing, record := c.h.Quarantine.Admit(c.sharedParts, time.Now())
	if standing == quarantine.Repeated {
		c.hold(ctx)
		if c.abortIfCallerClosed(ctx) {
			return false
		}
		standing, record = c.h.Quarantine.Admit(c.sharedParts, time.Now())
	}
	if standing != quarantine.Quarantined {
		return true
	}
	switch {
	case c.writer.Started():
		c.reason = reasonQuarantined
		c.writer.Abort()
	case c.progress.PossibleExecutions > 0:
		c.respond(http.StatusBadGateway, reasonQuarantined)
	default:
		c.refuse(record)
	}
	c.quarantined = record
	return false
}

// refuse responds to a call whose prompt would crash its target. The status asks callers
// not to repeat it.
func (c *call) refuse(r quarantine.Record) {
	text := fmt.Sprintf("not executed: prompt part %s has crashed %d targets, the last one %v ago; do not repeat this call\n",
		quarantine.PartName(r.Part), r.Crashes, time.Since(r.LastCrash).Round(time.Second))
	c.respondWith(http.StatusBadRequest, reasonQuarantined, []byte(text), http1.NewField("Content-Type", "text/plain"))
}

// hold waits until nothing speaks against the call's prompt any more, until a part of it is
// quarantined, or for a bounded time, and returns what is known then.
func (c *call) hold(ctx context.Context) quarantine.Standing {
	metrics.GetOrCreateCounter(`hickoryrock_calls_held_total{reason="` + reasonSuspected + `"}`).Inc()
	limit := min(maxHold, time.Duration(maxHoldFraction*float64(time.Until(c.deadline))))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(holdCheckInterval)
	defer ticker.Stop()
	for {
		changed := c.h.Quarantine.Changed()
		standing := c.h.Quarantine.Standing(c.sharedParts, time.Now())
		if standing == quarantine.Clear || standing == quarantine.Quarantined {
			return standing
		}
		select {
		case <-ctx.Done():
			return standing
		case <-changed:
		case <-ticker.C:
		}
	}
}

// reviewCrash decides whether a call whose target has crashed may be sent to another one.
func (c *call) reviewCrash(ctx context.Context) {
	crashed := c.crashed
	c.crashed = false
	if !crashed || !mayRetry(c.route, c.progress) {
		return
	}
	c.progress.Withheld = c.hold(ctx) >= quarantine.Repeated
	if c.progress.Withheld {
		c.reason = reasonSuspected
	}
}

// recordEvidence records what the end of an attempt says about the parts of the call's prompt.
func (c *call) recordEvidence(ctx context.Context, target *state.Target, end attemptEnd, at time.Time) {
	if len(c.sharedParts) == 0 {
		return // No other call shares the prompt.
	}
	switch {
	case end.head != nil && end.head.Status/100 == 2:
		// A response that ends with its connection may have been ended by a crash.
		if end.head.Length == http1.UntilClose && c.lookAt(ctx, target) == sightRefused {
			return
		}
		c.h.Quarantine.RecordAnswer(c.sharedParts, at)
	case end.isCut && context.Cause(ctx) == nil: // This router has not ended the attempt.
		sight := c.lookAt(ctx, target)
		c.logCut(target, end, sight)
		if sight == sightRefused && end.stage != http1client.StageSend && end.stage != http1client.StageWait {
			c.recordCrash(target, at)
		}
	}
}

// recordCrash records that a target has crashed while it answered the call.
func (c *call) recordCrash(target *state.Target, at time.Time) {
	age := c.answerAge(at)
	c.crashed = age < quarantine.ProgressInterval
	c.h.Quarantine.RecordCrash(quarantine.Crash{Target: target.Hash, At: at, Parts: c.sharedParts}, age, at)
	metrics.GetOrCreateCounter(`hickoryrock_target_crashes_total`).Inc()
	c.h.Log.Warn().Str("call", c.headers.ID).Str("target", target.ID).Strs("parts", partNames(c.sharedParts)).
		Int64("answer-age-ms", age.Milliseconds()).Bool("suspected", c.crashed).
		Uint64("store-era", c.targets.Revision.Era).Uint64("targets-revision", c.targets.Revision.Number).Msg("target crashed while it answered a call")
}

// lookAt finds out what has become of a target that has left a call without a whole response. One
// that accepts connections has not crashed, and one that does not respond may be unreachable.
func (c *call) lookAt(ctx context.Context, target *state.Target) sight {
	if !c.isServing(target) {
		return sightLeft
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	switch c.h.Pool.Probe(ctx, endpoint(target)) {
	case http1client.ProbeRefused:
		return sightRefused
	case http1client.ProbeAccepted:
		return sightAccepted
	}
	return sightNone
}

// isServing reports whether this incarnation of a target is listed and not draining.
func (c *call) isServing(target *state.Target) bool {
	for _, t := range c.h.View().Targets.ByService[target.Service] {
		if t.Hash == target.Hash {
			return !t.Draining
		}
	}
	return false
}

// logCut logs the end of an attempt whose connection ended before the response was whole.
func (c *call) logCut(target *state.Target, end attemptEnd, s sight) {
	metrics.GetOrCreateCounter(`hickoryrock_cut_attempts_total{stage="` + string(end.stage) + `",target="` + string(s) + `"}`).Inc()
	c.h.Log.Warn().Str("call", c.headers.ID).Str("target", target.ID).Str("stage", string(end.stage)).Str("reason", end.reason).
		Str("target-is", string(s)).Int64("attempt-ms", time.Since(c.attemptStart).Milliseconds()).Strs("parts", partNames(c.sharedParts)).
		Uint64("store-era", c.targets.Revision.Era).Uint64("targets-revision", c.targets.Revision.Number).Msg("attempt cut")
}

// recordSound records from time to time that an answer goes on, which a part that crashes targets
// would not let happen.
func (c *call) recordSound(head *http1.Response, now time.Time) {
	if len(c.sharedParts) == 0 || head.Status/100 != 2 || c.answerAge(now) < quarantine.ProgressInterval ||
		now.Sub(c.soundAt) < quarantine.ProgressInterval {
		return
	}
	c.soundAt = now
	c.h.Quarantine.RecordAnswer(c.sharedParts, now)
}

// partNames returns the hashes of prompt parts as they appear in logs.
func partNames(parts []uint64) []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = quarantine.PartName(p)
	}
	return names
}
