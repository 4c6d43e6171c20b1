package forward

import (
	"time"

	"hickoryrock/internal/fleet/state"
)

const (
	// Responded means that the target returned a response to relay.
	Responded Outcome = iota
	// NotExecuted means that the attempt provably did not and will not execute.
	NotExecuted
	// FailedAtTarget means that the target executed the call and returned an error.
	FailedAtTarget
	// Unknown means that the attempt may have executed.
	Unknown
)

const (
	// Relay sends the target's response to the caller.
	Relay Action = iota
	// Retry sends the call to another target.
	Retry
	// Reject tells the caller that the call was not executed (503).
	Reject
	// Fail tells the caller that the call may have executed (502).
	Fail
	// TimedOut tells the caller that the deadline has passed and that the call may
	// have executed (504).
	TimedOut
	// Abort ends a response that has begun so that the caller sees it as incomplete.
	Abort
)

const (
	// maxAttempts bounds the attempts of one call, including those that provably
	// did not execute.
	maxAttempts = 4
	// minAttemptTime is the remaining time below which no target can respond in time.
	minAttemptTime = 5 * time.Millisecond
)

type (
	// Outcome is the result of one attempt.
	Outcome uint8

	// Action is the next step after an attempt.
	Action uint8

	// Progress is the state of a call after an attempt.
	Progress struct {
		Outcome Outcome
		// Attempts counts the attempts so far, PossibleExecutions those of them that may
		// have executed.
		Attempts           int
		PossibleExecutions int
		// Started is set when a part of the response has been sent to the caller.
		Started bool
		// Unnumbered is set when the caller has received events of a stream that no event ID
		// covers, so that resuming the stream would repeat them.
		Unnumbered bool
		// Remaining is the time until the call's deadline.
		Remaining time.Duration
		// Withheld is set when the call must not be retried because its prompt may have
		// crashed its target.
		Withheld bool
		// Stopped is set when the router stops.
		Stopped bool
		// HasResponse is set when a target's error response can be relayed: that of the last
		// attempt, or of the one before if no target was left for another.
		HasResponse bool
	}
)

// Decide returns the next step after an attempt on a route. It calls budget, which
// takes a retry from the retry budget, only if nothing else rules out a retry.
func Decide(route *state.Route, p Progress, budget func() bool) Action {
	if p.Outcome == Responded {
		return Relay
	}
	if mayRetry(route, p) && budget() {
		return Retry
	}
	switch {
	case p.Started:
		return Abort
	case p.HasResponse:
		return Relay
	case p.PossibleExecutions == 0:
		// All attempts provably did not execute.
		return Reject
	case p.Remaining <= 0:
		return TimedOut
	}
	return Fail
}

func mayRetry(route *state.Route, p Progress) bool {
	if p.Withheld || p.Stopped || p.Attempts >= maxAttempts || p.Remaining < minAttemptTime {
		return false
	}
	if p.PossibleExecutions == 0 {
		return true
	}
	if route.AtMostOnce() || p.PossibleExecutions >= route.MaxAttempts {
		return false
	}
	return !p.Started || (route.Resumable && !p.Unnumbered)
}
