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

var errCachesNotLoaded = errors.New("the contents of the targets' prefix caches are not loaded yet")

// GetSnapshot implements peerv1connect.FleetServiceHandler.
func (f *Fleet) GetSnapshot(
	_ context.Context, r *connect.Request[peerv1.GetSnapshotRequest],
) (*connect.Response[peerv1.Snapshot], error) {
	if r.Msg.GetHomes() {
		select {
		case <-f.cacheIndex.Restored():
		default:
			return nil, connect.NewError(connect.CodeFailedPrecondition, errCachesNotLoaded)
		}
	}
	s := f.watcher.Snapshot(r.Msg.GetConfigurationVersion(), r.Msg.GetTargetsRevision())
	snapshot := &peerv1.Snapshot{Configuration: s.Configuration, AllTargets: s.Full, Targets: &peerv1.TargetsChange{
		AfterRevision: s.Targets.After, Revision: s.Targets.Revision,
	}}
	for _, item := range s.Targets.Items {
		snapshot.Targets.Items = append(snapshot.Targets.Items, &peerv1.TargetItem{Entry: item.Entry, Deleted: item.Deleted})
	}
	if r.Msg.GetHomes() {
		snapshot.Homes = encodeHoldings(f.cacheIndex.Holdings(time.Now()))
	}
	return connect.NewResponse(snapshot), nil
}

// isAhead reports whether the sender of a beacon has a newer configuration, or
// targets that this router does not have.
func (f *Fleet) isAhead(b *peerv1.Beacon, local State) bool {
	if b.GetConfigurationVersion() > local.ConfigurationVersion {
		return true
	}
	if b.GetTargetsRevision() > local.TargetsRevision {
		return b.GetTargetsDigest() != local.TargetsDigest
	}
	return hasNewerList(b, local)
}

// hasNewerList reports whether the sender of a beacon has different targets at the
// same revision, taken from a later list of the store.
func hasNewerList(b *peerv1.Beacon, local State) bool {
	return b.GetTargetsRevision() == local.TargetsRevision && b.GetTargetsDigest() != local.TargetsDigest &&
		b.GetTargetsListed() > local.TargetsListRevision
}

// catchUp fetches state that peers have and this router lacks. A router that
// watches the store first waits storeGracePeriod for the store to deliver it.
func (f *Fleet) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.fetchRequests:
		}
		wait := time.Duration(0)
		switch {
		case !f.localState().Serving:
			// Fetch immediately: callers are refused until there is a configuration.
		case f.WatchesStore():
			wait = storeGracePeriod
		case f.LiveCount() > smallFleetSize:
			wait = rand.N(fetchJitter)
		}
		if objects.Sleep(ctx, wait) != nil {
			return
		}
		local := f.localState()
		router, address := f.pickSource(local)
		if address == "" {
			continue
		}
		if !f.FetchSnapshot(ctx, router, address) {
			f.watcher.Refresh()
		}
		if objects.Sleep(ctx, minFetchInterval) != nil {
			return
		}
	}
}

// pickSource returns a random peer that is ahead of this router, preferring its
// own failure domain. Both strings are empty when there is none.
func (f *Fleet) pickSource(local State) (router, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, remote []*peer
	for _, p := range f.peers {
		if !p.live || !f.isAhead(p.beacon, local) {
			continue
		}
		if p.beacon.GetFailureDomain() == f.self.FailureDomain {
			near = append(near, p)
		} else {
			remote = append(remote, p)
		}
	}
	if len(near) == 0 {
		near = remote
	}
	if len(near) == 0 {
		return "", ""
	}
	b := near[rand.IntN(len(near))].beacon
	return b.GetRouter(), b.GetPeerAddress()
}

// FetchSnapshot fetches the configuration and targets from a peer and applies
// them. It reports whether the targets were applied.
func (f *Fleet) FetchSnapshot(ctx context.Context, router, address string) bool {
	local := f.localState()
	request := &peerv1.GetSnapshotRequest{
		ConfigurationVersion: local.ConfigurationVersion, TargetsRevision: local.TargetsRevision,
	}
	f.mu.Lock()
	if p := f.peers[address]; p != nil && hasNewerList(p.beacon, local) {
		request.TargetsRevision = 0
	}
	f.mu.Unlock()
	snapshot, ok := f.requestSnapshot(ctx, router, address, request)
	if !ok {
		return false
	}
	if len(snapshot.GetConfiguration()) > 0 {
		f.watcher.ApplyConfiguration(snapshot.GetConfiguration(), "router")
	}
	return f.watcher.ApplyTargets(decodeChange(snapshot.GetTargets()), snapshot.GetAllTargets(), router)
}

// FetchCaches fetches the contents of the targets' prefix caches from a peer, and
// reports whether the request succeeded.
func (f *Fleet) FetchCaches(ctx context.Context, router, address string) bool {
	local := f.localState()
	snapshot, ok := f.requestSnapshot(ctx, router, address, &peerv1.GetSnapshotRequest{
		ConfigurationVersion: local.ConfigurationVersion, TargetsRevision: local.TargetsRevision, Homes: true,
	})
	if ok {
		f.cacheIndex.Restore(decodeHoldings(snapshot.GetHomes()), time.Now())
	}
	return ok
}

func (f *Fleet) requestSnapshot(
	ctx context.Context, router, address string, request *peerv1.GetSnapshotRequest,
) (*peerv1.Snapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := peerv1connect.NewFleetServiceClient(f.client, "http://"+address)
	resp, err := client.GetSnapshot(ctx, connect.NewRequest(request))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="not-yet"}`).Inc()
		return nil, false
	}
	if err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="failed"}`).Inc()
		f.log.Warn().Err(err).Str("peer", router).Msg("failed to fetch snapshot")
		return nil, false
	}
	metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="taken"}`).Inc()
	return resp.Msg, true
}
