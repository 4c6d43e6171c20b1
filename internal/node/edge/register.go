package edge

import (
	"context"
	"net"
	"strconv"
	"time"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

const (
	// registerRetryInterval is the wait after a failed attempt to register this router in
	// the store.
	registerRetryInterval = 500 * time.Millisecond
	// routerListInterval is the interval between reads of the router entries in the store.
	routerListInterval = 10 * time.Second
)

// register writes this router's entry to the store, retrying until it succeeds, and then
// periodically reads the entries of the other routers.
func (r *Router) register(ctx context.Context) {
	self := platform.Router{
		Name: r.settings.Router, CallerAddress: r.settings.CallerAddress,
		PeerAddress:   net.JoinHostPort(r.settings.IP, strconv.Itoa(r.settings.PeerPorts[0])),
		FailureDomain: r.settings.FailureDomain,
	}
	for !r.tryRegister(ctx, self) {
		if objects.Sleep(ctx, registerRetryInterval) != nil {
			return
		}
	}
	_ = objects.Sleep(ctx, r.fleet.DiscoveryTime())
	close(r.joined)
	for objects.Sleep(ctx, routerListInterval) == nil {
		// New routers announce themselves to the routers that they find in the list. The
		// routers that watch the store also look for new ones, in case an announcement was
		// missed.
		if r.fleet.WatchesStore() {
			_, _ = r.addListedPeers(ctx, r.store.ListCached, self)
		}
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
// listed at that time as peers. It reports whether the attempt succeeded.
func (r *Router) tryRegister(ctx context.Context, self platform.Router) bool {
	// After a restart the entry still exists, so routers that started since have added this
	// one.
	if registered, err := r.addListedPeers(ctx, r.store.ListCached, self); err != nil || registered {
		return err == nil
	}
	if err := r.store.Put(ctx, platform.KindRouters, self.Name, platform.EncodeRouter(self)); err != nil {
		r.log.Warn().Err(err).Msg("failed to write router entry to the store")
		return false
	}
	// A router that read the list before the write did not find this one. Only a list read
	// after the write is certain to contain all such routers.
	_, err := r.addListedPeers(ctx, r.store.List, self)
	return err == nil
}

// addListedPeers adds the listed routers as gossip peers. registered reports whether the
// list contains this router's own entry unchanged.
func (r *Router) addListedPeers(
	ctx context.Context, list func(context.Context, string) (platform.Page, error), self platform.Router,
) (registered bool, err error) {
	page, err := list(ctx, platform.KindRouters)
	if err != nil {
		r.log.Warn().Err(err).Msg("failed to list routers")
		return false, err
	}
	for _, o := range page.Objects {
		other, err := platform.DecodeRouter(o)
		if err != nil {
			r.log.Warn().Err(err).Msg("skipping invalid router entry")
			continue
		}
		registered = registered || other == self
		r.fleet.AddPeer(other.PeerAddress)
	}
	return registered, nil
}
