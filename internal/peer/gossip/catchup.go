package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/platform/objects"
)

var errNotRecalled = errors.New("the router has not recalled the targets' caches yet")

// GetSnapshot implements peerv1connect.FleetServiceHandler.
func (f *Fleet) GetSnapshot(
	_ context.Context, r *connect.Request[peerv1.GetSnapshotRequest],
) (*connect.Response[peerv1.Snapshot], error) {
	if r.Msg.GetHomes() {
		select {
		case <-f.parts.Recalled():
		default:
			return nil, connect.NewError(connect.CodeFailedPrecondition, errNotRecalled)
		}
	}
	s := f.from.Snapshot(r.Msg.GetConfigurationVersion(), r.Msg.GetTargetsRevision())
	reply := &peerv1.Snapshot{Configuration: s.Configuration, AllTargets: s.All, Targets: &peerv1.TargetsChange{
		AfterRevision: s.Targets.After, Revision: s.Targets.Revision,
	}}
	for _, item := range s.Targets.Items {
		reply.Targets.Items = append(reply.Targets.Items, &peerv1.TargetItem{Entry: item.Entry, Deleted: item.Deleted})
	}
	if r.Msg.GetHomes() {
		reply.Homes = encodeHoldings(f.parts.Holdings(time.Now()))
	}
	return connect.NewResponse(reply), nil
}

// ahead reports whether another router has a newer configuration, or knows
// targets that this one does not.
func (f *Fleet) ahead(b *peerv1.Beacon, known Known) bool {
	if b.GetConfigurationVersion() > known.ConfigurationVersion {
		return true
	}
	if b.GetTargetsRevision() > known.TargetsRevision {
		return b.GetTargetsDigest() != known.TargetsDigest
	}
	return differs(b, known)
}

// differs reports whether another router has read other targets at the same
// revision from a later list.
func differs(b *peerv1.Beacon, known Known) bool {
	return b.GetTargetsRevision() == known.TargetsRevision && b.GetTargetsDigest() != known.TargetsDigest &&
		b.GetTargetsListed() > known.TargetsListed
}

// catchUp fetches what other routers know and this one does not. A router that
// watches the store itself first gives the store some time.
func (f *Fleet) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wakes:
		}
		wait := time.Duration(0)
		switch {
		case !f.known().Serving:
			// Callers are refused until there is a configuration.
		case f.Leads():
			wait = behindFor
		case f.Live() > smallFleet:
			wait = rand.N(fetchSpread)
		}
		if objects.Sleep(ctx, wait) != nil {
			return
		}
		known := f.known()
		router, address := f.source(known)
		if address == "" {
			continue
		}
		if !f.Fetch(ctx, router, address) {
			f.from.Poke()
		}
		if objects.Sleep(ctx, fetchPause) != nil {
			return
		}
	}
}

// source returns a router that is ahead of this one, one nearby if possible.
func (f *Fleet) source(known Known) (router, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []*peer
	for _, p := range f.peers {
		if !p.live || !f.ahead(p.beacon, known) {
			continue
		}
		if p.beacon.GetFailureDomain() == f.self.FailureDomain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", ""
	}
	b := near[rand.IntN(len(near))].beacon
	return b.GetRouter(), b.GetPeerAddress()
}

// Fetch takes over what another router has read, and reports whether it could.
func (f *Fleet) Fetch(ctx context.Context, router, address string) bool {
	known := f.known()
	request := &peerv1.GetSnapshotRequest{
		ConfigurationVersion: known.ConfigurationVersion, TargetsRevision: known.TargetsRevision,
	}
	f.mu.Lock()
	if p := f.peers[address]; p != nil && differs(p.beacon, known) {
		request.TargetsRevision = 0
	}
	f.mu.Unlock()
	reply, ok := f.snapshot(ctx, router, address, request)
	if !ok {
		return false
	}
	if len(reply.GetConfiguration()) > 0 {
		f.from.TakeConfiguration(reply.GetConfiguration(), "router")
	}
	return f.from.TakeTargets(decodeChange(reply.GetTargets()), reply.GetAllTargets(), router)
}

// FetchCaches takes over what another router believes of the targets' caches.
func (f *Fleet) FetchCaches(ctx context.Context, router, address string) bool {
	known := f.known()
	reply, ok := f.snapshot(ctx, router, address, &peerv1.GetSnapshotRequest{
		ConfigurationVersion: known.ConfigurationVersion, TargetsRevision: known.TargetsRevision, Homes: true,
	})
	if ok {
		f.parts.Recall(decodeHoldings(reply.GetHomes()), time.Now())
	}
	return ok
}

func (f *Fleet) snapshot(
	ctx context.Context, router, address string, request *peerv1.GetSnapshotRequest,
) (*peerv1.Snapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := peerv1connect.NewFleetServiceClient(f.client, "http://"+address)
	reply, err := client.GetSnapshot(ctx, connect.NewRequest(request))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="not-yet"}`).Inc()
		return nil, false
	}
	if err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="failed"}`).Inc()
		f.log.Warn().Err(err).Str("peer", router).Msg("snapshot could not be fetched")
		return nil, false
	}
	metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="taken"}`).Inc()
	return reply.Msg, true
}
