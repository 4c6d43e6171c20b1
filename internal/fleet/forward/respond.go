package forward

import (
	"net/http"
	"time"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/policy/eligibility"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
)

// apply carries out an action and reports whether the call is finished.
func (c *call) apply(action Action) bool {
	switch action {
	case Retry:
		return false
	case Relay:
		if c.buffered != nil {
			c.status = c.buffered.head.Status
			if c.progress.Outcome == NotExecuted {
				c.reason = reasonTargetFailed // That of the attempt before, after which no target was left.
			}
			c.writer.Respond(c.status, c.buffered.head.Reason, endToEndFields(c.buffered.head), c.buffered.body)
		}
	case Reject:
		if v := c.refusal(time.Now()); v.Reason == eligibility.Backoff {
			c.retryAfter = max(c.retryAfter, v.Wait)
		}
		c.reject(c.reason)
	case Fail:
		c.respond(http.StatusBadGateway, c.reason)
	case TimedOut:
		c.respond(http.StatusGatewayTimeout, c.reason)
	case Abort:
		c.writer.Abort()
	}
	return true
}

// reject responds with 503 and Retry-After to a call that did not and will not execute.
func (c *call) reject(reason string) { c.rejectWith(reason, ingress.RetryAfterField(c.retryAfter)) }

func (c *call) rejectWith(reason string, retryAfter http1.Field) {
	c.respond(http.StatusServiceUnavailable, reason, retryAfter)
}

// respond sends a response without a body that the router itself generates.
func (c *call) respond(status int, reason string, fields ...http1.Field) {
	c.respondWith(status, reason, nil, fields...)
}

func (c *call) respondWith(status int, reason string, body []byte, fields ...http1.Field) {
	c.reason, c.status = reason, status
	if c.headers.ID != "" {
		fields = append(fields, platform.CallIDField(c.headers.ID))
	}
	c.writer.Respond(status, http.StatusText(status), fields, body)
}

// endToEndFields returns the header fields of a target's response without the
// hop-by-hop ones.
func endToEndFields(head *http1.Response) []http1.Field {
	out := make([]http1.Field, 0, len(head.Fields))
	for _, f := range head.Fields {
		if !head.HopByHop(f.LowerName) {
			out = append(out, f)
		}
	}
	return out
}
