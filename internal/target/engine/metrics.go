package engine

import (
	"fmt"

	"hickoryrock/internal/caller/outcome"
)

// reasonRepeatedEvent counts events that were dropped as duplicates.
const reasonRepeatedEvent = "repeated-event"

// countRequest counts a request by its outcome.
func (c *Client) countRequest(f *outcome.Failure) {
	status, reason := outcome.Done, outcome.ReasonNone
	if f != nil {
		status, reason = f.Status, f.Reason
	}
	name := fmt.Sprintf(`hickoryrock_target_calls_total{kind="engine",outcome=%q,reason=%q}`, status, reason)
	c.opts.Metrics.GetOrCreateCounter(name).Inc()
}

// countRetry counts a replaced connection or a dropped event by its reason.
func (c *Client) countRetry(reason string) {
	name := fmt.Sprintf(`hickoryrock_engine_retries_total{reason=%q}`, reason)
	c.opts.Metrics.GetOrCreateCounter(name).Inc()
}
