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
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
)

const (
	// firstFetchers is the number of routers of a failure domain that fetch a change
	// from another domain.
	firstFetchers = 2
	// nearSourceTimeout is how long the others wait for a router of their failure
	// domain to have the change.
	nearSourceTimeout = 300 * time.Millisecond
	// maxFetchSources is the number of peers that are asked for a change at a time.
	maxFetchSources = 3
	// remoteConfirmRatio: one in remoteConfirmRatio confirmations asks a peer of another
	// failure domain.
	remoteConfirmRatio = 3
)

var errNotConfirmed = errors.New("the router's state is not confirmed yet")

// GetSnapshot implements peerv1connect.FleetServiceHandler.
func (f *Fleet) GetSnapshot(
	_ context.Context, r *connect.Request[peerv1.GetSnapshotRequest],
) (*connect.Response[peerv1.Snapshot], error) {
	if r.Msg.GetConfirmed() && !f.localState().Confirmed {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotConfirmed)
	}
	s := f.watcher.Snapshot(r.Msg.GetConfigurationVersion(),
		state.Revision{Era: r.Msg.GetStoreEra(), Number: r.Msg.GetTargetsRevision()})
	if r.Msg.GetConfirmed() {
		// The requester may have missed targets that left, and have read an older list.
		s.Departures = f.watcher.Departures()
	}
	snapshot := &peerv1.Snapshot{
		Configuration: s.Configuration, AllTargets: s.Full, Targets: encodeDelta(s.Targets),
		Departures: encodeDepartures(s.Departures, time.Now()), Evacuations: f.encodeEvacuations(),
	}
	for _, item := range s.Targets.Items {
		snapshot.Targets.Items = append(snapshot.Targets.Items, encodeItem(item))
	}
	return connect.NewResponse(snapshot), nil
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
		if f.awaitTurn(ctx) != nil {
			return
		}
		f.fetchFromPeers(ctx)
		if objects.Sleep(ctx, minFetchInterval) != nil {
			return
		}
	}
}

// awaitTurn waits until this router should fetch. In a large fleet the first routers of
// each failure domain fetch from the one that read the store, and the others from them,
// so that no router has to send its snapshot to the whole fleet.
func (f *Fleet) awaitTurn(ctx context.Context) error {
	local := f.localState()
	switch {
	case !local.Serving:
		return nil // Callers are refused until there is a configuration.
	case f.WatchesStore():
		return objects.Sleep(ctx, storeGracePeriod)
	case f.LiveCount() <= smallFleetSize:
		return nil
	}
	if err := objects.Sleep(ctx, rand.N(fetchJitter)); err != nil || f.fetchesFirst() {
		return err
	}
	for end := time.Now().Add(nearSourceTimeout); time.Now().Before(end); {
		if s, ok := f.pickSource(f.localState(), nil); ok && s.near {
			return nil
		}
		if err := objects.Sleep(ctx, fetchJitter/2); err != nil {
			return err
		}
	}
	return nil
}

// fetchFromPeers fetches from a peer that is ahead. One that does not answer soon must not hold
// up the others: after hedgeDelay, or when another peer is ahead, the next one is asked as well,
// up to maxFetchSources. The first to have a new configuration in its failure domain announces
// it there.
func (f *Fleet) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := f.localState()
	asked := make(map[string]bool)
	results := make(chan fetchResult, maxFetchSources)
	running := 0
	ask := func() {
		s, ok := f.pickSource(f.localState(), asked)
		if !ok || len(asked) == maxFetchSources {
			return
		}
		asked[s.address] = true
		running++
		go func() { results <- fetchResult{s, f.FetchSnapshot(ctx, s.router, s.address)} }()
	}
	ask()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for running > 0 {
		select {
		case r := <-results:
			running--
			if r.applied {
				if !r.near && f.localState().ConfigurationVersion > before.ConfigurationVersion {
					f.announceNear()
				}
				return
			}
			ask()
		case <-hedge.C:
			if !f.isBehind() {
				return // The store or a beacon has brought what was missing.
			}
			ask()
		}
	}
}

// isBehind reports whether a live peer is ahead of this router.
func (f *Fleet) isBehind() bool {
	_, ok := f.pickSource(f.localState(), nil)
	return ok
}

// FetchSnapshot fetches the configuration and targets from a peer and applies
// them. It reports whether the targets were applied.
func (f *Fleet) FetchSnapshot(ctx context.Context, router, address string) bool {
	local := f.localState()
	request := newSnapshotRequest(local)
	f.mu.Lock()
	if p := f.peers[address]; local.LacksDepartures || (p != nil && hasNewerList(p.beacon, local)) {
		request.TargetsRevision = 0
	}
	f.mu.Unlock()
	snapshot, ok := f.requestSnapshot(ctx, router, address, request)
	return ok && f.applySnapshot(snapshot, router)
}

// Confirm brings this router's state up to date with a random peer that has confirmed
// its own, and reports whether it succeeded. It also asks peers that count as lost:
// after a pause of this router all of them do.
func (f *Fleet) Confirm(ctx context.Context) bool {
	router, address := f.pickKnownPeer()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	request := newSnapshotRequest(f.localState())
	request.Confirmed = true
	snapshot, ok := f.requestSnapshot(ctx, router, address, request)
	return ok && f.applySnapshot(snapshot, router)
}

// pickKnownPeer returns a random peer that has sent a beacon, preferring this router's
// failure domain. Both strings are empty when there is none.
func (f *Fleet) pickKnownPeer() (router, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, remote []*peer
	for _, p := range f.peers {
		switch {
		case p.beacon.GetRouter() == "" || p.beacon.GetLeaving():
		case p.beacon.GetFailureDomain() == f.self.FailureDomain:
			near = append(near, p)
		default:
			remote = append(remote, p)
		}
	}
	if len(near) == 0 || (len(remote) > 0 && rand.IntN(remoteConfirmRatio) == 0) {
		near = remote // A failure domain may have been paused as a whole.
	}
	if len(near) == 0 {
		return "", ""
	}
	b := near[rand.IntN(len(near))].beacon
	return b.GetRouter(), b.GetPeerAddress()
}

// applySnapshot applies the configuration and targets of a snapshot, and reports
// whether the targets were applied.
func (f *Fleet) applySnapshot(snapshot *peerv1.Snapshot, router string) bool {
	if len(snapshot.GetConfiguration()) > 0 {
		f.watcher.ApplyConfiguration(snapshot.GetConfiguration(), "router")
	}
	f.mergeEvacuations(snapshot.GetEvacuations(), router)
	f.watcher.ApplyDepartures(decodeDepartures(snapshot.GetDepartures(), time.Now()))
	return f.watcher.ApplyTargets(decodeChange(snapshot.GetTargets()), snapshot.GetAllTargets(), router)
}

func (f *Fleet) requestSnapshot(
	ctx context.Context, router, address string, request *peerv1.GetSnapshotRequest,
) (*peerv1.Snapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	started := time.Now()
	client := peerv1connect.NewFleetServiceClient(f.client, "http://"+address, connect.WithReadMaxBytes(maxSnapshotBytes))
	resp, err := client.GetSnapshot(ctx, connect.NewRequest(request))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="not-yet"}`).Inc()
		return nil, false
	}
	behind := f.ConfigurationLag(f.localState().ConfigurationVersion).Behind
	isNeeded := !errors.Is(context.Cause(ctx), context.Canceled)
	if err != nil && (isNeeded || time.Since(started) > hedgeDelay) {
		f.recordFailedSource(address)
	}
	if err != nil && !isNeeded {
		metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="not-needed"}`).Inc()
		return nil, false
	}
	if err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="failed"}`).Inc()
		f.log.Warn().Err(err).Str("peer", router).Dur("took-ms", time.Since(started)).
			Dur("behind-ms", behind).Msg("failed to fetch snapshot")
		return nil, false
	}
	metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="taken"}`).Inc()
	f.log.Info().Str("peer", router).Dur("took-ms", time.Since(started)).Dur("behind-ms", behind).
		Int("configuration-bytes", len(resp.Msg.GetConfiguration())).Int("targets", len(resp.Msg.GetTargets().GetItems())).
		Msg("snapshot fetched")
	return resp.Msg, true
}
