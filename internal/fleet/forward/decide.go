package forward

import (
	"time"

	"hickoryrock/internal/fleet/state"
)

const (
	// Answered means that the target gave an answer to pass on.
	Answered Fate = iota
	// NotRun means that there is proof that the attempt did not and will not run.
	NotRun
	// FailedAtTarget means that the target ran the call and gave a failure.
	FailedAtTarget
	// Unknown means that the attempt may have run.
	Unknown
)

const (
	// PassOn gives the caller the target's answer as it is.
	PassOn Action = iota
	// Again sends the call to another target.
	Again
	// Refuse tells the caller that the call has not run.
	Refuse
	// Fail tells the caller that the call may have run.
	Fail
	// TimedOut tells the caller that its time is over and the call may have run.
	TimedOut
	// Abort ends an answer that has begun so that it looks incomplete.
	Abort
)

const (
	// maxSends bounds the targets that one call is offered to, those that
	// prove that it has not run included.
	maxSends = 4
	// minUsefulTime is the time below which no target can answer.
	minUsefulTime = 5 * time.Millisecond
)

type (
	// Fate says what became of one attempt.
	Fate uint8

	// Action is what to do after an attempt.
	Action uint8

	// Progress is the state of a call after an attempt.
	Progress struct {
		Fate Fate
		// Sends counts the attempts so far, Runs those that may have run.
		Sends int
		Runs  int
		// Begun is set when the caller has a part of the answer.
		Begun bool
		// Left is the time that is left for the call.
		Left time.Duration
		// HasAnswer is set when the target's own failure can be passed on.
		HasAnswer bool
	}
)

// Decide says what to do after an attempt on a route. Budget is asked only
// when everything else allows another attempt.
func Decide(route *state.Route, p Progress, budget func() bool) Action {
	if p.Fate == Answered {
		return PassOn
	}
	if mayRepeat(route, p) && budget() {
		return Again
	}
	switch {
	case p.Begun:
		return Abort
	case p.Fate == FailedAtTarget && p.HasAnswer:
		return PassOn
	case p.Runs == 0:
		// Every attempt is proved not to have run.
		return Refuse
	case p.Left <= 0:
		return TimedOut
	}
	return Fail
}

func mayRepeat(route *state.Route, p Progress) bool {
	if p.Sends >= maxSends || p.Left < minUsefulTime {
		return false
	}
	if p.Runs == 0 {
		return true
	}
	if route.RunsOnce() || p.Runs >= route.MaxAttempts {
		return false
	}
	return !p.Begun || route.Resumable
}
