// Package storewatch keeps a router's view of the fleet up to date by list and
// watch calls to the platform's store, and from other routers when the store
// rejects its calls.
package storewatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

const (
	// defaultWatchWait is the wait of a watch call when the platform sets no bound.
	defaultWatchWait = 700 * time.Millisecond
	// watchWaitFraction is the longest wait of a watch call as a fraction of the
	// time within which a change must be in force: a watch that no longer
	// delivers events must end well before that.
	watchWaitFraction = 0.5
	// evacuationWaitFraction is the same for evacuations. The wait is followed by a list, after
	// which the other routers have to be told.
	evacuationWaitFraction = 0.4
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
	// defaultDrainTime and defaultHeartbeat are used when the platform sets none.
	defaultDrainTime = 2 * time.Second
	defaultHeartbeat = 1200 * time.Millisecond
	// heartbeatsToLapse is the number of heartbeats after which the entry of a target that
	// has gone has expired.
	heartbeatsToLapse = 4
	// maxRecentDeltas is the number of deltas of targets kept for other routers, and
	// maxRecentBytes bounds their entries.
	maxRecentDeltas = 256
	maxRecentBytes  = 4 << 20
	// originStore names the store as the origin of a configuration.
	originStore = "store"
	// sweepInterval is how often entries past their retention are removed.
	sweepInterval = 200 * time.Millisecond
)

type (
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
		// evacuationWait is the wait of a watch call for evacuations; zero means that there are
		// none.
		evacuationWait time.Duration
		// evacuations is nil until a set is known.
		evacuations atomic.Pointer[Evacuations]
		// maxRetention bounds how long a missing entry is kept.
		maxRetention time.Duration
		// lapseTime is how long after the store's return an entry may be listed whose target
		// has gone.
		lapseTime time.Duration
		// probedAt is the time of the last successful probe in Unix nanoseconds.
		probedAt atomic.Int64

		mu            sync.Mutex
		configuration []byte
		entries       map[string]entry
		revision      state.Revision
		// newerLists are the revisions and parts of lists, without objects, some of whose parts
		// are newer than revision.
		newerLists []platform.Page
		// eraSince is when this router first saw the store's era, or zero; eraBase is the
		// first revision that it saw of it.
		eraSince time.Time
		eraBase  uint64
		// recentDeltas holds all deltas after revision recentAfter, oldest first.
		recentDeltas []Delta
		recentAfter  state.Revision
		recentBytes  int
		// listRevision is the revision of the last full list of targets.
		listRevision state.Revision
		// expiring holds the time until which each missing entry is kept.
		expiring   map[string]time.Time
		departures departures
		// announcementsLeft is how often other routers are still to be told of incarnations
		// that have said in answers to this router that they leave.
		announcementsLeft map[uint64]int
		// evacuationSendsLeft is how often other routers are still to be told of a changed set
		// of evacuated failure domains.
		evacuationSendsLeft int
		// evacuationsSkipped and evacuationsFound are the last numbers of entries without a
		// failure domain, and of failure domains beyond the limit, that were logged.
		evacuationsSkipped, evacuationsFound int
		// hasDepartures is set once the departures of earlier eras are known.
		hasDepartures bool
		// withheld is set while a listed target is not used only because its entry was removed
		// before the store came back.
		withheld bool

		configurationWatch watchState
		targetWatch        watchState
		evacuationWatch    watchState
	}

	// watchState is the state of the list and watch calls of one kind.
	watchState struct {
		kind string
		// wait is the wait of a watch call.
		wait time.Duration
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
		// era is the latest era that the store stated; eraLogged is set once an answer
		// without one was logged.
		era       uint64
		eraLogged bool
	}

	entry struct {
		raw    []byte
		target *state.Target
		// revision is that of the entry's last change, or one as of which it is known.
		revision state.Revision
	}

	// Delta holds the changes of targets after revision After up to Revision.
	Delta struct {
		After    state.Revision
		Revision state.Revision
		// Items are in the order in which the changes happened.
		Items []TargetChange
		// ListRevision is the revision of the list that all targets are based on, see
		// state.Targets. It is zero if the other router does not tell, as in earlier versions.
		ListRevision state.Revision
		// Parts are set if all targets are known as of later revisions, which differ by their
		// names; see platform.Page.
		Parts []platform.ListPart
	}

	// TargetChange is the entry of a changed target or the name of a deleted one.
	TargetChange struct {
		// Entry is the entry as the store returned it; unused when Deleted is set.
		Entry   []byte
		Deleted string
		// KeptFor is the time for which the entry is kept although the store does not list it;
		// zero if it does.
		KeptFor time.Duration
	}

	// Snapshot holds what another router needs to catch up with this one.
	Snapshot struct {
		// Configuration is the spec as the store returned it; nil when the other
		// router has this version or a newer one.
		Configuration []byte
		Targets       Delta
		// Full is set when Targets holds all targets instead of changes.
		Full bool
		// Departures holds incarnations that have left, the announced ones first and then the
		// latest.
		Departures []Departure
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
		entries: make(map[string]entry), expiring: make(map[string]time.Time), departures: make(departures),
		announcementsLeft: make(map[uint64]int),
		watchWait:         defaultWatchWait, maxRetention: scale(retentionFraction, defaultDrainTime),
		lapseTime: recoveryGrace + heartbeatsToLapse*defaultHeartbeat,
	}
	for _, opt := range opts {
		opt(w)
	}
	w.configurationWatch.kind, w.configurationWatch.refresh = platform.KindConfigurations, make(chan struct{}, 1)
	w.targetWatch.kind, w.targetWatch.refresh = platform.KindTargets, make(chan struct{}, 1)
	w.evacuationWatch.kind = platform.KindEvacuations
	w.configurationWatch.wait, w.targetWatch.wait, w.evacuationWatch.wait = w.watchWait, w.watchWait, w.evacuationWait
	w.view.Store(&state.View{Targets: state.NewTargets(nil)})
	return w
}

// WatchWait returns the wait of this router's watch calls.
func (w *Watcher) WatchWait() time.Duration { return w.watchWait }

// View returns the latest view. The caller must not modify it.
func (w *Watcher) View() *state.View { return w.view.Load() }

// Run lists and watches the store until ctx is done. While shouldWatch returns
// false, the router only polls and relies on other routers for changes.
func (w *Watcher) Run(ctx context.Context, shouldWatch func() bool) {
	var group sync.WaitGroup
	group.Go(func() { w.listAndWatch(ctx, &w.configurationWatch, shouldWatch, w.handleConfigurations) })
	group.Go(func() { w.listAndWatch(ctx, &w.targetWatch, shouldWatch, w.handleTargets) })
	group.Go(func() { w.watchEvacuations(ctx, shouldWatch) })
	group.Go(func() { w.sweep(ctx) })
	group.Wait()
}

// Refresh requests an immediate poll of the store, for changes that another router has seen
// but could not send. It does not block.
func (w *Watcher) Refresh(configurations, targets bool) {
	for s, isBehind := range map[*watchState]bool{&w.configurationWatch: configurations, &w.targetWatch: targets} {
		if !isBehind {
			continue
		}
		select {
		case s.refresh <- struct{}{}:
		default:
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
	if w.evacuationWait > 0 {
		evacuations, err := w.store.List(ctx, platform.KindEvacuations)
		if err != nil {
			return err
		}
		w.recordEra(&w.evacuationWatch, &evacuations)
		w.listEvacuations(evacuations, false)
	}
	w.recordEra(&w.configurationWatch, &configurations)
	w.recordEra(&w.targetWatch, &targets)
	w.handleConfigurations(configurations, true)
	w.handleTargets(targets, true)
	return nil
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
