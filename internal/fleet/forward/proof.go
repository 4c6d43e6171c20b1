package forward

import (
	"net/http"

	"hickoryrock/platform"
)

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
	case promisesNotExecuted(status) && (!headers.Sealed || !isIdentified):
		return "unproven-refusal"
	}
	return ""
}

// promisesNotExecuted reports whether a status tells a caller that its call was not executed.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
