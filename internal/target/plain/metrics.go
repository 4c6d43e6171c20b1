package plain

import (
	"fmt"

	"hickoryrock/internal/caller/outcome"
)

// countCall counts a call by its outcome.
func (c *Client) countCall(f *outcome.Failure) {
	status, reason := outcome.Done, outcome.ReasonNone
	if f != nil {
		status, reason = f.Status, f.Reason
	}
	name := fmt.Sprintf(`hickoryrock_target_calls_total{kind="plain",outcome=%q,reason=%q}`, status, reason)
	c.opts.Metrics.GetOrCreateCounter(name).Inc()
}
