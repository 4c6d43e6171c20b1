package gossip

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/policy/affinity"
)

// maxCacheSends is the number of peers to which a router with a slow link sends cache contents at
// a time. They are hundreds of kilobytes in a large fleet, and a router that sent them to all
// others of its failure domain at once would finish none in time.
const maxCacheSends = 2

var errCachesNotLoaded = errors.New("the contents of the targets' prefix caches are not loaded yet")

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

// limitCacheSends rejects requests for cache contents beyond those that are answered at a time.
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
