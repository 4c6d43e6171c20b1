// Package ownership determines which router owns a target, grants permits for the
// targets that this router owns, and requests permits from the owners of the others.
package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/peer/membership"
	"hickoryrock/internal/policy/permits"
	"hickoryrock/internal/policy/placement"
)

const (
	// GrantTerm is how long after the request for a permit a call may be sent under it.
	GrantTerm = time.Second
	// ContestTerm is how long a new owner grants no permits unless its predecessor has
	// handed over. It must exceed the sum of the lease, the grant term and the time to
	// detect a dead router.
	ContestTerm = 8 * time.Second
)

type (
	// Peers sends permit messages to the owners of other targets.
	Peers interface {
		// Acquire requests a permit from an owner; false means that the owner did not
		// respond.
		Acquire(ctx context.Context, address, service, target string, p permits.Permit) (permits.Verdict, bool)
		// Release returns a permit; it is retried until the owner has received it.
		Release(address, target string, p permits.Permit)
		// Handover requests the permits of a target from its former owner; false means that
		// the list is not known to be complete.
		Handover(ctx context.Context, address, target, owner string, epoch uint64) (permits.Handover, bool)
		// Announce reports the permits that this router holds on a target to its owner.
		Announce(address, service, target string, held []permits.Permit)
	}

	// Loads reads the load of targets.
	Loads interface {
		// Load returns a target's own load report.
		Load(ctx context.Context, service *catalog.Service, t catalog.Target) (Report, error)
	}

	// Owner grants permits for the targets that this router owns, and requests and holds
	// permits for all targets that it sends calls to. It is safe for concurrent use.
	Owner struct {
		self   string
		opts   Options
		ledger *permits.Ledger
		peers  Peers
		held   heldPermits
		health *health

		mu        sync.RWMutex
		catalog   *catalog.Catalog
		view      membership.View
		owners    *placement.Owners
		addresses map[string]string
		owned     map[string]ownedTarget
	}

	// Report is a target's report of its own state.
	Report struct {
		// InFlight is the number of requests that are running or queued.
		InFlight int
		// Leaving is set if the target takes no new work.
		Leaving bool
		// Serves is set if the target serves the version that its deployment desires.
		Serves bool
	}

	// ownedTarget is a target that this router owns.
	ownedTarget struct {
		service string
		target  catalog.Target
	}
)

// New returns an Owner that owns no targets until SetCatalog and SetRouters are called.
func New(self string, ledger *permits.Ledger, peers Peers, opts ...Option) *Owner {
	return &Owner{
		self:      self,
		opts:      newOptions(opts...),
		ledger:    ledger,
		peers:     peers,
		held:      newHeldPermits(self),
		health:    newHealth(),
		catalog:   catalog.New(nil, 0),
		owners:    placement.NewOwners(nil),
		addresses: map[string]string{},
		owned:     map[string]ownedTarget{},
	}
}

// SetCatalog applies a new configuration.
func (o *Owner) SetCatalog(c *catalog.Catalog) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.catalog = c
	for _, s := range c.Services() {
		o.ledger.SetBound(s.Name, permits.Bound{
			Factor: s.Policy.LoadBound, Floor: s.Policy.LoadFloor, MaxInFlight: s.Policy.MaxInFlight,
		})
	}
	o.updateOwned()
}

// SetRouters applies a new view of the fleet. It requests handovers for the targets that
// this router starts to own and announces the permits that it holds.
func (o *Owner) SetRouters(v membership.View) {
	o.mu.Lock()
	routers := make([]placement.Router, 0, len(v.Live))
	addresses := make(map[string]string, len(v.Live))
	for _, m := range v.Live {
		routers = append(routers, placement.Router{Name: m.Name, FailureDomain: m.FailureDomain})
		addresses[m.Name] = m.PeerAddress
	}
	previous, formerOwners, formerAddresses := o.view, o.owners, o.addresses
	o.view = v
	o.addresses = addresses
	o.owners = placement.NewOwners(routers)
	takeovers := o.updateOwned()
	for i := range takeovers {
		takeovers[i].formerAddress = formerOwnerAddress(formerOwners, formerAddresses, takeovers[i])
	}
	o.mu.Unlock()
	for _, name := range v.NewlyDead(previous) {
		o.ledger.Forget(name)
	}
	o.requestHandovers(slices.DeleteFunc(takeovers, func(t takeover) bool { return t.formerAddress == "" }))
	// New owners do not know the permits that their predecessors granted.
	o.announce()
}

// formerOwnerAddress returns the peer address of the former owner of a target, or "" if
// there was none.
func formerOwnerAddress(former *placement.Owners, addresses map[string]string, t takeover) string {
	owner, ok := former.Owner(placement.Target{Name: t.target, FailureDomain: t.failureDomain})
	if !ok {
		return ""
	}
	return addresses[owner.Name]
}

// updateOwned starts to own the targets that are now assigned to this router and cedes
// those that are assigned to others. It returns the targets that are new. The caller holds
// o.mu.
func (o *Owner) updateOwned() []takeover {
	now := o.opts.Now()
	mayAdopt := o.quorum().MayAdopt()
	var takeovers []takeover
	owned := map[string]ownedTarget{}
	for _, s := range o.catalog.Services() {
		for _, t := range s.Targets {
			owner, ok := o.owners.Owner(placement.Target{Name: t.Name, FailureDomain: t.FailureDomain})
			_, alreadyOwned := o.owned[t.Name]
			switch {
			case ok && owner.Name == o.self && (alreadyOwned || mayAdopt):
				owned[t.Name] = ownedTarget{service: s.Name, target: t}
				epoch := o.ledger.Adopt(now, permits.Target{
					Name: t.Name, Service: s.Name, Weight: t.Weight, Leaving: t.Leaving || o.opts.Leaving(t.Name),
				})
				if !alreadyOwned {
					takeovers = append(takeovers, takeover{target: t.Name, failureDomain: t.FailureDomain, epoch: epoch})
				}
			case ok && alreadyOwned:
				o.ledger.Cede(now, t.Name, owner.Name)
				delete(o.owned, t.Name)
			}
		}
	}
	o.dropRemoved(owned)
	o.owned = owned
	o.health.retain(owned)
	return takeovers
}

// dropRemoved drops the targets that are no longer in the configuration from the ledger.
func (o *Owner) dropRemoved(owned map[string]ownedTarget) {
	for name := range o.owned {
		if _, kept := owned[name]; !kept {
			o.ledger.Drop(name)
		}
	}
}

// quorum returns how many of the listed routers this router reaches. The caller holds o.mu.
func (o *Owner) quorum() permits.Quorum {
	return permits.Quorum{Listed: o.view.Listed, Reached: len(o.view.Live)}
}

// Of returns the live router that owns a name in a failure domain, and its peer address. ok
// is false if there is no live router.
func (o *Owner) Of(name, domain string) (owner, address string, ok bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	r, ok := o.owners.Owner(placement.Target{Name: name, FailureDomain: domain})
	return r.Name, o.addresses[r.Name], ok
}

func (o *Owner) ownerOf(t catalog.Target) (name, address string, ok bool) {
	return o.Of(t.Name, t.FailureDomain)
}

// Grant decides on a request for a permit of a target that this router owns.
func (o *Owner) Grant(target string, p permits.Permit) permits.Verdict {
	if o.health.isDown(target) || o.opts.Leaving(target) {
		return permits.Leaving
	}
	return o.ledger.Acquire(o.opts.Now(), target, p)
}

// OwnedTargets returns the names of the targets that this router owns, in no particular
// order.
func (o *Owner) OwnedTargets() []string {
	o.mu.RLock()
	defer o.mu.RUnlock()
	names := make([]string, 0, len(o.owned))
	for name := range o.owned {
		names = append(names, name)
	}
	return names
}

// Run performs the periodic work until ctx is done.
func (o *Owner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runPeriodically(ctx, leaseRenewInterval, o.renewLease) })
	wg.Go(func() { runPeriodically(ctx, loadExchangeInterval, o.exchangeLoads) })
	wg.Go(func() { runPeriodically(ctx, announceInterval, o.announce) })
	wg.Go(func() { runPeriodically(ctx, loadPollInterval, func() { o.pollLoads(ctx) }) })
	wg.Wait()
}

// runPeriodically calls f immediately and then once per interval until ctx is done.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
