// Package storewatch keeps a router's view of the fleet up to date by list and
// watch calls to the platform's store, and from other routers when the store
// rejects its calls.
package storewatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

const (
	// defaultWatchWait is the wait of a watch call when the platform sets no bound.
	defaultWatchWait = 700 * time.Millisecond
	// watchWaitFraction is the longest wait of a watch call as a fraction of the
	// time within which a change must be in force: a watch that no longer
	// delivers events must end well before that.
	watchWaitFraction = 0.5
	// retryBaseDelay and retryMaxDelay bound the backoff after failed calls.
	retryBaseDelay = 50 * time.Millisecond
	retryMaxDelay  = 800 * time.Millisecond
	// changePause is the pause after a watch that returned changes. Changes often come
	// in series, and those of the pause arrive with the next call.
	changePause = 100 * time.Millisecond
	// idlePollInterval is how often a router that does not watch polls the store:
	// the platform charges for each call, and beacons of other routers reveal
	// every change that it has missed.
	idlePollInterval = 5 * time.Minute
	// roleCheckInterval is how often such a router checks whether it has to start watching.
	roleCheckInterval = 150 * time.Millisecond
	// outageThreshold is the duration of failing store calls after which targets'
	// entries may have expired because they could not be renewed.
	outageThreshold = 1500 * time.Millisecond
	// localOutageAfter is how long calls must have failed before successful calls
	// of other routers show that the store itself is up.
	localOutageAfter = time.Second
	// recoveryGrace is how long after the store's recovery targets have to write
	// expired entries again: the platform documents about two seconds.
	recoveryGrace = 2 * time.Second
	// retentionFraction bounds how long a missing entry is kept, as a fraction of
	// the time in which a draining target may still get calls: the target may
	// really be gone.
	retentionFraction = 0.75
	// defaultDrainTime is used when the platform sets none.
	defaultDrainTime = 2 * time.Second
	// maxRecentDeltas is the number of deltas of targets kept for other routers.
	maxRecentDeltas = 256
	// originStore names the store as the origin of a configuration.
	originStore = "store"
	// sweepInterval is how often entries past their retention are removed.
	sweepInterval = 200 * time.Millisecond
)

type (
	// Option configures a Watcher.
	Option func(*Watcher)

	// Watcher lists and watches the store and publishes the latest view. Its
	// methods are safe for concurrent use.
	Watcher struct {
		store *platform.Store
		log   zerolog.Logger
		view  atomic.Pointer[state.View]
		// onChange is called with mu held; see New.
		onChange func(*Delta)
		// servesPeers reports whether the store currently serves other routers.
		servesPeers func() bool
		// watchWait is the wait of a watch call.
		watchWait time.Duration
		// maxRetention bounds how long a missing entry is kept.
		maxRetention time.Duration

		mu            sync.Mutex
		configuration []byte
		entries       map[string]entry
		revision      uint64
		// recentDeltas holds all deltas after revision recentAfter, oldest first.
		recentDeltas []Delta
		recentAfter  uint64
		// listRevision is the revision of the last full list of targets.
		listRevision uint64
		// expiring holds the time until which each missing entry is kept.
		expiring map[string]time.Time

		configurationWatch watchState
		targetWatch        watchState
	}

	// watchState is the state of the list and watch calls of one kind.
	watchState struct {
		kind string
		// lastSuccess is the time of the last successful call in Unix nanoseconds.
		lastSuccess atomic.Int64
		// refresh requests an immediate call to the store.
		refresh chan struct{}
		// failingSince is when calls began to fail, or zero. localOutage is set when
		// the store has served other routers meanwhile, so that no entry expired.
		failingSince time.Time
		localOutage  bool
		// recoveredAt is the end of the last outage that was not local.
		recoveredAt  time.Time
		outageLogged bool
		// era is the last era that the store stated; eraLogged is set once an answer without
		// one was logged.
		era       uint64
		eraLogged bool
	}

	entry struct {
		raw    []byte
		target *state.Target
	}

	// Delta holds the changes of targets after revision After up to Revision.
	Delta struct {
		After    uint64
		Revision uint64
		// Items are in the order in which the changes happened.
		Items []TargetChange
	}

	// TargetChange is the entry of a changed target or the name of a deleted one.
	TargetChange struct {
		// Entry is the entry as the store returned it; unused when Deleted is set.
		Entry   []byte
		Deleted string
	}

	// Snapshot holds what another router needs to catch up with this one.
	Snapshot struct {
		// Configuration is the spec as the store returned it; nil when the other
		// router has this version or a newer one.
		Configuration []byte
		Targets       Delta
		// Full is set when Targets holds all targets instead of changes.
		Full bool
	}
)

// New returns a Watcher that calls onChange for each new configuration and each
// change of targets that the store returned, and not for those of other routers: in a
// large fleet, each router announcing each change to all others would take more
// messages than everything else. onChange gets the delta that a watch returned, nil for
// a configuration; it runs with the internal lock held and must not block. When calls to the store fail, servesPeers reports whether the
// store still serves other routers.
func New(store *platform.Store, log zerolog.Logger, onChange func(*Delta), servesPeers func() bool, opts ...Option) *Watcher {
	w := &Watcher{
		store: store, log: log, onChange: onChange, servesPeers: servesPeers,
		entries: make(map[string]entry), expiring: make(map[string]time.Time),
		watchWait: defaultWatchWait, maxRetention: scale(retentionFraction, defaultDrainTime),
	}
	for _, opt := range opts {
		opt(w)
	}
	w.configurationWatch.kind, w.configurationWatch.refresh = platform.KindConfigurations, make(chan struct{}, 1)
	w.targetWatch.kind, w.targetWatch.refresh = platform.KindTargets, make(chan struct{}, 1)
	w.view.Store(&state.View{Targets: state.NewTargets(nil)})
	return w
}

// WithBounds sets the times within which a change must be in force and a
// draining target must get no more calls; zero keeps the default.
func WithBounds(apply, drain time.Duration) Option {
	return func(w *Watcher) {
		if apply > 0 {
			w.watchWait = scale(watchWaitFraction, apply)
		}
		if drain > 0 {
			w.maxRetention = scale(retentionFraction, drain)
		}
	}
}

func scale(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// WatchWait returns the wait of this router's watch calls.
func (w *Watcher) WatchWait() time.Duration { return w.watchWait }

// View returns the latest view. The caller must not modify it.
func (w *Watcher) View() *state.View { return w.view.Load() }

// StoreAge returns the time since the last successful store call for
// configurations or targets, whichever is longer ago.
func (w *Watcher) StoreAge() time.Duration {
	return time.Since(time.Unix(0, min(w.configurationWatch.lastSuccess.Load(), w.targetWatch.lastSuccess.Load())))
}

// Run lists and watches the store until ctx is done. While shouldWatch returns
// false, the router only polls and relies on other routers for changes.
func (w *Watcher) Run(ctx context.Context, shouldWatch func() bool) {
	var group sync.WaitGroup
	group.Go(func() { w.listAndWatch(ctx, &w.configurationWatch, shouldWatch, w.handleConfigurations) })
	group.Go(func() { w.listAndWatch(ctx, &w.targetWatch, shouldWatch, w.handleTargets) })
	group.Go(func() { w.sweep(ctx) })
	group.Wait()
}

// Refresh requests an immediate poll of the store, for changes that another router
// has seen but could not send. It does not block.
func (w *Watcher) Refresh() {
	for _, s := range []*watchState{&w.configurationWatch, &w.targetWatch} {
		select {
		case s.refresh <- struct{}{}:
		default:
		}
	}
}

// awaitNextCall waits until the next watch call to the store is due and returns its
// wait: zero for a poll by a router that does not watch.
func (w *Watcher) awaitNextCall(ctx context.Context, s *watchState, shouldWatch func() bool) time.Duration {
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	pollAt := time.Now().Add(idlePollInterval)
	for !shouldWatch() {
		select {
		case <-ctx.Done():
			return 0
		case <-s.refresh:
			return 0
		case now := <-ticker.C:
			if now.After(pollAt) {
				return 0
			}
		}
	}
	return w.watchWait
}

// listAndWatch lists a kind and then watches it until ctx is done. It passes each
// page to apply, with full set for a list; apply returns false for a stale list.
func (w *Watcher) listAndWatch(
	ctx context.Context, s *watchState, shouldWatch func() bool, apply func(page platform.Page, full bool) bool,
) {
	var revision uint64
	backoff := objects.Backoff{Base: retryBaseDelay, Max: retryMaxDelay}
	failures, started := 0, false
	for ctx.Err() == nil {
		var page platform.Page
		var err error
		full := revision == 0
		switch {
		case full && !started:
			// A cached list is sufficient at the start: later changes arrive with
			// the first watch, or from routers that have them.
			page, err = w.store.ListCached(ctx, s.kind)
		case full:
			page, err = w.store.List(ctx, s.kind)
		case failures > 0:
			page, err = w.store.Watch(ctx, s.kind, revision, 0)
		default:
			page, err = w.store.Watch(ctx, s.kind, revision, w.awaitNextCall(ctx, s, shouldWatch))
		}
		if errors.Is(err, objects.ErrTooOld) {
			w.log.Info().Str("kind", s.kind).Uint64("revision", revision).
				Msg("watch revision no longer in the store's history, listing again")
			revision = 0
			continue
		}
		if err != nil {
			failures++
			w.recordFailure(s, err)
			_ = objects.Sleep(ctx, backoff.Delay(failures))
			continue
		}
		failures, started = 0, true
		w.recordSuccess(s)
		w.recordEra(s, page, full)
		switch {
		case !apply(page, full):
			metrics.GetOrCreateCounter(`hickoryrock_stale_lists_total`).Inc()
			_ = objects.Sleep(ctx, retryBaseDelay) // Stale list: list again.
		case !full && len(page.Objects) == 0 && page.Revision.Number > revision:
			// The revision has advanced without events: either another kind has
			// changed or the watch has lost events. Only a list can tell.
			revision = 0
		default:
			revision = max(revision, page.Revision.Number)
			if !full && len(page.Objects) > 0 {
				_ = objects.Sleep(ctx, changePause)
			}
		}
	}
}

// Confirm brings the view up to date with one read of each kind from the store, for a
// router that does not know whether it missed changes.
func (w *Watcher) Confirm(ctx context.Context) error {
	configurations, err := w.store.List(ctx, platform.KindConfigurations)
	if err != nil {
		return err
	}
	targets, err := w.store.List(ctx, platform.KindTargets)
	if err != nil {
		return err
	}
	w.handleConfigurations(configurations, true)
	w.handleTargets(targets, true)
	return nil
}

func (w *Watcher) recordFailure(s *watchState, err error) {
	now := time.Now()
	servesPeers := w.servesPeers()
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince, s.localOutage = now, false
	}
	s.localOutage = s.localOutage || (servesPeers && now.Sub(s.failingSince) > localOutageAfter)
	if !s.outageLogged && now.Sub(s.failingSince) > outageThreshold {
		s.outageLogged = true
		w.log.Warn().Str("kind", s.kind).Dur("failing-ms", now.Sub(s.failingSince)).Err(err).Msg("store unavailable")
	}
}

func (w *Watcher) recordSuccess(s *watchState) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	s.lastSuccess.Store(now.UnixNano())
	if !s.failingSince.IsZero() && now.Sub(s.failingSince) > outageThreshold {
		if !s.localOutage {
			s.recoveredAt = now
		}
		w.log.Info().Str("kind", s.kind).Dur("failing-ms", now.Sub(s.failingSince)).
			Bool("served-others", s.localOutage).Msg("store available again")
	}
	s.failingSince, s.outageLogged = time.Time{}, false
}

// recordEra logs a change of the store's era, with the revision that comes with it and the
// one that this router knows.
func (w *Watcher) recordEra(s *watchState, page platform.Page, full bool) {
	if page.EraError != nil {
		if !s.eraLogged {
			s.eraLogged = true
			w.log.Info().Str("kind", s.kind).Err(page.EraError).Msg("store states no era")
		}
		return
	}
	if page.Revision.Era == s.era {
		return
	}
	w.log.Info().Str("kind", s.kind).Uint64("from-era", s.era).Stringer("revision", page.Revision).
		Uint64("known-revision", w.View().Targets.Revision).Bool("list", full).Msg("store is in another era")
	s.era = page.Revision.Era
}

func (w *Watcher) handleConfigurations(page platform.Page, _ bool) bool {
	for _, o := range page.Objects {
		if o.Name == platform.CurrentConfiguration && !o.Deleted {
			w.ApplyConfiguration(o.Spec, originStore)
		}
	}
	return true
}

// ApplyConfiguration decodes and publishes a configuration's spec unless the one
// in force has the same version or a newer one. The log and metrics name its
// origin, from. An invalid spec is logged and dropped.
func (w *Watcher) ApplyConfiguration(spec []byte, from string) {
	configuration, err := platform.DecodeConfiguration(spec)
	if err != nil {
		w.log.Error().Err(err).Str("from", from).Msg("configuration rejected")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.View()
	if current.Configuration != nil && configuration.Version <= current.Configuration.Version {
		return
	}
	w.configuration = spec
	w.view.Store(&state.View{Configuration: configuration, Targets: current.Targets})
	if from == originStore {
		w.onChange(nil)
	}
	metrics.GetOrCreateCounter(`hickoryrock_configurations_total{from="` + from + `"}`).Inc()
	w.log.Info().Int64("configuration", configuration.Version).Int("routes", len(configuration.Routes)).
		Str("from", from).Msg("configuration in force")
}
