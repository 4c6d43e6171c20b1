package forward

import (
	"net/http"
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

const (
	reasonLimits  = "target-limits"
	reasonBackoff = "target-backoff"

	// otherRouterDelay is the time after which a caller should try another router if this
	// one may not send to any target that has named a limit.
	otherRouterDelay = 100 * time.Millisecond
)

// obstacle is why no target takes a call now, and the time until one may.
type obstacle struct {
	reason string
	wait   time.Duration
}

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
	c.h.Backoff.Observe(target.Hash, headers.RetryAfter, time.Now())
	if headers.Leaving {
		c.h.OnLeaving(target.Hash)
	}
}

// accepts reports whether a target takes another request from this router now, as far as it
// has said.
func (h *Handler) accepts(t *state.Target, now time.Time) bool {
	return h.Backoff.Remaining(t.Hash, now) == 0 && h.Limits.Allows(t.Hash, now)
}

// untilAccepted returns why no target takes the call, and the time until one may. The time is
// zero if one would take it that has not been tried, or a later call of the same caller.
func (c *call) untilAccepted(now time.Time) obstacle {
	var limited []uint64
	var shortest time.Duration
	isFree := false
	for _, t := range c.targets.ByService[c.service] {
		wait := c.h.Backoff.Remaining(t.Hash, now)
		switch {
		case t.Draining:
		case wait > 0:
			if shortest == 0 || wait < shortest {
				shortest = wait
			}
		case !c.tried[t.Hash] && !c.h.Limits.Allows(t.Hash, now):
			limited = append(limited, t.Hash)
		default:
			isFree = true
		}
	}
	switch {
	case len(limited) > 0:
		wait, ok := c.h.Limits.Wait(limited, now)
		if !ok {
			wait = otherRouterDelay
		}
		if shortest > 0 {
			wait = min(wait, shortest)
		}
		return obstacle{reasonLimits, wait}
	case shortest > 0 && !isFree:
		return obstacle{reasonBackoff, shortest}
	}
	return obstacle{reason: reasonNoTarget}
}
