package edge

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/gossip"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

const (
	// registerRetryInterval is the wait after a failed attempt to register this router in
	// the store.
	registerRetryInterval = 500 * time.Millisecond
	// routerListInterval is the interval between reads of the router entries in the store.
	routerListInterval = 10 * time.Second
	// firstListInterval is the interval between reads of the entries by a router that has
	// found no other, as at the first start of a fleet: the others register at the same
	// time, and cached lists are seconds old.
	firstListInterval = 500 * time.Millisecond
	// maxFirstLists is the number of such reads.
	maxFirstLists = 4
	// registrationLapse is the silence after which the entry of another router is deleted: VMs
	// that were replaced never delete theirs.
	registrationLapse = 5 * time.Minute
	// maxLapsedDeletes bounds the entries that are deleted at a time.
	maxLapsedDeletes = 64
	// registrationCheckInterval is how often the router that watches the store checks whether
	// it has come back from an earlier state.
	registrationCheckInterval = time.Second
)

type (
	// registration is what a router finds when it registers.
	registration struct {
		// others is the number of other routers in the list.
		others int
		// isNew is set when the router was not in the list.
		isNew bool
	}

	// listedRouter is a router's entry in the store.
	listedRouter struct {
		platform.Router
		revision uint64
	}
)

// laterLists are the times after its registration at which a new router reads the entries
// again, for routers that registered at the same time.
var laterLists = []time.Duration{2 * time.Second, 5 * time.Second}

// register writes this router's entry to the store, retrying until it succeeds, and then
// periodically reads the entries of the other routers.
func (r *Router) register(ctx context.Context) {
	self := platform.Router{
		Name: r.settings.Router, CallerAddress: r.settings.CallerAddress,
		PeerAddress:   net.JoinHostPort(r.settings.IP, strconv.Itoa(r.settings.PeerPorts[0])),
		FailureDomain: r.settings.FailureDomain,
	}
	var found registration
	for {
		var ok bool
		if found, ok = r.tryRegister(ctx, self); ok {
			break
		}
		if objects.Sleep(ctx, registerRetryInterval) != nil {
			return
		}
	}
	for lists := 0; found.others == 0 && lists < maxFirstLists; lists++ {
		if objects.Sleep(ctx, firstListInterval) != nil {
			return
		}
		found.others, _, _ = r.addListedPeers(ctx, self) // Logged; the later lists follow.
	}
	_ = objects.Sleep(ctx, r.fleet.DiscoveryTime())
	close(r.joined)
	if found.isNew {
		for _, wait := range laterLists {
			if objects.Sleep(ctx, wait) != nil {
				return
			}
			_, _, _ = r.addListedPeers(ctx, self) // The same.
		}
	}
	for objects.Sleep(ctx, routerListInterval) == nil {
		// New routers announce themselves to the routers that they find in the list. The
		// routers that watch the store also look for new ones, in case an announcement was
		// missed.
		if r.fleet.WatchesStore() {
			r.maintainRegistrations(ctx, self, registrationLapse)
		}
	}
}

// maintainRegistrations adds the listed routers as peers, deletes the entries of routers that
// have been silent for lapse, and writes those of live routers that are missing: another router
// may not have heard them for a time. A router that hears no other leaves the entries alone.
func (r *Router) maintainRegistrations(ctx context.Context, self platform.Router, lapse time.Duration) {
	listed, err := r.listRouters(ctx, r.store.ListCached)
	if err != nil {
		return // Logged; the next list follows.
	}
	isAlone := r.fleet.LiveCount() == 1
	names, deleted := make(map[string]bool, len(listed)), 0
	for _, other := range listed {
		names[other.Name] = true
		if other.Name == self.Name {
			continue
		}
		r.fleet.AddPeer(other.PeerAddress)
		silence, ok := r.fleet.Silence(other.PeerAddress)
		if !ok || silence < lapse || isAlone || deleted == maxLapsedDeletes {
			continue
		}
		deleted++
		if err := r.store.DeleteRevision(ctx, platform.KindRouters, other.Name, other.revision); err != nil {
			r.log.Warn().Err(err).Str("peer", other.Name).Msg("failed to delete the entry of a router that is gone")
			return
		}
		r.log.Info().Str("peer", other.Name).Dur("silence-ms", silence).Msg("entry of a router that is gone deleted")
	}
	for _, identity := range r.fleet.LiveIdentities() {
		if !names[identity.Router] && !r.writeRegistration(ctx, identity) {
			return
		}
	}
}

// writeRegistration writes the entry of a live router again, and reports whether it succeeded.
func (r *Router) writeRegistration(ctx context.Context, identity gossip.Identity) bool {
	entry := registrationOf(identity)
	if err := r.store.Put(ctx, platform.KindRouters, entry.Name, platform.EncodeRouter(entry)); err != nil {
		r.log.Warn().Err(err).Str("peer", entry.Name).Msg("failed to write router entry to the store again")
		return false
	}
	r.log.Info().Str("peer", entry.Name).Uint64("store-era", r.storeEra()).
		Msg("router entry written again that the store lacked")
	return true
}

func registrationOf(identity gossip.Identity) platform.Router {
	return platform.Router{
		Name: identity.Router, CallerAddress: identity.CallerAddress, PeerAddress: identity.PeerAddress,
		FailureDomain: identity.FailureDomain,
	}
}

// watchesStore reports whether this router watches the store on behalf of the fleet. It is
// false until the router knows which others could do so.
func (r *Router) watchesStore() bool {
	select {
	case <-r.joined:
		return r.fleet.WatchesStore()
	default:
		return false
	}
}

// tryRegister makes one attempt to register this router and to add the routers that are
// listed at that time as peers. It returns false if the attempt failed. The lists are
// cached ones, which the platform charges least for.
func (r *Router) tryRegister(ctx context.Context, self platform.Router) (registration, bool) {
	// After a restart the entry still exists, so routers that started since have added this
	// one.
	others, registered, err := r.addListedPeers(ctx, self)
	if err != nil || registered {
		return registration{others: others}, err == nil
	}
	if err := r.store.Put(ctx, platform.KindRouters, self.Name, platform.EncodeRouter(self)); err != nil {
		r.log.Warn().Err(err).Msg("failed to write router entry to the store")
		return registration{}, false
	}
	return registration{others: others, isNew: true}, true
}

// addListedPeers adds the listed routers as gossip peers and returns their number.
// registered reports whether the list contains this router's own entry unchanged.
func (r *Router) addListedPeers(ctx context.Context, self platform.Router) (others int, registered bool, err error) {
	routers, err := r.listRouters(ctx, r.store.ListCached)
	if err != nil {
		return 0, false, err
	}
	for _, other := range routers {
		if other.Name == self.Name {
			registered = other.Router == self
			continue
		}
		others++
		r.fleet.AddPeer(other.PeerAddress)
	}
	return others, registered, nil
}

// listRouters returns the routers in the store's list. It logs errors.
func (r *Router) listRouters(
	ctx context.Context, list func(context.Context, string) (platform.Page, error),
) ([]listedRouter, error) {
	page, err := list(ctx, platform.KindRouters)
	if err != nil {
		r.log.Warn().Err(err).Msg("failed to list routers")
		return nil, err
	}
	routers := make([]listedRouter, 0, len(page.Objects))
	for _, o := range page.Objects {
		router, err := platform.DecodeRouter(o)
		if err != nil {
			r.log.Warn().Err(err).Msg("skipping invalid router entry")
			continue
		}
		routers = append(routers, listedRouter{router, o.Revision})
	}
	return routers, nil
}

// storeEra returns the store's era as far as this router knows, state.FirstEra at least.
func (r *Router) storeEra() uint64 {
	return max(r.watcher.View().Targets.Revision.Era, state.FirstEra)
}

// keepRegistrations writes the entries of live routers again that the store has lost when it
// came back from an earlier state. The router that watches the store does so for all.
func (r *Router) keepRegistrations(ctx context.Context) {
	era := uint64(state.FirstEra)
	for objects.Sleep(ctx, registrationCheckInterval) == nil {
		if current := r.storeEra(); current > era && r.watchesStore() && r.restoreRegistrations(ctx) {
			era = current
		}
	}
}

// restoreRegistrations makes one attempt to write the missing entries, and reports whether
// it succeeded.
func (r *Router) restoreRegistrations(ctx context.Context) bool {
	listed, err := r.listRouters(ctx, r.store.List)
	if err != nil {
		return false
	}
	for _, identity := range r.fleet.LiveIdentities() {
		isListed := slices.ContainsFunc(listed, func(l listedRouter) bool { return l.Router == registrationOf(identity) })
		if !isListed && !r.writeRegistration(ctx, identity) {
			return false
		}
	}
	return true
}
