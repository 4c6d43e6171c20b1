package slotgrant

import (
	"net/netip"
	"sync"
	"time"

	"hickoryrock/internal/policy/slots"
)

const (
	// refreshInterval is the shortest time between two updates of the targets of a pool. An
	// update costs a look at all targets of the service.
	refreshInterval = 50 * time.Millisecond
	// tickInterval is the time between two looks at the deadlines of requests and leases, and
	// the longest delay of a grant that follows from time alone. With 256 waiting requests one
	// look takes 0.22 ms, too long to look with each of their 2,560 repetitions a second.
	tickInterval = 10 * time.Millisecond
	// idlePoolTime is the time without a request after which a pool is dropped. It is longer
	// than the memory of a pool is useful.
	idlePoolTime = time.Minute
	// maxPools and maxAssignments bound the state that other routers can cause. A pool under a
	// flood of requests takes 5.4 MB.
	maxPools       = 32
	maxAssignments = 16384
)

type (
	// coordinator holds the pools of the services for which this router has been asked, and
	// the requests that wait or have a grant. It is safe for concurrent use.
	coordinator struct {
		targets func(service string) []slots.Target
		// send sends a reply to a router, or to this one if the address is not valid. It is
		// called with mu held, so that it must not block.
		send func(to netip.AddrPort, r slots.Reply)
		opts options

		mu          sync.Mutex
		pools       map[string]*servicePool
		assignments map[slots.Key]*assignment
		timer       *time.Timer
		// nextTick is zero while the timer does not run.
		nextTick  time.Time
		isStopped bool
	}

	// servicePool is the pool of one service.
	servicePool struct {
		*slots.Pool
		service string
		// targets is the number of targets that were last set.
		targets int
		// assignments is the number of requests in the pool that wait or have a grant.
		assignments         int
		refreshedAt, usedAt time.Time
	}

	// assignment is a request that waits or has a grant.
	assignment struct {
		pool *servicePool
		// address is the router to reply to; not valid for this router.
		address  netip.AddrPort
		deadline time.Time
	}
)

func newCoordinator(targets func(string) []slots.Target, send func(netip.AddrPort, slots.Reply), opts options) *coordinator {
	c := &coordinator{
		targets: targets, send: send, opts: opts, pools: make(map[string]*servicePool), assignments: make(map[slots.Key]*assignment),
	}
	c.timer = time.AfterFunc(time.Hour, func() { c.tick(c.opts.now()) })
	c.timer.Stop()
	return c
}

func (c *coordinator) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStopped = true
	c.timer.Stop()
}

// request replies to a request of the router at an address; a repeated one has the same
// reply. It returns false without a reply if this router cannot coordinate the service, because
// it knows no targets of it or has reached a limit.
func (c *coordinator) request(service string, r slots.Request, from netip.AddrPort, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStopped {
		return false
	}
	p := c.pool(service, now)
	if p == nil {
		return false
	}
	c.refresh(p, now)
	a := c.assignments[r.Key]
	switch {
	case p.targets == 0, a == nil && len(c.assignments) >= maxAssignments, a != nil && a.pool != p:
		return false
	}
	reply := p.Request(r, now)
	switch {
	case reply.Kind == slots.Refused:
		c.forget(r.Key)
	case a != nil:
		a.address = from
	default:
		c.assignments[r.Key] = &assignment{pool: p, address: from, deadline: r.Deadline}
		p.assignments++
		c.schedule(tickInterval, now)
	}
	c.send(from, reply)
	return true
}

// release ends the lease of a grant. A second release has no effect.
func (c *coordinator) release(key slots.Key, service string, result slots.Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.poolOf(key, service); p != nil {
		c.forget(key)
		c.apply(p.Release(key, result, now))
	}
}

// cancel ends a request that waits, or that has a grant which is not used.
func (c *coordinator) cancel(key slots.Key, service string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.poolOf(key, service); p != nil {
		c.forget(key)
		c.apply(p.Cancel(key, now))
	}
}

// poolOf returns the pool of an assignment, or else that of a service, which refuses a request
// that arrives after its end. It returns nil if there is neither. The caller must hold c.mu.
func (c *coordinator) poolOf(key slots.Key, service string) *servicePool {
	if a := c.assignments[key]; a != nil {
		return a.pool
	}
	return c.pools[service]
}

// forget removes an assignment, if there is one. The caller must hold c.mu.
func (c *coordinator) forget(key slots.Key) {
	if a := c.assignments[key]; a != nil {
		delete(c.assignments, key)
		a.pool.assignments--
	}
}

// pool returns the pool of a service, or nil if the service has no targets or there are too
// many pools. The caller must hold c.mu.
func (c *coordinator) pool(service string, now time.Time) *servicePool {
	if p := c.pools[service]; p != nil {
		p.usedAt = now
		return p
	}
	if len(c.pools) >= maxPools {
		return nil
	}
	targets := c.targets(service)
	if len(targets) == 0 {
		return nil
	}
	p := &servicePool{Pool: slots.NewPool(c.opts.poolOptions...), service: service, targets: len(targets), refreshedAt: now, usedAt: now}
	p.SetTargets(targets, now)
	c.pools[service] = p
	c.schedule(idlePoolTime, now)
	return p
}

// refresh updates the targets of a pool and sends the replies that follow, unless it was
// updated lately. It reports whether it did. The caller must hold c.mu.
func (c *coordinator) refresh(p *servicePool, now time.Time) bool {
	if now.Sub(p.refreshedAt) < refreshInterval {
		return false
	}
	targets := c.targets(p.service)
	p.refreshedAt, p.targets = now, len(targets)
	c.apply(p.SetTargets(targets, now))
	return true
}

// apply records and sends replies to requests that wait. The caller must hold c.mu.
func (c *coordinator) apply(replies []slots.Reply) {
	for _, r := range replies {
		a := c.assignments[r.Key]
		if a == nil {
			continue
		}
		if r.Kind == slots.Refused {
			c.forget(r.Key)
		}
		c.send(a.address, r)
	}
}

// tick ends what is past its deadline and drops pools that have not been used.
func (c *coordinator) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStopped {
		return
	}
	c.nextTick = time.Time{}
	for service, p := range c.pools {
		switch {
		case p.assignments > 0:
			if !c.refresh(p, now) { // Which also ends what is past its deadline.
				c.apply(p.Expire(now))
			}
		case now.Sub(p.usedAt) >= idlePoolTime:
			delete(c.pools, service)
		}
	}
	// The pools have ended the leases of these already.
	for key, a := range c.assignments {
		if now.After(a.deadline) {
			c.forget(key)
		}
	}
	switch {
	case len(c.assignments) > 0:
		c.schedule(tickInterval, now)
	case len(c.pools) > 0:
		c.schedule(idlePoolTime, now)
	}
}

// schedule makes sure that the next tick is not later than after d. The caller must hold c.mu.
func (c *coordinator) schedule(d time.Duration, now time.Time) {
	if at := now.Add(d); c.nextTick.IsZero() || at.Before(c.nextTick) {
		c.nextTick = at
		c.timer.Reset(d)
	}
}
