// Package eligibility decides whether a target may be sent a call now. It is the one place that
// knows all reasons why it may not; others only record what targets and the store say. Callers
// pass the current time to every function that needs it.
package eligibility

import (
	"time"

	"hickoryrock/internal/fleet/state"
)

const (
	// Eligible targets may be sent a call.
	Eligible Reason = iota
	// Draining targets finish their calls and get no new ones.
	Draining
	// Leaving targets have said in an answer that they leave.
	Leaving
	// Evacuated targets are in a failure domain that operators have evacuated.
	Evacuated
	// Backoff means that the target wants no calls from this router for a time.
	Backoff
	// Limited targets have got as many calls from this router as the limit that they name
	// allows.
	Limited
	// Warming targets have started or recovered and bear only a part of the usual load.
	Warming
	// None means that a service has no target.
	None
)

var reasonNames = [...]string{"", "draining", "leaving", "evacuated", "target-backoff", "target-limits", "warming", "no-target"}

type (
	// Reason says why a target may not be sent a call.
	Reason uint8

	// Verdict says whether a target may be sent a call.
	Verdict struct {
		Reason Reason
		// Wait is the time until the target may be sent one; zero if it is not known.
		Wait time.Duration
	}

	// Rule is one reason why a target may not be sent a call from this router. It returns the
	// zero Verdict if it does not apply.
	Rule func(t *state.Target, now time.Time) Verdict

	// Checker applies rules in order. It is immutable.
	Checker struct {
		rules []Rule
	}
)

// New returns a checker that applies what the view says of a target and then the rules.
func New(rules ...Rule) *Checker { return &Checker{rules: rules} }

// String returns the reason in kebab case, as it appears in logs, metrics and views.
func (r Reason) String() string { return reasonNames[r] }

// Check returns whether a target may be sent a call now: the first reason that applies.
func (c *Checker) Check(t *state.Target, now time.Time) Verdict {
	switch {
	case t.Leaving:
		return Verdict{Reason: Leaving}
	case t.Draining:
		return Verdict{Reason: Draining}
	case t.Evacuated:
		return Verdict{Reason: Evacuated}
	}
	return c.CheckRules(t, now)
}

// CheckRules is Check without what the view says of the target: whether requests of any kind may
// reach it, such as fetches from its cache.
func (c *Checker) CheckRules(t *state.Target, now time.Time) Verdict {
	for _, rule := range c.rules {
		if v := rule(t, now); v.Reason != Eligible {
			return v
		}
	}
	return Verdict{}
}

// Refusal returns why no target of a service takes a call that was sent to those in tried, and
// the time until one may. A reason that ends by itself is preferred to one that does not; the
// wait is zero if it is not known.
func (c *Checker) Refusal(targets []*state.Target, tried map[uint64]bool, now time.Time) Verdict {
	refusal := Verdict{Reason: None}
	evacuated, isFree := false, false
	for _, t := range targets {
		v := c.Check(t, now)
		switch {
		case v.Reason == Draining, v.Reason == Leaving:
		case v.Reason == Evacuated:
			evacuated = true
		case v.Reason == Eligible, tried[t.Hash] && v.Reason != Backoff:
			isFree = true
		default:
			refusal = earlier(refusal, v)
		}
	}
	switch {
	case refusal.Reason == Backoff && isFree:
		// Another call of the same caller would be served.
		return Verdict{Reason: None}
	case refusal.Reason == None && evacuated && !isFree:
		return Verdict{Reason: Evacuated}
	}
	return refusal
}

// earlier returns the verdict with the shorter known wait. Limits and windows go before waits
// that a target has asked for: they are what this router may change.
func earlier(a, b Verdict) Verdict {
	if a.Reason == None {
		return b
	}
	reason := a.Reason
	if reason == Backoff {
		reason = b.Reason
	}
	switch {
	case a.Wait == 0:
		return Verdict{reason, b.Wait}
	case b.Wait == 0:
		return Verdict{reason, a.Wait}
	}
	return Verdict{reason, min(a.Wait, b.Wait)}
}
