package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/wire/http1"
)

const (
	reasonQuarantined = "quarantined-part"
	reasonSuspected   = "suspected-part"

	// cutProbeAge and silentProbeAge are the ages up to which an end of an attempt shares the probe
	// of its target with earlier ends: a connection was cut, or the target has been silent.
	cutProbeAge    = 50 * time.Millisecond
	silentProbeAge = time.Second
	// maxHold is the longest time for which a call with a suspected part waits for other
	// routers' reports, maxHoldFraction the same as a fraction of the time that it has left.
	maxHold         = 500 * time.Millisecond
	maxHoldFraction = 0.25
	// holdCheckInterval is how often a call that waits is checked: crashes settle with time.
	holdCheckInterval = 50 * time.Millisecond
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

// recordEvidence records what the end of an attempt says about the parts of the call's prompt: the
// target has answered it, or has crashed before the answer was whole. Calls that only waited at the
// target are evidence, too: nothing shows which answer it was about to begin.
func (c *call) recordEvidence(ctx context.Context, target *state.Target, end attemptEnd, at time.Time) {
	if len(c.sharedParts) == 0 {
		return // No other call shares the prompt.
	}
	cause := context.Cause(ctx)
	switch {
	case end.isAnswer() && end.head.Length != http1.UntilClose:
		c.h.Quarantine.RecordAnswer(c.sharedParts, at)
	case end.isAnswer():
		// A crash may have ended the connection, and so the response.
		if !c.inquire(ctx, target, end, at, cutProbeAge).hasCrashed() {
			c.h.Quarantine.RecordAnswer(c.sharedParts, at)
		}
	case !end.isCut:
	case cause == nil:
		c.crashed = c.inquire(ctx, target, end, at, cutProbeAge).hasCrashed() && c.answerAge(at) < quarantine.ProgressInterval
	case errors.Is(cause, errSilent), errors.Is(cause, errDeadline):
		// The end of the target's process may not have reached this router. It has ended about
		// when the target was heard last, and targets that lose power at once did so together.
		if silence := c.h.TargetHealth.SilentFor(target.Hash, at); silence > c.silenceLimit() {
			c.inquire(ctx, target, end, at.Add(-silence), silentProbeAge)
		}
	}
}

// inquire finds out what has become of a target that may have crashed, and records its crash once
// it is known. It returns what is seen of the target within a short time.
func (c *call) inquire(ctx context.Context, target *state.Target, end attemptEnd, at time.Time, maxAge time.Duration) sight {
	record := sync.OnceFunc(c.crashRecorder(target, end, at))
	seen := c.h.crashInquiries.inquire(ctx, target, maxAge, record)
	if seen.hasCrashed() {
		record()
	}
	c.logCut(target, end, seen)
	return seen
}

// crashRecorder returns a function that records that a target has crashed before it had answered
// the call. It may be called when the call has ended.
func (c *call) crashRecorder(target *state.Target, end attemptEnd, at time.Time) func() {
	h, id, parts, age, revision := c.h, c.headers.ID, c.sharedParts, max(c.answerAge(at), 0), c.targets.Revision
	return func() {
		h.Quarantine.RecordCrash(quarantine.Crash{Target: target.Hash, At: at, Parts: parts}, age, time.Now())
		metrics.GetOrCreateCounter(`hickoryrock_target_crashes_total`).Inc()
		h.Log.Warn().Str("call", id).Str("target", target.ID).Str("stage", string(end.stage)).Strs("parts", partNames(parts)).
			Int64("answer-age-ms", age.Milliseconds()).Int64("known-after-ms", time.Since(at).Milliseconds()).
			Bool("suspected", age < quarantine.ProgressInterval).Uint64("store-era", revision.Era).
			Uint64("targets-revision", revision.Number).Msg("target crashed while it answered a call")
	}
}

// logCut logs the end of an attempt during which the target may have crashed.
func (c *call) logCut(target *state.Target, end attemptEnd, seen sight) {
	metrics.GetOrCreateCounter(`hickoryrock_cut_attempts_total{stage="` + string(end.stage) + `",target="` + string(seen) + `"}`).Inc()
	c.h.Log.Warn().Str("call", c.headers.ID).Str("target", target.ID).Str("stage", string(end.stage)).Str("reason", end.reason).
		Str("target-is", string(seen)).Int64("attempt-ms", time.Since(c.attemptStart).Milliseconds()).Strs("parts", partNames(c.sharedParts)).
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
