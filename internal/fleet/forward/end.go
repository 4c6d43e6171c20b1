package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/target/http1client"
	"hickoryrock/internal/wire/http1"
)

// The stages of an attempt after those of http1client: the head of the response was read.
const (
	stageBody   http1client.Stage = "body"
	stageEvents http1client.Stage = "events"
)

const (
	// blameNone means that the end says nothing about the health of the target.
	blameNone blame = iota
	// blameSuccess means that the target has answered.
	blameSuccess
	// blameFailure means that the target has failed.
	blameFailure
	// blameUnreachable means that the target accepts no connection.
	blameUnreachable
	// blameReplaced means that another server listens on the target's address.
	blameReplaced
)

type (
	// blame is what an end of an attempt says about the health of its target.
	blame uint8

	// attemptEnd says how an attempt has ended.
	attemptEnd struct {
		outcome Outcome
		// stage is how far the attempt had come.
		stage http1client.Stage
		// reason is why there is no whole response to relay, or "".
		reason string
		// isCut is set if the connection ended, or was given up, after the call was sent, at least
		// in part, and before the response was whole.
		isCut bool
		// head is the head of a whole response, or nil.
		head  *http1.Response
		blame blame
	}
)

// failureEnd is the end of an attempt without the head of a response.
func failureEnd(failure *http1client.Failure) attemptEnd {
	end := attemptEnd{outcome: Unknown, stage: failure.Stage, reason: failure.Reason, isCut: failure.IsCut, blame: blameFailure}
	if failure.Status == http1client.NotSent {
		end.outcome = NotExecuted
	}
	if failure.Reason == http1client.ReasonRefused || failure.Reason == http1client.ReasonNoConnection {
		end.blame = blameUnreachable
	}
	return end
}

// unusableEnd is the end of an attempt whose response must not be relayed, or not beyond what has
// been relayed.
func unusableEnd(stage http1client.Stage, reason string) attemptEnd {
	return attemptEnd{outcome: Unknown, stage: stage, reason: reason, blame: blameFailure}
}

// notExecutedEnd is the end of an attempt whose response proves that the target has not executed
// the call.
func notExecutedEnd(status int) attemptEnd {
	if status == http.StatusMisdirectedRequest {
		return attemptEnd{outcome: NotExecuted, stage: stageBody, reason: "target-replaced", blame: blameReplaced}
	}
	return attemptEnd{outcome: NotExecuted, stage: stageBody, reason: "target-refused", blame: blameFailure}
}

// bodyEnd is the end of an attempt whose response has a body that could not be read completely.
func bodyEnd(err error) attemptEnd {
	end := attemptEnd{outcome: Unknown, stage: stageBody, reason: "answer-cut", isCut: true, blame: blameFailure}
	switch {
	case errors.Is(err, errResponseMemory):
		end.reason, end.isCut = http1client.ReasonNoMemory, false
	case errors.Is(err, http1client.ErrBodyTooLarge):
		end.reason, end.isCut = "answer-too-large", false
	}
	return end
}

// failedEnd is the end of an attempt whose target has answered, whole, that it failed.
func failedEnd(reason string) attemptEnd {
	return attemptEnd{outcome: FailedAtTarget, stage: stageBody, reason: reason, blame: blameFailure}
}

// wholeEnd is the end of an attempt with a whole response.
func wholeEnd(stage http1client.Stage, head *http1.Response) attemptEnd {
	return attemptEnd{outcome: Responded, stage: stage, head: head, blame: blameSuccess}
}

// isAnswer reports whether the attempt has ended with a whole, successful response.
func (e attemptEnd) isAnswer() bool { return e.head != nil && e.head.Status/100 == 2 }

// recordEnd records the end of an attempt, whatever it is: in the call's progress, in the health of
// the target and as evidence for the quarantine.
func (c *call) recordEnd(ctx context.Context, target *state.Target, end attemptEnd) {
	at := time.Now()
	c.attributeToCaller(ctx, &end)
	c.progress.Outcome = end.outcome
	if end.outcome != NotExecuted {
		c.progress.PossibleExecutions++
	}
	if end.outcome == Unknown || (end.outcome == NotExecuted && end.stage != stageBody) {
		c.attributeToRouter(ctx, &end)
	}
	if end.reason != "" {
		c.reason = end.reason
	}
	if c.slot != (slotgrant.Grant{}) && end.outcome == NotExecuted && end.stage == stageBody && end.blame == blameFailure {
		// The coordinator gives a target that refuses fewer calls. Without it, the others would have
		// to take all of its load.
		end.blame = blameNone
	}
	c.recordHealth(target, end, at)
	c.recordPaceOfEnd(target, end, at)
	c.recordEvidence(ctx, target, end, at)
	metrics.GetOrCreateCounter(`hickoryrock_attempt_ends_total{stage="` + string(end.stage) + `",reason="` + end.reason + `"}`).Inc()
}

// attributeToRouter changes an end that was caused by this router or by the caller.
func (c *call) attributeToRouter(ctx context.Context, end *attemptEnd) {
	if end.reason == http1client.ReasonNoMemory {
		end.blame = blameNone
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ingress.ErrCallerClosed):
		end.blame = blameNone
	case errors.Is(cause, errResponseMemory):
		end.reason, end.blame = http1client.ReasonNoMemory, blameNone
	case errors.Is(cause, errSilent):
		end.reason = reasonSilent
	case errors.Is(cause, errDeadline):
		end.reason = reasonTimeout
	case errors.Is(cause, ingress.ErrStopped):
		end.reason, end.blame = reasonStopped, blameNone
	}
}

func (c *call) recordHealth(target *state.Target, end attemptEnd, now time.Time) {
	switch end.blame {
	case blameSuccess:
		c.h.TargetHealth.RecordSuccess(target.Hash, now)
	case blameFailure:
		c.h.TargetHealth.RecordFailure(target.Hash, now)
	case blameReplaced:
		c.h.TargetHealth.RecordUnreachable(target.Hash, now)
	case blameUnreachable:
		c.h.TargetHealth.RecordUnreachable(target.Hash, now)
		c.h.Pool.CloseIdle(endpoint(target))
		c.h.Log.Warn().Str("call", c.headers.ID).Str("target", target.ID).Str("reason", end.reason).
			Msg("target unreachable, excluded from new calls")
	case blameNone:
	}
}
