package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/policy/affinity"
)

// maxCacheSends is the number of peers to which a router sends cache contents at a time.
// They are hundreds of kilobytes in a large fleet, and a router that sent them to all
// others of its failure domain at once would finish none in time.
const maxCacheSends = 2

var errCachesNotLoaded = errors.New("the contents of the targets' prefix caches are not loaded yet")

// CacheSource is where a starting router may get the contents of the prefix caches.
type CacheSource struct {
	// Router and Address are a random peer that has them; empty when there is none.
	Router, Address string
	// Expected is set when a peer that started earlier may get them.
	Expected bool
}

// CacheSource returns where to get the contents of the targets' prefix caches. In a
// large fleet only routers of the same failure domain are considered, because the
// contents are large.
func (f *Fleet) CacheSource() CacheSource {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loaded []*peerv1.Beacon
	var source CacheSource
	for _, p := range f.peers {
		if !p.live || (len(f.peers) > smallFleetSize && p.beacon.GetFailureDomain() != f.self.FailureDomain) {
			continue
		}
		source.Expected = source.Expected || p.beacon.GetIncarnation() < f.self.Incarnation
		if p.beacon.GetCachesLoaded() {
			loaded = append(loaded, p.beacon)
		}
	}
	if len(loaded) > 0 {
		b := loaded[rand.IntN(len(loaded))]
		source.Router, source.Address = b.GetRouter(), b.GetPeerAddress()
	}
	return source
}

// GetCaches implements peerv1connect.FleetServiceHandler.
func (f *Fleet) GetCaches(
	context.Context, *connect.Request[peerv1.GetCachesRequest],
) (*connect.Response[peerv1.Caches], error) {
	if !f.cachesLoaded() {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errCachesNotLoaded)
	}
	return connect.NewResponse(encodeCaches(f.cacheIndex.Holdings(time.Now()))), nil
}

func (f *Fleet) cachesLoaded() bool {
	select {
	case <-f.cacheIndex.Restored():
		return true
	default:
		return false
	}
}

// limitCacheSends rejects requests for cache contents beyond maxCacheSends at a time.
// The peers that ask retry, also with those that have been served meanwhile.
func (f *Fleet) limitCacheSends(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == peerv1connect.FleetServiceGetCachesProcedure {
			select {
			case f.cacheSends <- struct{}{}:
				defer func() { <-f.cacheSends }()
			default:
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// FetchCaches fetches the contents of the targets' prefix caches from a peer, and
// reports whether the request succeeded.
func (f *Fleet) FetchCaches(ctx context.Context, router, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := peerv1connect.NewFleetServiceClient(f.client, "http://"+address, connect.WithReadMaxBytes(maxSnapshotBytes))
	resp, err := client.GetCaches(ctx, connect.NewRequest(&peerv1.GetCachesRequest{}))
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeFailedPrecondition:
		metrics.GetOrCreateCounter(`hickoryrock_cache_fetches_total{result="not-yet"}`).Inc()
		return false
	}
	if err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_cache_fetches_total{result="failed"}`).Inc()
		f.log.Warn().Err(err).Str("peer", router).Msg("failed to fetch cache contents")
		return false
	}
	metrics.GetOrCreateCounter(`hickoryrock_cache_fetches_total{result="taken"}`).Inc()
	f.cacheIndex.Restore(decodeCaches(resp.Msg), time.Now())
	return true
}

// AnnounceCaches tells the routers of this failure domain that this one can send them
// the contents of the prefix caches.
func (f *Fleet) AnnounceCaches() { f.announceNear() }

func encodeCaches(holdings []affinity.Holding) *peerv1.Caches {
	byTarget := make(map[uint64]*peerv1.CacheContents)
	caches := new(peerv1.Caches)
	for _, h := range holdings {
		c := byTarget[h.Target]
		if c == nil {
			c = &peerv1.CacheContents{Target: h.Target}
			byTarget[h.Target] = c
			caches.Targets = append(caches.Targets, c)
		}
		if h.Prefilled {
			c.Read = append(c.Read, h.Part)
		} else {
			c.Assigned = append(c.Assigned, h.Part)
		}
	}
	return caches
}

func decodeCaches(caches *peerv1.Caches) []affinity.Holding {
	var holdings []affinity.Holding
	for _, c := range caches.GetTargets() {
		for _, part := range c.GetRead() {
			holdings = append(holdings, affinity.Holding{Part: part, Target: c.GetTarget(), Prefilled: true})
		}
		for _, part := range c.GetAssigned() {
			holdings = append(holdings, affinity.Holding{Part: part, Target: c.GetTarget()})
		}
	}
	return holdings
}
