package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/platform"
)

const (
	// recallPoll is how often a starting router looks for a view of the fleet.
	recallPoll = 10 * time.Millisecond
	// elderWait is how long a starting router waits to hear from one that has
	// been there longer: half of the time between beacons.
	elderWait = 60 * time.Millisecond
	// recallAgain is when a router that learnt from an elder asks once more,
	// since the elder may itself have been recalling.
	recallAgain = 300 * time.Millisecond
	// recallTimeout bounds one target's answer.
	recallTimeout = 500 * time.Millisecond
)

// recall learns what targets hold: from a router that started earlier, or
// from the engines themselves when there is none, as after a loss of all VMs.
func (r *Router) recall(ctx context.Context) {
	for r.follower.View().Configuration == nil || len(r.follower.View().Targets.ByService) == 0 {
		if objects.Sleep(ctx, recallPoll) != nil {
			return
		}
	}
	if objects.Sleep(ctx, elderWait) != nil {
		return
	}
	if name, address := r.fleet.Elder(); address != "" {
		r.fleet.FetchCaches(ctx, name, address)
		if objects.Sleep(ctx, recallAgain) == nil {
			r.fleet.FetchCaches(ctx, name, address)
		}
		r.log.Info().Str("peer", name).Msg("caches recalled from a router")
		return
	}
	if r.settings.FirstStart {
		return
	}
	r.recallFromEngines(ctx, r.follower.View())
}

func (r *Router) recallFromEngines(ctx context.Context, v *state.View) {
	client := &http.Client{Timeout: recallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	for service, targets := range v.Targets.ByService {
		if v.Configuration.Services[service].CacheTokens == 0 {
			continue
		}
		for _, t := range targets {
			group.Go(func() { r.recallFrom(ctx, client, t) })
		}
	}
	group.Wait()
}

func (r *Router) recallFrom(ctx context.Context, client *http.Client, t *state.Target) {
	parts, err := platform.ReadCache(ctx, client, t.Address)
	if err != nil {
		r.log.Warn().Err(err).Str("target", t.ID).Msg("cache could not be read")
		return
	}
	holdings := make([]affinity.Holding, len(parts))
	for i, p := range parts {
		holdings[i] = affinity.Holding{Part: p.Hash, Target: t.Hash}
	}
	r.parts.Found(holdings, time.Now())
	r.log.Info().Str("target", t.ID).Int("parts", len(parts)).Msg("cache recalled from its engine")
}
