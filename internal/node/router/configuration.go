package router

import (
	"context"
	"time"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/peer/replica"
	"hickoryrock/internal/platform/objects"
)

const (
	// vmListInterval is the shortest time between two reads of the list of VMs.
	vmListInterval = time.Second
	// vmListIntervalPerVM is the least interval per listed VM, which makes the reads of a
	// longer list less frequent.
	vmListIntervalPerVM = 10 * time.Millisecond
	fleetPollInterval   = 100 * time.Millisecond
)

func (r *Router) buildReplica() {
	self := replica.Peer{
		Name:          r.settings.Name,
		Address:       r.settings.Listen.Peers,
		FailureDomain: r.settings.FailureDomain,
	}
	timing := replica.DefaultTiming()
	timing.IsolationTimeout = r.settings.Peers.IsolationTimeout
	rep, stop := replica.NewReplica(self, r.store,
		replica.WithLogger(r.log),
		replica.WithTiming(timing),
		replica.WithConfirmation(),
		replica.WithOnChange(r.requestCompile))
	r.replica = rep
	r.addCleanup(stop)
}

// requestCompile marks the catalog as out of date. The replica calls it with its lock held,
// so the catalog is compiled in another goroutine.
func (r *Router) requestCompile([]replica.Change) {
	select {
	case r.recompile <- struct{}{}:
	default:
	}
}

// followConfiguration recompiles the catalog after changes and applies the fleet view and
// the state of the replica until ctx is done.
func (r *Router) followConfiguration(ctx context.Context) {
	tick := time.NewTicker(fleetPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.recompile:
			r.compileCatalog()
		case <-tick.C:
		}
		r.applyView()
		r.applyReplicaState()
	}
}

// compileCatalog compiles and applies the replica's configuration. Only then may the
// replica report the version as applied.
func (r *Router) compileCatalog() {
	s := r.replica.Snapshot()
	c := catalog.New(s.Resources, s.Version)
	r.dispatch.SetCatalog(c)
	r.owner.SetCatalog(c)
	r.quota.Update(c.Workspaces())
	r.replica.Confirm(s)
}

// applyReplicaState makes the router ready once the replica has a configuration to serve
// with, and marks it isolated while it reaches neither the platform nor other routers.
func (r *Router) applyReplicaState() {
	r.probes.SetConfigVersion(r.replica.CompleteVersion())
	r.lifecycle.isolated.Store(!r.replica.Serving())
	if r.lifecycle.phase() != phaseStarting || !r.replica.Ready() {
		return
	}
	r.compileCatalog()
	r.lifecycle.advance(phaseReady)
	r.probes.Ready()
	r.log.Info().Uint64("version", r.replica.CompleteVersion()).Msg("configuration applied, router ready")
}

// followVMs passes the platform's list of VMs to the failure detector, and the
// configuration versions of the other routers to the replica, until ctx is done.
func (r *Router) followVMs(ctx context.Context) {
	var next time.Time
	for ctx.Err() == nil {
		if now := time.Now(); !now.Before(next) {
			next = now.Add(r.readVMs(ctx))
		}
		for _, m := range r.probes.View().Live {
			if m.Name != r.settings.Name {
				r.replica.HandlePeerVersion(m.Name, r.probes.ConfigVersion(m.Name))
			}
		}
		_ = objects.Sleep(ctx, vmListInterval)
	}
}

// readVMs reads the list of VMs and returns how long to wait before the next read. Every
// router reads it, so the interval grows with the list: the platform's load does not grow
// with the fleet, and a router's traffic stays within its limit.
func (r *Router) readVMs(ctx context.Context) time.Duration {
	vms, err := r.store.VMs(ctx)
	if err != nil {
		return vmListInterval
	}
	r.probes.Seed(vms)
	r.leavingTargets.set(vms)
	return max(vmListInterval, time.Duration(len(vms))*vmListIntervalPerVM)
}

// applyView passes a changed view of the live routers to the other components.
func (r *Router) applyView() {
	v := r.probes.View()
	if v.Version == r.appliedView.Version {
		return
	}
	for _, name := range v.NewlyDead(r.appliedView) {
		r.quota.Forget(name)
	}
	r.appliedView = v
	peers := make([]replica.Peer, 0, len(v.Live))
	for _, m := range v.Live {
		if m.Name != r.settings.Name {
			peers = append(peers, replica.Peer{Name: m.Name, Address: m.PeerAddress, FailureDomain: m.FailureDomain})
		}
	}
	r.replica.SetPeers(peers)
	r.owner.SetRouters(v)
	r.addresses.Update(v)
	r.quota.Update(r.dispatch.Catalog().Workspaces())
}
