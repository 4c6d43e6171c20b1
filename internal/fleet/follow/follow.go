// Package follow keeps a router's view of the fleet up to date from the
// platform's store, and from other routers when the store turns it away.
package follow

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
	// defaultWatchWait is how long a watch waits when the platform states no bound.
	defaultWatchWait = 700 * time.Millisecond
	// watchShare of the time until a change must be in force is how long a watch
	// waits at most: one that has gone deaf must end well before.
	watchShare = 0.35
	// retryFirst and retryMost are the waiting times after failed calls.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// idlePoll is how often a router that others keep informed asks the store
	// itself: each call is charged, and beacons tell of all that it misses.
	idlePoll = 5 * time.Minute
	// turnPoll is how often such a router checks whether it has to watch itself.
	turnPoll = 150 * time.Millisecond
	// outage is the time without the store after which entries may have lapsed.
	outage = 1500 * time.Millisecond
	// ownAfter is how long calls must have failed before others' success shows
	// that the store itself is not away.
	ownAfter = time.Second
	// lapseGrace is how long after the store's return entries that lapsed
	// meanwhile have to come back: the platform states about two seconds.
	lapseGrace = 2 * time.Second
	// lapseShare of the time in which a leaving target may still get calls bounds
	// that time for each entry: it may truly be gone.
	lapseShare = 0.75
	// defaultDrain holds when the platform states none.
	defaultDrain = 2 * time.Second
	// keptChanges is how many changes of targets are kept for other routers.
	keptChanges = 256
	// sweepEvery is how often entries that did not come back are dropped.
	sweepEvery = 200 * time.Millisecond
)

type (
	// Option changes a follower's settings.
	Option func(*Follower)

	// Follower holds the newest view.
	Follower struct {
		store *platform.Store
		log   zerolog.Logger
		view  atomic.Pointer[state.View]
		// viewed is called after each change of the view, with the change of
		// targets that the store has told, if any.
		viewed func(*Change)
		// served reports whether the store serves other routers now.
		served func() bool
		// watchWait is how long a watch waits.
		watchWait time.Duration
		// lapseMost is how long an entry that went missing may be kept.
		lapseMost time.Duration

		mu            sync.Mutex
		configuration []byte
		entries       map[string]entry
		revision      uint64
		// recent holds all changes after recentFrom, oldest first.
		recent     []Change
		recentFrom uint64
		// listed is the revision of the last list of all targets.
		listed uint64
		// lapsed holds until when entries that went missing may come back.
		lapsed map[string]time.Time

		configurations source
		targets        source
	}

	// source is the state of one watch.
	source struct {
		kind  string
		heard atomic.Int64
		// pokes ask for a call to the store ahead of time.
		pokes chan struct{}
		// failing is since when calls have failed, or zero; own is set when the
		// store has served other routers meanwhile, so that nothing lapsed.
		failing  time.Time
		own      bool
		regained time.Time
		lost     bool
	}

	entry struct {
		raw    []byte
		target *state.Target
	}

	// Change holds changes of targets after one revision of the store up to another one.
	Change struct {
		After    uint64
		Revision uint64
		// Items are in the order in which they happened.
		Items []Item
	}

	// Item is a changed target or the name of one that is gone.
	Item struct {
		// Entry is as the store holds it.
		Entry   []byte
		Deleted string
	}

	// Snapshot is what another router may take from this one.
	Snapshot struct {
		// Configuration is as the store holds it; nil when the other one has it.
		Configuration []byte
		Targets       Change
		// All is set when the change holds all targets.
		All bool
	}
)

// New returns a follower that calls viewed after each change of its view, and
// asks served whether the store serves other routers while it fails this one.
func New(store *platform.Store, log zerolog.Logger, viewed func(*Change), served func() bool, opts ...Option) *Follower {
	f := &Follower{
		store: store, log: log, viewed: viewed, served: served,
		entries: make(map[string]entry), lapsed: make(map[string]time.Time),
		watchWait: defaultWatchWait, lapseMost: share(lapseShare, defaultDrain),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.configurations.kind, f.configurations.pokes = platform.KindConfigurations, make(chan struct{}, 1)
	f.targets.kind, f.targets.pokes = platform.KindTargets, make(chan struct{}, 1)
	f.view.Store(&state.View{Targets: state.NewTargets(nil)})
	return f
}

// WithBounds sets the times in which a change must be in force and a leaving
// target must be left; zero keeps the default.
func WithBounds(apply, drain time.Duration) Option {
	return func(f *Follower) {
		if apply > 0 {
			f.watchWait = share(watchShare, apply)
		}
		if drain > 0 {
			f.lapseMost = share(lapseShare, drain)
		}
	}
}

func share(part float64, of time.Duration) time.Duration {
	return time.Duration(part * float64(of))
}

// WatchWait is how long this router's watches wait.
func (f *Follower) WatchWait() time.Duration { return f.watchWait }

// View returns the newest view.
func (f *Follower) View() *state.View { return f.view.Load() }

// StoreAge returns the time since the store last answered about configurations and targets.
func (f *Follower) StoreAge() time.Duration {
	return time.Since(time.Unix(0, min(f.configurations.heard.Load(), f.targets.heard.Load())))
}

// Run follows the store until ctx ends. Routers for which leads returns false
// leave the watching to others, which tell them of changes.
func (f *Follower) Run(ctx context.Context, leads func() bool) {
	var group sync.WaitGroup
	group.Go(func() { f.follow(ctx, &f.configurations, leads, f.applyConfigurations) })
	group.Go(func() { f.follow(ctx, &f.targets, leads, f.applyTargets) })
	group.Go(func() { f.sweep(ctx) })
	group.Wait()
}

// Poke makes the follower ask the store for what another router has read
// already and could not hand over.
func (f *Follower) Poke() {
	for _, s := range []*source{&f.configurations, &f.targets} {
		select {
		case s.pokes <- struct{}{}:
		default:
		}
	}
}

// turn waits until the source has to be asked and returns how long the store may wait.
func (f *Follower) turn(ctx context.Context, s *source, leads func() bool) time.Duration {
	ticker := time.NewTicker(turnPoll)
	defer ticker.Stop()
	due := time.Now().Add(idlePoll)
	for !leads() {
		select {
		case <-ctx.Done():
			return 0
		case <-s.pokes:
			return 0
		case now := <-ticker.C:
			if now.After(due) {
				return 0
			}
		}
	}
	return f.watchWait
}

// follow lists a kind and then watches it; full is set for the pages of a list.
func (f *Follower) follow(
	ctx context.Context, s *source, leads func() bool, apply func(page platform.Page, full bool) bool,
) {
	var revision uint64
	backoff := objects.Backoff{Base: retryFirst, Max: retryMost}
	failures, started := 0, false
	for ctx.Err() == nil {
		var page platform.Page
		var err error
		full := revision == 0
		switch {
		case full && !started:
			// A cached list does for the start: what has changed since comes with
			// the first watch, or from the routers that know it.
			page, err = f.store.ListCached(ctx, s.kind)
		case full:
			page, err = f.store.List(ctx, s.kind)
		case failures > 0:
			page, err = f.store.Watch(ctx, s.kind, revision, 0)
		default:
			page, err = f.store.Watch(ctx, s.kind, revision, f.turn(ctx, s, leads))
		}
		if errors.Is(err, objects.ErrTooOld) {
			f.log.Info().Str("kind", s.kind).Uint64("revision", revision).Msg("history is gone, listing again")
			revision = 0
			continue
		}
		if err != nil {
			failures++
			f.failed(s, err)
			_ = objects.Sleep(ctx, backoff.Delay(failures))
			continue
		}
		failures, started = 0, true
		f.succeeded(s)
		switch {
		case !apply(page, full):
			_ = objects.Sleep(ctx, retryFirst) // An old read: ask again.
		case !full && len(page.Objects) == 0 && page.Revision > revision:
			// The store has changed and the watch has heard nothing: that was
			// another kind, or the watch is deaf. Only a list tells.
			revision = 0
		default:
			revision = max(revision, page.Revision)
		}
	}
}

func (f *Follower) failed(s *source, err error) {
	now := time.Now()
	served := f.served()
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.failing.IsZero() {
		s.failing, s.own = now, false
	}
	s.own = s.own || (served && now.Sub(s.failing) > ownAfter)
	if !s.lost && now.Sub(s.failing) > outage {
		s.lost = true
		f.log.Warn().Str("kind", s.kind).Dur("failing-ms", now.Sub(s.failing)).Err(err).Msg("store lost")
	}
}

func (f *Follower) succeeded(s *source) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s.heard.Store(now.UnixNano())
	if !s.failing.IsZero() && now.Sub(s.failing) > outage {
		if !s.own {
			s.regained = now
		}
		f.log.Info().Str("kind", s.kind).Dur("failing-ms", now.Sub(s.failing)).
			Bool("served-others", s.own).Msg("store reached again")
	}
	s.failing, s.lost = time.Time{}, false
}

func (f *Follower) applyConfigurations(page platform.Page, _ bool) bool {
	for _, o := range page.Objects {
		if o.Name == platform.CurrentConfiguration && !o.Deleted {
			f.TakeConfiguration(o.Spec, "store")
		}
	}
	return true
}

// TakeConfiguration takes in a configuration as the store holds it unless it is older than the one in force.
func (f *Follower) TakeConfiguration(spec []byte, from string) {
	configuration, err := platform.DecodeConfiguration(spec)
	if err != nil {
		f.log.Error().Err(err).Str("from", from).Msg("configuration refused")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.View()
	if current.Configuration != nil && configuration.Version <= current.Configuration.Version {
		return
	}
	f.configuration = spec
	f.view.Store(&state.View{Configuration: configuration, Targets: current.Targets})
	f.viewed(nil)
	metrics.GetOrCreateCounter(`hickoryrock_configurations_total{from="` + from + `"}`).Inc()
	f.log.Info().Int64("configuration", configuration.Version).Int("routes", len(configuration.Routes)).
		Str("from", from).Msg("configuration in force")
}
