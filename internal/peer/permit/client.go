package permit

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/peer/transport"
)

// Client acquires permits from the owners of targets and releases them.
//
// It is safe for concurrent use.
type Client struct {
	holder  string
	options options

	// flushes tracks the batches being sent.
	flushes sync.WaitGroup

	mu      sync.Mutex
	owners  map[string]*owner
	stopped bool
}

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// ownerTTL is how long an unused owner is kept.
	ownerTTL = 10 * time.Minute
)

type (
	// owner is the client state for one owner, including the releases that it has not
	// confirmed yet.
	owner struct {
		rpc peerv1connect.PermitServiceClient

		mu       sync.Mutex
		lastUsed time.Time
		sending  bool
		pending  map[string][]release
		// inFlight is the number of releases in the batch being sent.
		inFlight int
		// retryAt is the earliest time of the next batch after a failed one.
		retryAt time.Time
		backoff time.Duration
	}

	// release is one permit to release.
	release struct {
		permitID string
		queuedAt time.Time
	}
)

// NewClient returns a client for one holder. The returned function tries to send the
// remaining releases and stops the client.
func NewClient(holder string, opts ...Option) (*Client, func()) {
	o := newOptions(opts...)
	closeHTTP := func() {}
	if o.http == nil {
		o.http, closeHTTP = transport.NewClient()
	}
	c := &Client{holder: holder, options: o, owners: make(map[string]*owner)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.run(stop) })
	return c, func() {
		close(stop)
		wg.Wait()
		c.mu.Lock()
		c.stopped = true
		c.mu.Unlock()
		c.flushes.Wait()
		c.flushAll()
		closeHTTP()
	}
}

// Acquire requests a permit from the owner at an address. If the call fails, the
// owner may still have granted the permit, so it is released.
func (c *Client) Acquire(ctx context.Context, address string, r Request) Verdict {
	ctx, cancel := context.WithTimeout(ctx, c.options.timeout)
	defer cancel()
	resp, err := c.ownerAt(address).rpc.Acquire(ctx, connect.NewRequest(&peerv1.AcquireRequest{
		Service: r.Service,
		Target:  r.Target,
		Holder:  c.holder,
		Permit:  r.PermitID,
		Weight:  r.Weight,
	}))
	if err != nil {
		c.count("acquire", connect.CodeOf(err).String())
		c.Release(address, r.Target, r.PermitID)
		return Unreachable
	}
	v := verdictFromProto(resp.Msg.GetVerdict())
	c.count("acquire", string(v))
	return v
}

// Release sends a release immediately, or in a batch if earlier releases to the owner
// are in flight, and retries until the owner confirms it. An unsent release blocks
// capacity of the target, so there is no delay when nothing is in flight.
func (c *Client) Release(address, target, permitID string) {
	o := c.ownerAt(address)
	o.mu.Lock()
	o.pending[target] = append(o.pending[target], release{permitID: permitID, queuedAt: time.Now()})
	o.mu.Unlock()
	c.startFlush(o)
}

// startFlush sends the pending releases of an owner in the background, unless a batch
// is in flight, the backoff has not elapsed, or the client has stopped.
func (c *Client) startFlush(o *owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped && o.beginBatch(time.Now()) {
		c.flushes.Go(func() { c.flush(o) })
	}
}

// Announce informs the owner at an address of the permits that this holder has on a
// target.
func (c *Client) Announce(ctx context.Context, address string, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.releaseTimeout)
	defer cancel()
	m := &peerv1.AnnounceRequest{Service: a.Service, Target: a.Target, Holder: c.holder}
	for _, h := range a.Permits {
		m.Permits = append(m.Permits, &peerv1.Permit{Id: h.ID, Weight: h.Weight})
	}
	_, err := c.ownerAt(address).rpc.Announce(ctx, connect.NewRequest(m))
	c.count("announce", outcome(err))
	return eris.Wrap(err, "announce permits")
}

// Pending returns the number of releases that owners have not confirmed yet.
func (c *Client) Pending() int {
	n := 0
	for _, o := range c.allOwners() {
		o.mu.Lock()
		n += o.inFlight
		for _, releases := range o.pending {
			n += len(releases)
		}
		o.mu.Unlock()
	}
	return n
}

func (c *Client) ownerAt(address string) *owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.owners[address]
	if !ok {
		o = &owner{
			rpc:     peerv1connect.NewPermitServiceClient(c.options.http, "http://"+address),
			pending: make(map[string][]release),
		}
		c.owners[address] = o
	}
	o.mu.Lock()
	o.lastUsed = time.Now()
	o.mu.Unlock()
	return o
}

func (c *Client) allOwners() []*owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	owners := make([]*owner, 0, len(c.owners))
	for _, o := range c.owners {
		owners = append(owners, o)
	}
	return owners
}

func (c *Client) run(stop <-chan struct{}) {
	ticker := time.NewTicker(c.options.batchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			c.removeIdleOwners(now)
			// An owner that does not respond must not delay the others.
			for _, o := range c.allOwners() {
				c.startFlush(o)
			}
		}
	}
}

// removeIdleOwners removes owners that have been unused for longer than ownerTTL.
func (c *Client) removeIdleOwners(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, o := range c.owners {
		o.mu.Lock()
		if !o.sending && len(o.pending) == 0 && now.Sub(o.lastUsed) > ownerTTL {
			delete(c.owners, address)
		}
		o.mu.Unlock()
	}
}

// beginBatch reports whether releases are due and no batch is in flight; if so, it
// marks a batch as in flight.
func (o *owner) beginBatch(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sending || len(o.pending) == 0 || now.Before(o.retryAt) {
		return false
	}
	o.sending = true
	return true
}

// endBatch records the result of a batch. Each failure doubles the delay before the
// next batch, up to maxBackoff.
func (o *owner) endBatch(failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending = false
	if !failed {
		o.backoff = 0
		return
	}
	o.backoff = min(max(2*o.backoff, minBackoff), maxBackoff)
	o.retryAt = time.Now().Add(o.backoff)
}

// flushAll sends the pending releases to all owners concurrently.
func (c *Client) flushAll() {
	var wg sync.WaitGroup
	for _, o := range c.allOwners() {
		wg.Go(func() { c.flush(o) })
	}
	wg.Wait()
}

// flush sends the pending releases to one owner and keeps those that fail.
func (c *Client) flush(o *owner) {
	o.mu.Lock()
	batch := o.pending
	o.pending = make(map[string][]release)
	for _, releases := range batch {
		o.inFlight += len(releases)
	}
	o.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), c.options.releaseTimeout)
	defer cancel()
	failed := false
	for target, releases := range batch {
		m := &peerv1.ReleaseRequest{Target: target, Holder: c.holder}
		for _, r := range releases {
			m.Permits = append(m.Permits, r.permitID)
		}
		_, err := o.rpc.Release(ctx, connect.NewRequest(m))
		c.count("release", outcome(err))
		if err != nil {
			failed = true
		}
		c.finishRelease(o, target, releases, err != nil)
	}
	o.endBatch(failed)
	if !failed {
		// Send the releases that were queued in the meantime.
		c.startFlush(o)
	}
}

// finishRelease handles the result of a release call. Failed releases are queued
// again unless they are older than the retry period.
func (c *Client) finishRelease(o *owner, target string, releases []release, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight -= len(releases)
	if !failed {
		return
	}
	for _, r := range releases {
		if time.Since(r.queuedAt) > c.options.retryFor {
			c.count("release", "dropped")
			continue
		}
		o.pending[target] = append(o.pending[target], r)
	}
}

func (c *Client) count(call, outcome string) {
	c.counter(call, outcome).Inc()
}

func (c *Client) counter(call, outcome string) *metrics.Counter {
	return c.options.metrics.GetOrCreateCounter(`hickoryrock_permit_calls_total{call="` + call + `",outcome="` + outcome + `"}`)
}

// outcome returns the metric label for the result of a call.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return connect.CodeOf(err).String()
}
