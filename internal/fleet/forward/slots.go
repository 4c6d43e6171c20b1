package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/eligibility"
	"hickoryrock/internal/policy/slots"
)

const (
	// reasonNoSlot is the reason of calls that no target could run before their deadline.
	reasonNoSlot = "no-slot"
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
	}

	// unevenServices holds the services whose targets have stated how long work takes on their
	// machines at the moment. It is safe for concurrent use.
	unevenServices struct {
		names sync.Map
	}
)

func (u *unevenServices) add(service string) {
	if !u.has(service) {
		u.names.Store(service, struct{}{})
	}
}

func (u *unevenServices) has(service string) bool {
	_, ok := u.names.Load(service)
	return ok
}

// usesSlots reports whether the call needs a slot that the coordinator of its service grants:
// calls of a plain service whose callers compete for room, or whose targets are uneven.
func (c *call) usesSlots() bool {
	if c.h.Slots == nil || c.route.Streaming || len(c.parts) > 0 || c.view.Configuration.Services[c.service].Slots > 0 {
		return false
	}
	return c.h.HasPressure || c.h.uneven.has(c.service)
}

// acquireSlot waits for a slot and returns its target. If it returns nil and true, the call is
// not sent; with nil and false, this router chooses a target without a slot.
func (c *call) acquireSlot(ctx context.Context) (target *state.Target, isDecided bool) {
	excluded := make([]uint64, 0, len(c.tried))
	for hash := range c.tried {
		excluded = append(excluded, hash)
	}
	started := time.Now()
	grant, err := c.h.Slots.Acquire(ctx, slotgrant.Request{
		Service: c.service, Workspace: c.workspace.Name, Priority: c.priority(),
		Objective: c.start.Add(c.route.LatencyObjective), Deadline: c.deadline, Excluded: excluded,
	})
	c.slotWait += time.Since(started)
	var refusal *slotgrant.Refusal
	switch {
	case err == nil:
		if target := c.grantedTarget(grant); target != nil {
			c.slot = grant
			return target, true
		}
		// The coordinator has another view of the target than this router.
		c.h.Slots.Release(grant, slots.Result{})
		return nil, false
	case errors.As(err, &refusal):
		c.reason, c.retryAfter = reasonNoSlot, refusal.RetryAfter
		return nil, true
	case ctx.Err() != nil:
		c.reason = reasonNoSlot
		if errors.Is(context.Cause(ctx), ingress.ErrStopped) {
			c.reason = reasonStopped
		}
		return nil, true
	}
	return nil, false
}

// grantedTarget returns the target of a grant if the call may be sent there.
func (c *call) grantedTarget(grant slotgrant.Grant) *state.Target {
	now := time.Now()
	c.targets = c.h.View().Targets
	for _, t := range c.targets.ByService[c.service] {
		isEligible := c.h.grantEligibility.Check(t, now).Reason == eligibility.Eligible
		if t.Hash == grant.Target && !c.tried[t.Hash] && isEligible {
			c.placement, c.cacheSource = affinity.Choice{Index: -1, Source: -1, Reason: placementSlot}, nil
			c.h.Limits.Take(t.Hash, now)
			return t
		}
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

// priority returns the call's urgency; 0 is the most urgent.
func (c *call) priority() int {
	if c.workspace.HasPriority {
		return c.workspace.Priority
	}
	return c.route.Priority
}
