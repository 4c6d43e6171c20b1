// Package fairness shares a fleet between workspaces: it limits what each
// workspace has in flight over all routers, and provides a fair queue for each
// router.
package fairness

import "time"

type (
	// Pool divides a workspace's limit between the routers. The workspace's
	// owner keeps it. It is not safe for concurrent use.
	Pool struct {
		options Options
		limit   int
		// settledAt is when all allotments granted by a former owner have
		// expired.
		settledAt time.Time
		holders   map[string]*allotment
	}

	// Request is a router's request for a part of a workspace's limit.
	Request struct {
		Holder string
		// InUse is the number of requests that the router has in flight.
		InUse int
		// Held is the router's allotment, or 0 if it has expired.
		Held int
		// Wanted is the allotment that the router would like.
		Wanted int
		// Serial orders the messages of one router; it never decreases.
		Serial uint64
	}

	// Grant is the part of the limit that a router may use for Options.Term,
	// counted from when the router sent the request.
	Grant struct {
		Allotted int
		Serial   uint64
	}

	// allotment is one router's part of a limit.
	allotment struct {
		serial uint64
		inUse  int
		wanted int
		// granted is the last allotment granted, and previous the one that the
		// router may still be using until it is known to have received that
		// grant.
		granted, previous int
		renewedAt         time.Time
	}
)

// NewPool returns the pool of a workspace that this router starts to own.
func NewPool(now time.Time, limit int, opts ...Option) *Pool {
	o := newOptions(opts)
	return &Pool{
		options:   o,
		limit:     limit,
		settledAt: now.Add(o.ContestTerm),
		holders:   make(map[string]*allotment),
	}
}

// SetLimit changes the limit; allotments over it shrink as they are renewed.
func (p *Pool) SetLimit(limit int) {
	p.limit = limit
}

// Renew grants a router an allotment for its request. It returns false for a
// duplicate and for a request that arrives after a later one of the same router.
func (p *Pool) Renew(now time.Time, r Request) (Grant, bool) {
	h, ok := p.holders[r.Holder]
	if !ok {
		h = &allotment{}
		p.holders[r.Holder] = h
	}
	if r.Serial <= h.serial {
		return Grant{}, false
	}
	p.expire(now)
	h.previous = r.Held
	h.serial, h.inUse, h.wanted, h.renewedAt = r.Serial, r.InUse, r.Wanted, now
	h.granted = p.allot(now, r.Holder, h, r.Held)
	return Grant{Allotted: h.granted, Serial: r.Serial}, true
}

// Forget removes a router that has died, with what it had in flight.
func (p *Pool) Forget(holder string) {
	delete(p.holders, holder)
}

// allot returns a router's part of the limit: what it wants if that is free, or
// else an equal part, but never less than it has in flight.
func (p *Pool) allot(now time.Time, holder string, h *allotment, held int) int {
	if now.Before(p.settledAt) {
		return held
	}
	free, wanting := p.limit, 0
	for name, other := range p.holders {
		if other.wanted > 0 {
			wanting++
		}
		if name != holder {
			free -= other.reserved()
		}
	}
	allotted := min(h.wanted, p.limit)
	if wanting > 1 && p.oversubscribed() {
		allotted = min(allotted, max(1, p.limit/wanting))
	}
	return max(min(allotted, free), min(h.inUse, held), 0)
}

// oversubscribed returns whether the routers want more than the limit.
func (p *Pool) oversubscribed() bool {
	wanted := 0
	for _, h := range p.holders {
		wanted += h.wanted
	}
	return wanted > p.limit
}

// expire ends allotments that were not renewed for a term. What their routers
// had in flight still counts until Forget is called for them.
func (p *Pool) expire(now time.Time) {
	for _, h := range p.holders {
		if now.Sub(h.renewedAt) > p.options.Term {
			h.inUse = max(h.granted, h.previous, h.inUse)
			h.granted, h.previous, h.wanted = 0, 0, 0
		}
	}
}

// reserved returns the most that a router may have in flight.
func (a *allotment) reserved() int {
	return max(a.granted, a.previous, a.inUse)
}
