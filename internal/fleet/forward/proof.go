package forward

import (
	"hickoryrock/internal/caller/outcome"
	"hickoryrock/platform"
)

// reasonUnprovenRefusal is the reason of calls whose target has answered with a status that promises
// that they were not executed, without proof of it.
const reasonUnprovenRefusal = "unproven-refusal"

// doubt returns why a response must not be relayed although it may be the answer to this
// call, or "". Targets state the ID of the call that they answer.
func (c *call) doubt(status int, headers platform.ResponseHeaders) string {
	isIdentified := headers.CallID == c.headers.ID
	switch {
	case headers.NotExecuted && !isIdentified:
		return "unidentified-refusal"
	case headers.NotExecuted && status/100 == 2:
		return "contradictory-answer"
	case headers.NotExecuted:
		return ""
	case status/100 == 2 && !headers.Sealed:
		return "unsealed-answer"
	case !outcome.PromisesNotRun(status):
		return ""
	case !isIdentified, !headers.Sealed && !c.route.AtMostOnce():
		return reasonUnprovenRefusal
	}
	return "" // On a route whose calls run at most once, relay reads the body but does not keep it.
}

// isUnprovenRefusal reports whether a response would tell the caller that a call that must not execute
// twice was not executed, without the target's proof.
func (c *call) isUnprovenRefusal(status int, headers platform.ResponseHeaders) bool {
	return c.route.AtMostOnce() && outcome.PromisesNotRun(status) && !headers.NotExecuted
}
