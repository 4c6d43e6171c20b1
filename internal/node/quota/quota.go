// Package quota enforces each workspace's limit of calls in flight over the whole fleet. It
// admits calls against this router's share and manages the pools of the workspaces that it owns.
package quota

import (
	"context"
	"sync"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/policy/fairness"
)

const (
	allotmentTerm     = 4 * time.Second
	renewInterval     = 1500 * time.Millisecond
	contestTerm       = 7 * time.Second
	renewPollInterval = 200 * time.Millisecond
	renewTimeout      = 250 * time.Millisecond
	limitRetryAfter   = time.Second
)

type (
	// OwnerLookup returns which router owns a name: its peer address, and self if it is
	// this router. ok is false when no owner is known.
	OwnerLookup func(name string) (address string, self, ok bool)

	// Peers sends requests to the owners of other workspaces.
	Peers interface {
		// Renew asks the owner at address for a share; false means that there is no usable
		// response.
		Renew(ctx context.Context, address, workspace string, req fairness.Request) (fairness.Grant, bool)
	}

	// Quota admits the calls of one router. It is safe for concurrent use.
	Quota struct {
		holder string
		// serialOffset is added to the serials of this process so that they exceed those of
		// an earlier process with the same holder name.
		serialOffset uint64
		lookupOwner  OwnerLookup
		peers        Peers
		now          func() time.Time

		mu     sync.Mutex
		shares map[string]*share
		pools  map[string]*fairness.Pool
	}

	share struct {
		*fairness.Share
		renewing bool
	}
)

// New returns a Quota that owns no pool yet; call Update to give it a configuration.
func New(holder string, lookupOwner OwnerLookup, peers Peers, opts ...Option) *Quota {
	q := &Quota{
		holder:      holder,
		lookupOwner: lookupOwner,
		peers:       peers,
		now:         time.Now,
		shares:      map[string]*share{},
		pools:       map[string]*fairness.Pool{},
	}
	for _, opt := range opts {
		opt(q)
	}
	q.serialOffset = uint64(q.now().UnixNano())
	return q
}

// Option configures a Quota.
type Option func(*Quota)

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(q *Quota) { q.now = now }
}

func fairnessOptions() []fairness.Option {
	return []fairness.Option{
		fairness.WithTerm(allotmentTerm), fairness.WithRenewInterval(renewInterval), fairness.WithContestTerm(contestTerm),
	}
}

// Update applies a new configuration or a new view of the fleet: it creates the pools of
// workspaces that this router now owns, updates their limits and deletes the others.
func (q *Quota) Update(workspaces []*catalog.Workspace) {
	now := q.now()
	owned := map[string]int{}
	for _, w := range workspaces {
		if _, self, ok := q.lookupOwner(ownershipKey(w.Name)); ok && self && w.MaxInFlight > 0 {
			owned[w.Name] = w.MaxInFlight
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for name := range q.pools {
		if _, ok := owned[name]; !ok {
			delete(q.pools, name)
		}
	}
	for name, limit := range owned {
		if pool, ok := q.pools[name]; ok {
			pool.SetLimit(limit)
			continue
		}
		q.pools[name] = fairness.NewPool(now, limit, fairnessOptions()...)
	}
}

// Forget removes a dead router from all pools.
func (q *Quota) Forget(holder string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.pools {
		p.Forget(holder)
	}
}

// Renew answers another router's request as the owner of a workspace. It returns false if
// this router does not own the workspace or the request is out of date.
func (q *Quota) Renew(workspace string, req fairness.Request) (fairness.Grant, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.pools[workspace]
	if !ok {
		return fairness.Grant{}, false
	}
	return p.Renew(q.now(), req)
}

// Admit admits a call of a workspace and returns the function that ends it, or refuses the
// call as not run. It implements dispatch.Admit.
func (q *Quota) Admit(ctx context.Context, w *catalog.Workspace) (func(), *outcome.Failure) {
	if w.MaxInFlight == 0 {
		return func() {}, nil
	}
	if q.admit(w.Name) {
		return q.releaseFunc(w.Name), nil
	}
	q.renewShare(ctx, w.Name)
	if q.admit(w.Name) {
		return q.releaseFunc(w.Name), nil
	}
	return nil, outcome.NewNotRun(outcome.ReasonWorkspaceLimit,
		"workspace %s is at its limit of %d calls in flight", w.Name, w.MaxInFlight).WithRetryAfter(limitRetryAfter)
}

func (q *Quota) admit(workspace string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.shares[workspace]
	if !ok {
		s = &share{Share: fairness.NewShare(q.holder, fairnessOptions()...)}
		q.shares[workspace] = s
	}
	return s.Admit(q.now())
}

func (q *Quota) releaseFunc(workspace string) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.shares[workspace].Release()
		})
	}
}

// renewShare renews the share of a workspace. At most one renewal of a share runs at a
// time.
func (q *Quota) renewShare(ctx context.Context, workspace string) {
	q.mu.Lock()
	s := q.shares[workspace]
	if s.renewing {
		q.mu.Unlock()
		return
	}
	s.renewing = true
	req := s.Request(q.now())
	req.Serial += q.serialOffset
	q.mu.Unlock()

	grant, ok := q.requestGrant(ctx, workspace, req)

	q.mu.Lock()
	defer q.mu.Unlock()
	s.renewing = false
	if ok {
		grant.Serial -= q.serialOffset
		s.ApplyGrant(grant)
	}
}

func (q *Quota) requestGrant(ctx context.Context, workspace string, req fairness.Request) (fairness.Grant, bool) {
	address, self, ok := q.lookupOwner(ownershipKey(workspace))
	switch {
	case !ok:
		return fairness.Grant{}, false
	case self:
		return q.Renew(workspace, req)
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	return q.peers.Renew(ctx, address, workspace, req)
}

// Run renews the shares that are due until ctx is done.
func (q *Quota) Run(ctx context.Context) {
	tick := time.NewTicker(renewPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			q.RenewDue(ctx)
		}
	}
}

// RenewDue renews all shares that are due and returns when every owner has responded or
// timed out. It also reports this router's calls in flight to a new owner before that owner
// starts granting.
func (q *Quota) RenewDue(ctx context.Context) {
	var wg sync.WaitGroup
	for _, name := range q.due() {
		wg.Go(func() { q.renewShare(ctx, name) })
	}
	wg.Wait()
}

func (q *Quota) due() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var names []string
	for name, s := range q.shares {
		if s.RenewalDue(q.now()) {
			names = append(names, name)
		}
	}
	return names
}

func ownershipKey(workspace string) string {
	return "workspace/" + workspace
}
