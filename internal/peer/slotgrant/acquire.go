package slotgrant

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/slots"
)

// attempt is one request to one coordinator.
type attempt struct {
	*Client
	*pending
	request     slots.Request
	coordinator Member
}

// Acquire asks the coordinator of a service for a slot and waits for a grant. Each grant must
// be released. The error is ErrNoCoordinator, a *Refusal, or wraps the error of ctx; the
// deadline of the request counts as that of ctx.
func (c *Client) Acquire(ctx context.Context, r Request) (Grant, error) {
	now := c.opts.now()
	grant, err := c.acquire(ctx, r, now)
	switch {
	case err == nil:
		c.metrics.granted.Inc()
		c.metrics.wait.Update(grant.Waited.Seconds())
	case eris.Is(err, ErrNoCoordinator):
		c.metrics.noCoordinator.Inc()
	case eris.As(err, new(*Refusal)):
		c.metrics.refused.Inc()
	default:
		c.metrics.cancelled.Inc()
	}
	return grant, err
}

func (c *Client) acquire(ctx context.Context, r Request, now time.Time) (Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return Grant{}, eris.Wrap(err, "request a slot")
	}
	if len(r.Service) > maxServiceBytes || len(r.Excluded) > maxExcluded {
		return Grant{}, ErrNoCoordinator
	}
	coordinator, ok := c.routing.choose(c.members(), r.Service, now)
	if !ok {
		return Grant{}, ErrNoCoordinator
	}
	a := c.newAttempt(r, coordinator, now)
	if a == nil {
		return Grant{}, ErrNoCoordinator
	}
	reply, err := a.run(ctx)
	if err != nil {
		return Grant{}, err
	}
	if reply.Kind == slots.Refused {
		return Grant{}, &Refusal{RetryAfter: reply.RetryAfter}
	}
	return Grant{
		Target: reply.Target, Waited: c.opts.now().Sub(now), Coordinator: coordinator.Address.String(), serial: reply.Serial,
	}, nil
}

// newAttempt numbers a request. It returns nil if there are too many.
func (c *Client) newAttempt(r Request, coordinator Member, now time.Time) *attempt {
	if r.Objective.IsZero() {
		r.Objective = r.Deadline
	}
	p := &pending{service: r.Service, deadline: r.Deadline, changed: make(chan struct{}, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	if len(c.pending)+len(c.held) >= maxClientRequests {
		return nil
	}
	c.serial++
	c.pending[c.serial] = p
	return &attempt{Client: c, pending: p, coordinator: coordinator, request: slots.Request{
		Key: slots.Key{Process: c.process, Serial: c.serial}, Workspace: xxhash.Sum64String(r.Workspace), Priority: r.Priority,
		Objective: r.Objective, Deadline: r.Deadline, Excluded: r.Excluded,
	}}
}

// sweep forgets grants that have not been released by their deadline. The caller must hold
// c.mu.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for serial, h := range c.held {
		if now.After(h.expires) {
			delete(c.held, serial)
		}
	}
}

// run sends the request and waits for the final reply. A request that waits at another router
// is repeated, so that the loss of a reply or of the coordinator is noticed.
func (a *attempt) run(ctx context.Context) (slots.Reply, error) {
	if !a.ask() {
		return a.giveUpSilent()
	}
	t := &answerTimer{opts: &a.opts}
	if !a.coordinator.IsSelf {
		t.start(a.opts.answerTimeout)
		defer t.Stop()
	}
	isAnswerDue := true
	for {
		select {
		case <-a.changed:
			if isAnswerDue {
				a.routing.recordAnswer(a.coordinator.Address, a.service, a.log)
			}
			if reply, ok := a.finalReply(); ok {
				return reply, nil
			}
			if isAnswerDue && !a.coordinator.IsSelf {
				t.start(a.opts.repeatInterval)
			}
			isAnswerDue = false
		case <-t.expired:
			if isAnswerDue && t.extend() {
				continue
			}
			if isAnswerDue || !a.ask() {
				return a.giveUpSilent()
			}
			isAnswerDue = true
			t.start(a.opts.ackTimeout)
		case <-ctx.Done():
			a.discard()
			return slots.Reply{}, eris.Wrap(ctx.Err(), "wait for a slot")
		case <-a.closed:
			return a.giveUp()
		}
	}
}

// ask sends the request to the coordinator and reports whether it could.
func (a *attempt) ask() bool {
	now := a.opts.now()
	if a.coordinator.IsSelf {
		return a.Client.coordinator.request(a.service, a.request, netip.AddrPort{}, now)
	}
	return a.sendMessage(a.coordinator.Address, newRequestMessage(a.service, a.request, now))
}

// giveUpSilent gives up the request because the coordinator does not answer.
func (a *attempt) giveUpSilent() (slots.Reply, error) {
	reply, err := a.giveUp()
	if err != nil && !a.coordinator.IsSelf {
		a.routing.recordSilence(a.coordinator.Address, a.opts.now())
	}
	return reply, err
}

// giveUp cancels the request. It returns the final reply if that has arrived meanwhile, and
// otherwise ErrNoCoordinator.
func (a *attempt) giveUp() (slots.Reply, error) {
	if reply, ok := a.abandon(); ok {
		return reply, nil
	}
	return slots.Reply{}, ErrNoCoordinator
}

// discard cancels the request, and its grant if that has arrived meanwhile.
func (a *attempt) discard() {
	if reply, ok := a.abandon(); ok && reply.Kind == slots.Granted {
		a.cancelGrant(reply.Serial)
	}
}

// abandon cancels the request, unless its final reply has arrived, which it returns.
func (a *attempt) abandon() (slots.Reply, bool) {
	a.mu.Lock()
	if a.isFinal {
		defer a.mu.Unlock()
		return a.reply, true
	}
	delete(a.Client.pending, a.request.Serial)
	a.mu.Unlock()
	var address netip.AddrPort
	if !a.coordinator.IsSelf {
		address = a.coordinator.Address
	}
	a.cancel(address, a.request.Key, a.service)
	return slots.Reply{}, false
}

// finalReply returns the grant or refusal, if it has arrived.
func (a *attempt) finalReply() (slots.Reply, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reply, a.isFinal
}

// Release ends the lease of a grant with the result of its attempt. Further calls for the same
// grant have no effect, and neither has one for the zero Grant.
func (c *Client) Release(g Grant, result slots.Result) {
	h, ok := c.takeHeld(g.serial)
	if !ok {
		return
	}
	key := slots.Key{Process: c.process, Serial: g.serial}
	if !h.coordinator.IsValid() {
		c.coordinator.release(key, h.service, result, c.opts.now())
		return
	}
	c.sendMessage(h.coordinator, newReleaseMessage(key, h.service, result))
}

// Cancel ends the lease of a grant that has not been used. Unlike Release it says nothing of the
// target.
func (c *Client) Cancel(g Grant) { c.cancelGrant(g.serial) }

// cancelGrant ends the lease of a grant that has not been used.
func (c *Client) cancelGrant(serial uint64) {
	if h, ok := c.takeHeld(serial); ok {
		c.cancel(h.coordinator, slots.Key{Process: c.process, Serial: serial}, h.service)
	}
}

func (c *Client) takeHeld(serial uint64) (held, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.held[serial]
	delete(c.held, serial)
	return h, ok
}

// cancel tells a coordinator that a request or grant is no longer wanted; an address that is
// not valid means this router.
func (c *Client) cancel(coordinator netip.AddrPort, key slots.Key, service string) {
	if !coordinator.IsValid() {
		c.coordinator.cancel(key, service, c.opts.now())
		return
	}
	c.sendMessage(coordinator, newCancelMessage(key, service))
}

// sendMessage sends a message to another router and reports whether it could.
func (c *Client) sendMessage(to netip.AddrPort, m *peerv1.SlotMessage) bool {
	if err := c.socket.send(to, m); err != nil {
		droppedSend.Inc()
		c.log.Debug().Err(err).Stringer("to", to).Msg("failed to send slot message")
		return false
	}
	return true
}
