package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
)

// crashProbeTimeout bounds the connection by which a router finds out whether a target's
// process has ended. A live VM without the process refuses within a round trip.
const crashProbeTimeout = 150 * time.Millisecond

// hasCrashed reports whether the target has ended without notice, after it has cut an
// answer: it refuses connections although it is listed and not draining. A target that is
// unreachable, or that only resets connections, has not crashed.
func (c *call) hasCrashed(ctx context.Context, target *state.Target) bool {
	if !c.isServing(target) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	return c.h.Pool.Refuses(ctx, endpoint(target))
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

// recordCut records an answer that the target has begun and that was cut. It tells the
// crash of the target from other causes.
func (c *call) recordCut(ctx context.Context, target *state.Target) {
	if context.Cause(ctx) != nil || len(c.parts) < 2 {
		return // This router has ended the attempt, or no other call shares the prompt.
	}
	if !c.hasCrashed(ctx, target) {
		return
	}
	metrics.GetOrCreateCounter(`hickoryrock_target_crashes_total`).Inc()
	c.h.Log.Warn().Str("call", c.headers.ID).Str("target", target.ID).Strs("parts", partNames(affinity.Shared(c.parts))).
		Int64("answer-age-ms", (time.Since(c.attemptStart)-c.headAt).Milliseconds()).
		Uint64("targets-revision", c.targets.Revision).Msg("target crashed while it answered a call")
}

// partNames returns the hashes of prompt parts as they appear in logs.
func partNames(parts []affinity.Part) []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = strconv.FormatUint(p.Hash, 16)
	}
	return names
}
