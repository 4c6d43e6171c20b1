package forward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/eligibility"
	"hickoryrock/internal/policy/slots"
	"hickoryrock/internal/policy/targetpace"
)

const (
	// reasonNoSlot is the reason of calls that no target could run before their deadline.
	reasonNoSlot = "no-slot"
	// maxGrants bounds the grants that one attempt may turn down. Each costs a round trip.
	maxGrants = 3
	// maxSlotExclusions bounds the targets that a request excludes, so that it fits into a
	// datagram. The coordinator knows itself which targets are draining or evacuated.
	maxSlotExclusions = 32
	// placementSlot means that the coordinator of the service has granted a slot at the target.
	placementSlot affinity.Reason = "slot"
)

type (
	// SlotSource assigns the slots of plain services' targets to the calls of all routers.
	// slotgrant.Client implements it.
	SlotSource interface {
		// Acquire waits for a slot. The error is slotgrant.ErrNoCoordinator, a
		// *slotgrant.Refusal, or wraps that of ctx.
		Acquire(ctx context.Context, r slotgrant.Request) (slotgrant.Grant, error)
		// Release ends a grant; the zero Grant has no effect.
		Release(g slotgrant.Grant, result slots.Result)
		// Cancel ends a grant that has not been used.
		Cancel(g slotgrant.Grant)
	}
)

// usesSlots reports whether the call needs a slot that the coordinator of its service grants: one
// of a plain service whose callers compete for room.
func (c *call) usesSlots() bool {
	return c.h.Slots != nil && c.h.HasPressure && c.isPlain()
}

// isPlain reports whether the call is one to a plain service: without engines, prompts or streams.
func (c *call) isPlain() bool {
	return !c.route.Streaming && len(c.parts) == 0 && c.view.Configuration.Services[c.service].Slots == 0
}

// acquireSlot waits for a slot and returns its target. If it returns nil and true, the call is
// not sent; with nil and false, this router chooses a target without a slot.
func (c *call) acquireSlot(ctx context.Context) (target *state.Target, isDecided bool) {
	if grant := c.reservedSlot; grant != (slotgrant.Grant{}) {
		c.reservedSlot = slotgrant.Grant{}
		if target := c.useGrant(grant); target != nil {
			return target, true
		}
	}
	var rejected []uint64
	for range maxGrants {
		excluded, ok := c.slotExclusions(time.Now())
		if !ok {
			return nil, false
		}
		started := time.Now()
		grant, err := c.h.Slots.Acquire(ctx, c.slotRequest(slices.Concat(rejected, excluded)))
		c.slotWait += time.Since(started)
		if err != nil {
			return nil, c.isEndedBy(ctx, err)
		}
		// The router may have been paused, or been told to stop, while the call waited.
		c.h.awaitFreshView(ctx)
		if reason := c.lateReason(); reason != "" {
			c.h.Slots.Cancel(grant)
			c.reason = reason
			return nil, true
		}
		if target := c.useGrant(grant); target != nil {
			return target, true
		}
		rejected = append(rejected, grant.Target)
	}
	return nil, false
}

// slotRequest returns the request for a slot that excludes some targets.
func (c *call) slotRequest(excluded []uint64) slotgrant.Request {
	r := slotgrant.Request{
		Service: c.service, Workspace: c.workspace.Name, Priority: c.priority(), Deadline: c.deadline, Excluded: excluded,
	}
	if c.route.LatencyObjective > 0 {
		r.Objective = c.start.Add(c.route.LatencyObjective)
	}
	return r
}

// useGrant returns the target of a grant, which the next attempt uses, or nil if the call may not be
// sent there: the coordinator may have another view of the target than this router.
func (c *call) useGrant(grant slotgrant.Grant) *state.Target {
	target := c.grantedTarget(grant)
	if target == nil {
		c.h.Slots.Cancel(grant)
		return nil
	}
	c.slot, c.slotCoordinator = grant, grant.Coordinator
	return target
}

// reserveSlot takes a slot for the next attempt while the target of the present one is silent, and
// reports whether it did or there is no coordinator. Without it, the silent target is the best
// that the call has. It gives up when done is closed.
func (c *call) reserveSlot(done <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(context.Background(), silenceRecheckInterval)
	defer cancel()
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	grant, err := c.h.Slots.Acquire(ctx, c.slotRequest(slices.Collect(maps.Keys(c.tried))))
	if err != nil {
		return errors.Is(err, slotgrant.ErrNoCoordinator)
	}
	c.reservedSlot = grant
	return true
}

// cancelReservedSlot gives back a slot that no attempt has used.
func (c *call) cancelReservedSlot() {
	if c.reservedSlot != (slotgrant.Grant{}) {
		c.h.Slots.Cancel(c.reservedSlot)
		c.reservedSlot = slotgrant.Grant{}
	}
}

// isEndedBy reports whether the call is not sent because of an error of Acquire, and sets the
// reason.
func (c *call) isEndedBy(ctx context.Context, err error) bool {
	var refusal *slotgrant.Refusal
	switch {
	case errors.As(err, &refusal):
		c.reason, c.retryAfter = reasonNoSlot, refusal.RetryAfter
	case errors.Is(context.Cause(ctx), ingress.ErrStopped) && c.progress.PossibleExecutions > 0:
		c.reason = reasonStopped
	case errors.Is(context.Cause(ctx), ingress.ErrStopped):
		c.reason = reasonStopping // Not run.
	case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		// The deadline of the request may end before that of ctx, which is the same.
		c.reason = reasonNoSlot
	default:
		return false
	}
	return true
}

// lateReason returns why a call that has waited for a slot is not sent any more, or "".
func (c *call) lateReason() string {
	switch {
	case time.Until(c.deadline) < minAttemptTime:
		return reasonNoSlot
	case c.isLate():
		return reasonStopping
	}
	return ""
}

// slotExclusions returns the targets that must not be granted to the call: those that it was sent
// to, and those that this router may not send to. It returns false if no other is left, or if the
// slots of one are not known, so that the coordinator can't grant any.
func (c *call) slotExclusions(now time.Time) (excluded []uint64, ok bool) {
	c.targets = c.h.View().Targets
	targets := c.targets.ByService[c.service]
	if c.h.hasWindows() {
		c.h.updatePace(c.service, targets, c.h.TargetHealth.Summaries(state.Hashes(targets), now), now)
	}
	for hash := range c.tried {
		excluded = append(excluded, hash)
	}
	for _, t := range targets {
		switch {
		case t.Slots <= 0:
			return nil, false
		case c.tried[t.Hash]:
		case c.h.grantEligibility.Check(t, now).Reason == eligibility.Eligible:
			ok = true
		case len(excluded) < maxSlotExclusions:
			excluded = append(excluded, t.Hash)
		}
	}
	return excluded, ok
}

// grantedTarget returns the target of a grant if the call may be sent there.
func (c *call) grantedTarget(grant slotgrant.Grant) *state.Target {
	now := time.Now()
	c.targets = c.h.View().Targets
	for _, t := range c.targets.ByService[c.service] {
		if t.Hash != grant.Target {
			continue
		}
		isEligible := c.h.grantEligibility.Check(t, now).Reason == eligibility.Eligible
		if c.tried[t.Hash] || !isEligible || !c.beginPace(t, now, (*targetpace.Tracker).TryBeginCold) {
			return nil
		}
		c.placement, c.cacheSource = affinity.Choice{Index: -1, Source: -1, Reason: placementSlot}, nil
		c.h.Limits.Take(t.Hash, now)
		return t
	}
	return nil
}

// releaseSlot ends the grant of an attempt, if there is one.
func (c *call) releaseSlot(end attemptEnd) {
	if c.slot == (slotgrant.Grant{}) {
		return
	}
	c.h.Slots.Release(c.slot, slots.Result{
		Took: time.Since(c.attemptStart), Succeeded: end.isAnswer(), Refused: end.outcome == NotExecuted && end.stage == stageBody,
		Running: c.load.Running, Queued: c.load.Waiting, HasLoad: c.hasLoad,
	})
	c.slot = slotgrant.Grant{}
}

// hasEngines reports whether the call's service consists of engines, which admit requests by
// priority.
func (c *call) hasEngines() bool {
	return c.route.Sticky || c.view.Configuration.Services[c.service].Slots > 0
}

// priority returns the call's urgency; 0 is the most urgent.
func (c *call) priority() int {
	if c.workspace.HasPriority {
		return c.workspace.Priority
	}
	return c.route.Priority
}
