package slotgrant

import (
	"net/netip"

	"hickoryrock/internal/policy/slots"
)

// handleDatagram handles a datagram from another router. Malformed ones are counted but not
// logged, since anyone who reaches the socket can send any number of them.
func (c *Client) handleDatagram(data []byte, from netip.AddrPort) {
	now := c.opts.now()
	m, err := decode(data, now)
	if err != nil {
		droppedMalformed.Inc()
		return
	}
	switch m.kind {
	case kindRequest:
		if !c.coordinator.request(m.service, m.request, from, now) {
			droppedUnserved.Inc()
		}
	case kindCancel:
		c.coordinator.cancel(m.key, m.service, now)
	case kindRelease:
		c.coordinator.release(m.key, m.service, m.result, now)
	case kindReply:
		if !c.deliver(m.reply, from) && m.reply.Kind == slots.Granted {
			lateGrants.Inc()
			c.cancel(from, m.key, "")
		}
	}
}

// sendReply sends a reply to a router; an address that is not valid means this one.
func (c *Client) sendReply(to netip.AddrPort, r slots.Reply) {
	if to.IsValid() {
		c.sendMessage(to, newReplyMessage(r))
		return
	}
	// A grant for a call that has given up needs no release here: it cancels its request.
	c.deliver(r, to)
}

// deliver passes a reply to the call that waits for it. It returns false if there is none and
// if the reply does not repeat the call's grant. A grant of an earlier process at this address
// has no call either.
func (c *Client) deliver(r slots.Reply, from netip.AddrPort) bool {
	if r.Process != c.process {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[r.Serial]
	if p == nil {
		h, ok := c.held[r.Serial]
		return ok && h.coordinator == from && h.target == r.Target
	}
	if r.Kind != slots.Waiting {
		p.isFinal, p.reply = true, r
		delete(c.pending, r.Serial)
	}
	if r.Kind == slots.Granted {
		c.held[r.Serial] = held{service: p.service, target: r.Target, coordinator: from, expires: p.deadline.Add(heldGrace)}
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
	return true
}
