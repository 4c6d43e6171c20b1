package replica

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

const (
	// platformTimeout limits one call to the platform.
	platformTimeout = 5 * time.Second
	// minBackoff and maxBackoff are the shortest and the longest delay after a failed
	// call to the platform, before jitter.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second
	// watchIdleTimeout ends a watch that receives neither events nor bookmarks.
	watchIdleTimeout = 15 * time.Second
)

// errWatchNotNeeded ends a watch when the router no longer has to watch the platform.
var errWatchNotNeeded = errors.New("watch no longer needed")

// watchPosition is how far a router has read the platform's configuration.
type watchPosition struct {
	incarnation uint64
	listed      bool
	// lastSeen is the highest version that the watch has reported, of any object. The
	// watch resumes from it; 0 means that a new list is required.
	lastSeen uint64
	// lastApplied is the version of the last list or change that was applied.
	lastApplied uint64
}

// followPlatform registers the router, lists the configuration once, and watches it
// while the router is a relay or receives no responses from relays.
func (r *Replica) followPlatform(ctx context.Context) {
	var pos watchPosition
	failures := 0
	for ctx.Err() == nil {
		err := r.followStep(ctx, &pos)
		if err == nil {
			failures = 0
			_ = objects.Sleep(ctx, tickInterval)
			continue
		}
		failures++
		metrics.GetOrCreateCounter(`hickoryrock_configuration_platform_failures_total`).Inc()
		r.log.Warn().Err(err).Int("failures", failures).Msg("syncing the configuration from the platform failed")
		_ = objects.Sleep(ctx, backoff(failures))
	}
}

// followStep does the next due step: register, list or watch.
func (r *Replica) followStep(ctx context.Context, pos *watchPosition) error {
	r.mu.Lock()
	incarnation, registered := r.state.incarnation, r.state.registrationVersion
	shouldWatch, stopped := r.state.ShouldWatch(time.Now()), r.state.stopped
	r.mu.Unlock()
	if stopped {
		return nil
	}
	if pos.incarnation != incarnation {
		*pos = watchPosition{incarnation: incarnation}
	}
	switch {
	case registered == 0:
		return r.register(ctx, incarnation)
	case !pos.listed:
		return r.listAll(ctx, pos)
	case shouldWatch:
		return r.watch(ctx, pos)
	}
	// Without a watch, the position becomes too old to resume from, so the next watch
	// starts with a new list.
	pos.lastSeen = 0
	return nil
}

// register writes the router's registration. It reads the registration first, so a
// retry after a lost response finds the one already written.
func (r *Replica) register(ctx context.Context, incarnation uint64) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	self := r.state.self
	key := registrationKey(self.Name)
	data, err := json.Marshal(status.Registration{Incarnation: incarnation, FailureDomain: self.FailureDomain})
	if err != nil {
		return eris.Wrap(err, "encode registration")
	}
	current, err := r.store.Get(ctx, key)
	var stored status.Registration
	switch {
	case errors.Is(err, objects.ErrNotFound):
		current, err = r.store.Create(ctx, key, data)
	case err != nil:
	case json.Unmarshal(current.Data, &stored) == nil && stored.Incarnation == incarnation:
	case stored.Incarnation > incarnation:
		// The VM's clock has gone back since its last start. Use a higher incarnation
		// than the stored one.
		r.mu.Lock()
		defer r.mu.Unlock()
		r.state.incarnation = stored.Incarnation + 1
		return nil
	default:
		current, err = r.store.Update(ctx, key, current.Version, data)
	}
	if err != nil {
		return eris.Wrap(err, "write registration")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SetRegistrationVersion(current.Version)
	return nil
}

// listAll lists and applies the whole configuration. Each kind is listed separately,
// so the configuration is complete only up to the lowest version of the lists.
func (r *Replica) listAll(ctx context.Context, pos *watchPosition) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	var all []objects.Object
	var version uint64
	for i, kind := range Kinds() {
		l, err := r.store.List(ctx, kind)
		if err != nil {
			return eris.Wrapf(err, "list %s", kind)
		}
		all = append(all, l.Objects...)
		if i == 0 || l.Version < version {
			version = l.Version
		}
	}
	r.withLock(func(now time.Time) []Request {
		r.applyChanges(r.state.HandleList(now, all, version))
		return nil
	})
	pos.listed, pos.lastSeen, pos.lastApplied = true, version, version
	r.wakeExchange()
	return nil
}

// watch applies changes until the watch ends or is no longer needed. If the position
// cannot be resumed, it lists the configuration instead.
func (r *Replica) watch(ctx context.Context, pos *watchPosition) error {
	if pos.lastSeen == 0 {
		return r.listAll(ctx, pos)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(watchIdleTimeout, cancel)
	defer idleTimer.Stop()
	err := r.store.Watch(ctx, Kinds(), pos.lastSeen, func(e objects.Event) error {
		idleTimer.Reset(watchIdleTimeout)
		return r.handleWatchEvent(pos, e)
	})
	switch {
	case errors.Is(err, errWatchNotNeeded) || errors.Is(err, context.Canceled) || err == nil:
		return nil
	case errors.Is(err, objects.ErrTooOld):
		pos.lastSeen = 0
		return nil
	}
	return eris.Wrap(err, "watch configuration")
}

// handleWatchEvent applies one event of the watch.
func (r *Replica) handleWatchEvent(pos *watchPosition, e objects.Event) error {
	defer r.wakeExchange()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.applyChanges(r.state.HandleWatchEvent(now, pos.lastApplied, e))
	pos.lastSeen = max(pos.lastSeen, e.Object.Version)
	if !e.Bookmark {
		pos.lastApplied = e.Object.Version
	}
	if !r.state.ShouldWatch(now) || r.state.incarnation != pos.incarnation {
		return errWatchNotNeeded
	}
	return nil
}

// backoff returns a delay that doubles with each failure up to a limit, with jitter
// so that routers do not all retry at the same time.
func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures, 10), maxBackoff)
	return d/2 + rand.N(d/2)
}
