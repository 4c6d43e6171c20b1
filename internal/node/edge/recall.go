package edge

import (
	"context"
	"math/rand/v2"
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
	// settledWait is how long it waits for the list of routers and their answers
	// while the store is away; those in its settings may have been heard by then.
	settledWait = 600 * time.Millisecond
	// recallAgain is the time between two tries to learn from an elder, which
	// may itself be recalling.
	recallAgain = 30 * time.Millisecond
	// recallMost is when a router gives up and learns from the calls alone.
	recallMost = 2 * time.Second
	// recallTimeout bounds one target's answer.
	recallTimeout = 500 * time.Millisecond
)

// recall learns what targets hold: from a router that started earlier, or
// from the engines themselves when there is none, as after a loss of all VMs.
func (r *Router) recall(ctx context.Context) {
	defer r.parts.Complete()
	for r.follower.View().Configuration == nil || len(r.follower.View().Targets.ByService) == 0 {
		if objects.Sleep(ctx, recallPoll) != nil {
			return
		}
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(settledWait):
	case <-r.settled:
	}
	for end := time.Now().Add(recallMost); time.Now().Before(end); {
		name, address := r.fleet.Elder()
		if address == "" {
			if !r.settings.FirstStart {
				r.recallFromEngines(ctx, r.follower.View())
			}
			return
		}
		if r.fleet.FetchCaches(ctx, name, address) {
			r.log.Info().Str("peer", name).Msg("caches recalled from a router")
			return
		}
		if objects.Sleep(ctx, recallAgain+rand.N(r.fleet.MeetingTime())) != nil {
			return
		}
	}
	r.log.Warn().Msg("caches not recalled: no elder router told of them in time")
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
		holdings[i] = affinity.Holding{Part: p.Hash, Target: t.Hash, Read: true}
	}
	r.parts.Recall(holdings, time.Now())
	r.log.Info().Str("target", t.ID).Int("parts", len(parts)).Msg("cache recalled from its engine")
}
