package forward

import (
	"maps"
	"sync"
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/eligibility"
	"hickoryrock/internal/policy/targetpace"
	"hickoryrock/internal/policy/targetstats"
)

// slowAnswerFactor is the multiple of the usual time from which an answer of a target that has
// started or recovered says that it has too much to do.
const slowAnswerFactor = 3

const (
	// minEjection is the shortest ejection after which a target has recovered, as far as this
	// router has seen it. The failure rate of one that fails a part of its calls crosses its bound
	// many times a second, and the target still has calls in flight then. An unreachable target is
	// ejected for a second, of which a router with few calls sees a part.
	minEjection   = 500 * time.Millisecond
	reasonEjected = "ejected"
	// maxExcluded bounds the targets that are remembered.
	maxExcluded = 4096
)

type (
	// recoveries knows which targets get no calls, or no more than their limits, for a reason that
	// ends by itself, so that they are not flooded when it ends. It is safe for concurrent use.
	recoveries struct {
		mu       sync.Mutex
		excluded map[uint64]exclusion
	}

	// exclusion is why a target gets no calls, or no more than it takes, since when, and when that
	// was last seen.
	exclusion struct {
		reason        string
		since, seenAt time.Time
	}

	// coldRates says whether a service of a configuration has a bound on the calls to its cold
	// targets.
	coldRates struct {
		configuration *state.Configuration
		any           bool
	}
)

// prune forgets targets that are no longer listed.
func (r *recoveries) prune(listed map[uint64]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.excluded, func(target uint64, _ exclusion) bool { return !listed[target] })
}

// update records why a target does not get its share, or "" if it does, and returns the reason that
// has ended, or "", and when it was last seen. If a target gets no calls while it names a limit, or
// names one later, the last reason counts, so that a window after an ejection does not grow with time.
func (r *recoveries) update(target uint64, reason string, now time.Time) (ended string, seenAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, ok := r.excluded[target]
	switch {
	case reason != "" && !ok:
		if r.excluded == nil || len(r.excluded) > maxExcluded {
			r.excluded = make(map[uint64]exclusion)
		}
		r.excluded[target] = exclusion{reason, now, now}
	case reason != "":
		before.seenAt = now
		if reason == targetpace.LimitEnded || before.reason == targetpace.LimitEnded {
			before.reason = reason
		}
		r.excluded[target] = before
	case reason == "" && ok:
		delete(r.excluded, target)
		if before.reason == reasonEjected && now.Sub(before.since) < minEjection {
			return "", time.Time{}
		}
		return before.reason, before.seenAt
	}
	return "", time.Time{}
}

// paceRule is the eligibility.Rule of targets that are cold, or have started or recovered.
func (h *Handler) paceRule(t *state.Target, now time.Time) eligibility.Verdict {
	return h.checkPace(t, now, (*targetpace.Tracker).Allows)
}

// coldRule is paceRule for calls whose number at the target is bounded elsewhere.
func (h *Handler) coldRule(t *state.Target, now time.Time) eligibility.Verdict {
	return h.checkPace(t, now, (*targetpace.Tracker).AllowsCold)
}

func (h *Handler) checkPace(
	t *state.Target, now time.Time, allows func(*targetpace.Tracker, uint64, time.Time) (time.Duration, bool),
) eligibility.Verdict {
	if !h.isPaced(t.Service) {
		return eligibility.Verdict{}
	}
	limit, coldTime := h.coldLimit(t.Service)
	h.observeEntry(t, limit, coldTime, now)
	if wait, ok := allows(h.Pace, t.Hash, now); !ok {
		return eligibility.Verdict{Reason: eligibility.Warming, Wait: wait}
	}
	return eligibility.Verdict{}
}

// coldLimit returns the bound on the calls to cold targets of a service, and how long they are
// cold after their start.
func (h *Handler) coldLimit(service string) (targetpace.Limit, time.Duration) {
	c := h.View().Configuration
	if c == nil || !h.hasColdRates(c) {
		return targetpace.Limit{}, 0
	}
	s := c.Services[service]
	return h.ColdLimit(s), s.ColdTime
}

// hasColdRates reports whether a service has a bound on the calls to its cold targets. It is asked
// for each target of each call, so it is found out once for each configuration.
func (h *Handler) hasColdRates(c *state.Configuration) bool {
	if known := h.coldRates.Load(); known != nil && known.configuration == c {
		return known.any
	}
	rates := &coldRates{configuration: c}
	for _, s := range c.Services {
		rates.any = rates.any || s.ColdRate > 0
	}
	h.coldRates.Store(rates)
	return rates.any
}

// isPaced reports whether the calls to targets of a service may be bounded.
func (h *Handler) isPaced(service string) bool {
	if h.Pace == nil {
		return false
	}
	if h.hasWindows() {
		return true
	}
	limit, _ := h.coldLimit(service)
	return limit.PerSecond > 0
}

// beginPace counts a request to a target against its pace until endPace, and reports whether try,
// such as TryBegin, permits it.
func (c *call) beginPace(t *state.Target, now time.Time, try func(*targetpace.Tracker, uint64, time.Time) bool) bool {
	if !c.h.isPaced(t.Service) {
		return true
	}
	if !try(c.h.Pace, t.Hash, now) {
		return false
	}
	c.paced = append(c.paced, t.Hash)
	return true
}

// beginPaces counts the requests of a choice against the pace of its target and of the target
// from whose cache that one fetches. It returns -1, or the index of a target that may not be
// sent a request.
func (c *call) beginPaces(targets []*state.Target, choice affinity.Choice, now time.Time) int {
	for _, i := range []int{choice.Source, choice.Index} {
		if i >= 0 && !c.beginPace(targets[i], now, (*targetpace.Tracker).TryBegin) {
			c.endPace(now)
			return i
		}
	}
	return -1
}

// endPace ends what beginPace has counted, and reports whether there was anything.
func (c *call) endPace(now time.Time) bool {
	isPaced := len(c.paced) > 0
	for _, hash := range c.paced {
		c.h.Pace.End(hash, now)
	}
	c.paced = c.paced[:0]
	return isPaced
}

// observeEntry records what the entry of a target says of its start, once for each view.
func (h *Handler) observeEntry(t *state.Target, limit targetpace.Limit, coldTime time.Duration, now time.Time) {
	if known, ok := h.observedTargets.Load(t.Hash); ok && known == t {
		return
	}
	h.observedTargets.Store(t.Hash, t)
	s := targetpace.State{ColdStart: coldTime, ColdStated: t.HasCold, ColdLeft: t.ColdLeft, At: t.ReceivedAt, Limit: limit}
	if t.StartUnixMilli > 0 {
		s.Started = time.UnixMilli(t.StartUnixMilli)
	}
	h.Pace.Observe(t.Hash, t.Service, s, now)
}

// observeCold records what the answer of a target says of how long it stays cold.
func (h *Handler) observeCold(t *state.Target, left time.Duration, now time.Time) {
	if limit, _ := h.coldLimit(t.Service); h.Pace != nil && limit.PerSecond > 0 {
		h.Pace.Observe(t.Hash, t.Service, targetpace.State{ColdStated: true, ColdLeft: left, Limit: limit}, now)
	}
}

// PruneTargets forgets what is only needed of targets that are listed.
func (h *Handler) PruneTargets(listed map[uint64]bool) {
	h.observedTargets.Range(func(key, _ any) bool {
		if hash, ok := key.(uint64); ok && !listed[hash] {
			h.observedTargets.Delete(key)
		}
		return true
	})
	h.recoveries.prune(listed)
}

// hasWindows reports whether targets that have started or recovered get their load step by step.
func (h *Handler) hasWindows() bool { return h.Pace != nil && h.HasPressure }

// updatePace tells the pace tracker which targets of a service may take more load, how many calls
// the settled ones of these have, and which targets have recovered.
func (h *Handler) updatePace(service string, targets []*state.Target, summaries []targetstats.Summary, now time.Time) {
	if !h.hasWindows() {
		return
	}
	usable := make([]uint64, 0, len(targets))
	calls, settled := 0, 0
	for i, t := range targets {
		reason := ""
		switch {
		case summaries[i].Ejected:
			reason = reasonEjected
		case t.Evacuated:
			reason = eligibility.Evacuated.String()
		case h.Backoff.Remaining(t.Hash, now) > 0:
			reason = eligibility.Backoff.String()
		case h.Limits.IsNamed(t.Hash, now):
			reason = targetpace.LimitEnded
		case t.Draining:
			continue
		default:
			usable = append(usable, t.Hash)
		}
		if ended, seenAt := h.recoveries.update(t.Hash, reason, now); ended != "" {
			h.Pace.RecoveredSince(t.Hash, service, ended, seenAt, now)
		}
		if reason == "" && h.Pace.IsSettled(t.Hash, now) {
			calls, settled = calls+summaries[i].Calls, settled+1
		}
	}
	mean := -1.0 // It is not known if no target is settled.
	if settled > 0 {
		mean = float64(calls) / float64(settled)
	}
	h.Pace.SetMean(service, usable, mean, now)
}

// recordPaceOfEnd records what the end of an attempt says about how much its target bears.
// Failures at the target are no sign of load: some calls fail wherever they run.
func (c *call) recordPaceOfEnd(target *state.Target, end attemptEnd, now time.Time) {
	if !c.endPace(now) {
		return
	}
	switch {
	case end.blame == blameReplaced, end.blame == blameNone, end.outcome == FailedAtTarget:
	case end.blame == blameSuccess:
		c.h.Pace.RecordSuccess(target.Hash, now)
	case end.blame == blameUnreachable:
		c.h.Pace.RecordSetback(target.Hash, "unreachable", now)
	default:
		c.h.Pace.RecordSetback(target.Hash, end.reason, now)
	}
}
