package forward

import (
	"net/http"
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/eligibility"
	"hickoryrock/platform"
)

const (
	// otherRouterDelay is the time after which a caller should try another router if this
	// one may not send to any target that has named a limit.
	otherRouterDelay = 100 * time.Millisecond
	// evacuatedRetryDelay is the time after which a caller should return if all targets are in
	// evacuated failure domains. Evacuations last for seconds and more.
	evacuatedRetryDelay = time.Second
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
	if headers.HasCold {
		c.h.observeCold(target, headers.ColdLeft, time.Now())
	}
	c.observeFigures(target, headers, time.Now())
	c.h.Backoff.Observe(target.Hash, headers.RetryAfter, time.Now())
	if headers.Leaving {
		c.h.OnLeaving(target.Hash)
	}
}

// backoffRule is the eligibility.Rule of targets that want no requests for a time.
func (h *Handler) backoffRule(t *state.Target, now time.Time) eligibility.Verdict {
	if wait := h.Backoff.Remaining(t.Hash, now); wait > 0 {
		return eligibility.Verdict{Reason: eligibility.Backoff, Wait: wait}
	}
	return eligibility.Verdict{}
}

// limitsRule is the eligibility.Rule of targets that name a limit.
func (h *Handler) limitsRule(t *state.Target, now time.Time) eligibility.Verdict {
	if h.Limits.Allows(t.Hash, now) {
		return eligibility.Verdict{}
	}
	wait, ok := h.Limits.Wait([]uint64{t.Hash}, now)
	if !ok {
		wait = otherRouterDelay
	}
	return eligibility.Verdict{Reason: eligibility.Limited, Wait: wait}
}

// Eligibility returns whether a target may be sent a call now.
func (h *Handler) Eligibility(t *state.Target, now time.Time) eligibility.Verdict {
	return h.eligibility.Check(t, now)
}

// isEligible reports whether a target may be sent another call now.
func (h *Handler) isEligible(t *state.Target, now time.Time) bool {
	return h.Eligibility(t, now).Reason == eligibility.Eligible
}

// refusal returns why no target takes the call, and the time until one may.
func (c *call) refusal(now time.Time) eligibility.Verdict {
	v := c.h.eligibility.Refusal(c.targets.ByService[c.service], c.tried, now)
	if v.Reason == eligibility.Evacuated {
		v.Wait = evacuatedRetryDelay
	}
	return v
}
