package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/wire/httptransport"
	"hickoryrock/platform"
)

const (
	// viewPollInterval is how often a starting router checks whether it has a configuration
	// and targets.
	viewPollInterval = 10 * time.Millisecond
	// joinTimeout is how long to wait for the list of routers and their first beacons while
	// the store is unavailable. By then beacons of the settings' seed routers may have
	// arrived.
	joinTimeout = 600 * time.Millisecond
	// peerRetryInterval is the time between two attempts to fetch cache contents from
	// another router, which may still be loading them or sending them to others.
	peerRetryInterval = 30 * time.Millisecond
	// cacheLoadTimeout bounds the attempts to fetch cache contents from other routers.
	// Afterwards the router learns them only from the calls that it routes.
	cacheLoadTimeout = 2 * time.Second
	// engineReadTimeout bounds the request for one engine's cache contents. Other routers wait for all
	// of them, and an engine that is busy answers late.
	engineReadTimeout = 300 * time.Millisecond
	// maxEngineReads bounds the concurrent requests, and with them their memory.
	maxEngineReads = 64
)

// loadCaches learns which prompt parts the targets have cached: from a router that started
// earlier or, when there is none, as after a loss of all VMs, from the engines themselves.
func (r *Router) loadCaches(ctx context.Context) {
	defer func() {
		r.cacheIndex.MarkRestored()
		r.fleet.AnnounceCaches()
	}()
	for r.watcher.View().Configuration == nil || len(r.watcher.View().Targets.ByService) == 0 {
		if objects.Sleep(ctx, viewPollInterval) != nil {
			return
		}
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(joinTimeout):
	case <-r.joined:
	}
	for deadline := time.Now().Add(cacheLoadTimeout); time.Now().Before(deadline); {
		source := r.fleet.CacheSource()
		if source.Address == "" && !source.Expected {
			if !r.settings.Bootstrap {
				r.loadCachesFromEngines(ctx, r.watcher.View())
			}
			return
		}
		if source.Address != "" && r.fleet.FetchCaches(ctx, source.Router, source.Address) {
			r.log.Info().Str("peer", source.Router).Msg("cache contents loaded from another router")
			return
		}
		if objects.Sleep(ctx, peerRetryInterval+rand.N(r.fleet.DiscoveryTime())) != nil {
			return
		}
	}
	r.log.Warn().Msg("cache contents not loaded: no other router provided them in time")
}

func (r *Router) loadCachesFromEngines(ctx context.Context, v *state.View) {
	transport := httptransport.New(engineReadTimeout)
	transport.DisableKeepAlives = true
	client := &http.Client{Timeout: engineReadTimeout, Transport: transport}
	var group errgroup.Group
	group.SetLimit(maxEngineReads)
	for service, targets := range v.Targets.ByService {
		if v.Configuration.Services[service].CacheTokens == 0 {
			continue
		}
		for _, t := range targets {
			group.Go(func() error {
				r.loadCacheFromEngine(ctx, client, t)
				return nil
			})
		}
	}
	_ = group.Wait() // Failures are logged; the other engines' lists still help.
}

func (r *Router) loadCacheFromEngine(ctx context.Context, client *http.Client, t *state.Target) {
	if t.Leaving || t.Evacuated || r.targetBackoff.Remaining(t.Hash, time.Now()) > 0 {
		return
	}
	parts, headers, err := platform.ListCachedParts(ctx, client, t.Address)
	r.targetBackoff.Observe(t.Hash, headers.RetryAfter, time.Now())
	if headers.Leaving {
		r.watcher.RecordLeaving(t.Hash)
	}
	if err != nil {
		r.log.Warn().Err(err).Str("target", t.ID).Msg("failed to read the target's cache contents")
		return
	}
	holdings := make([]affinity.Holding, len(parts))
	for i, p := range parts {
		holdings[i] = affinity.Holding{Part: p.Hash, Target: t.Hash, Prefilled: true}
	}
	r.cacheIndex.Restore(holdings, time.Now())
	r.log.Info().Str("target", t.ID).Int("parts", len(parts)).Msg("cache contents loaded from the engine")
}
