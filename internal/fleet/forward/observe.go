package forward

import (
	"net/http"
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

// observeTarget records what the head of an answer says of its target. An answer with 421
// (Misdirected Request) is from another server, and a successful one without a seal may be.
func (c *call) observeTarget(target *state.Target, status int, headers platform.ResponseHeaders) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	if !headers.HasInvalidLimit {
		c.h.Limits.Observe(target.Hash, headers.Limit, time.Now())
	}
	if status/100 == 2 && !headers.Sealed {
		return
	}
	if headers.Leaving {
		c.h.OnLeaving(target.Hash)
	}
}
