package storewatch

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

const (
	// none means that the next call depends on whether this router has to watch.
	none call = iota
	// listCached returns a list that may be seconds old. It is sufficient at the start: later
	// changes arrive with the first watch, or from routers that have them.
	listCached
	list
	// watch waits for the first change after a revision, poll does not wait.
	watch
	poll
	// resume brings a router up to date that has not watched until now. It does not ask for all
	// configurations since its last call: in a series of changes they may be too large to send
	// in time.
	resume
)

type (
	// call is how a kind is read from the store.
	call uint8

	// position is how far a router has read the history of a kind.
	position struct {
		revision state.Revision
		// listDue is the list to make next, until it succeeds, or none.
		listDue call
		// isWatching is set while the last call has brought this router up to date and it still
		// has to watch.
		isWatching bool
		// failures counts failed calls in a row, staleAnswers answers that were too old.
		failures, staleAnswers int
		backoff                objects.Backoff
	}
)

// listAndWatch lists a kind and then watches it until ctx is done. It passes each
// page to apply, with full set for a list; apply returns false for a stale list.
func (w *Watcher) listAndWatch(
	ctx context.Context, s *watchState, shouldWatch func() bool, apply func(page platform.Page, full bool) bool,
) {
	p := position{listDue: listCached, backoff: objects.Backoff{Base: retryBaseDelay, Max: retryMaxDelay}}
	for ctx.Err() == nil {
		c := p.listDue
		if c == none {
			if c = p.awaitNextCall(ctx, s.refresh, shouldWatch); c == resume {
				p.revision = w.resumeAfter(s, p.revision)
			}
		}
		page, isList, err := w.read(ctx, s, p.revision, c)
		if err != nil {
			_ = objects.Sleep(ctx, w.handleFailure(s, &p, err))
			continue
		}
		w.recordSuccess(s)
		w.recordEra(s, &page)
		w.logUneven(s.kind, &page, c == listCached)
		if c == listCached && page.Revision.Era > state.FirstEra {
			page.Revision.Era = 0 // The list may be older than the era that it states.
		}
		_ = objects.Sleep(ctx, p.handlePage(page, isList, apply))
		if p.listDue == none {
			p.isWatching = shouldWatch()
		}
	}
}

// awaitNextCall waits until the next call to the store is due, for a router that does not watch
// until refresh requests one, and returns it.
func (p *position) awaitNextCall(ctx context.Context, refresh <-chan struct{}, shouldWatch func() bool) call {
	if shouldWatch() {
		switch {
		case !p.isWatching:
			return resume
		case p.failures > 0:
			return poll
		}
		return watch
	}
	p.isWatching = false
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	pollAt := time.Now().Add(idlePollInterval)
	for !shouldWatch() {
		select {
		case <-ctx.Done():
			return resume
		case <-refresh:
			return resume
		case now := <-ticker.C:
			if now.After(pollAt) {
				return resume
			}
		}
	}
	return resume
}

// read makes a call for a kind. It reports whether the page is a list.
func (w *Watcher) read(ctx context.Context, s *watchState, after state.Revision, c call) (page platform.Page, isList bool, err error) {
	switch {
	case c == listCached:
		page, err = w.store.ListCached(ctx, s.kind)
		return page, true, err
	case c == list, c == resume && s == &w.configurationWatch:
		page, err = w.store.List(ctx, s.kind)
		return page, true, err
	case c == watch:
		page, err = w.store.Watch(ctx, s.kind, after.Number, s.wait)
	default:
		page, err = w.store.Watch(ctx, s.kind, after.Number, 0)
	}
	return page, false, err
}

// resumeAfter returns the revision after which a router that has not watched a kind lacks its
// changes: others may have sent it later ones than it has read.
func (w *Watcher) resumeAfter(s *watchState, read state.Revision) state.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == &w.targetWatch && w.revision.Era == read.Era && read.Before(w.revision) {
		return w.revision
	}
	return read
}

// handleFailure records a failed call and returns the pause before the next one.
func (w *Watcher) handleFailure(s *watchState, p *position, err error) time.Duration {
	if errors.Is(err, objects.ErrTooOld) {
		w.log.Info().Str("kind", s.kind).Stringer("revision", p.revision).
			Msg("watch revision not in the store's history, listing again")
		p.listDue = list
		return 0
	}
	if errors.Is(err, platform.ErrUnreadable) && p.listDue == none {
		// The same watch would return the same again; a list need not hold the objects that
		// cannot be read.
		p.listDue = list
	}
	w.recordFailure(s, err)
	p.failures++
	return p.backoff.Delay(p.failures)
}

// handlePage passes a page to apply, unless it is an answer to a call that must be repeated, and
// returns the pause before the next call.
func (p *position) handlePage(page platform.Page, isList bool, apply func(page platform.Page, full bool) bool) time.Duration {
	p.failures = 0
	switch {
	case !isList && page.Revision.Era < p.revision.Era:
		// An answer from before the store came back, which arrives late.
		p.staleAnswers++
		return p.backoff.Delay(p.staleAnswers)
	case !isList && page.Revision.Era > p.revision.Era:
		// The revision that was watched from is not one of this era.
		p.listDue = list
		return 0
	case !apply(page, isList) && p.listDue != listCached:
		metrics.GetOrCreateCounter(`hickoryrock_stale_lists_total`).Inc()
		p.listDue = list
		p.staleAnswers++
		return p.backoff.Delay(p.staleAnswers)
	case !isList && len(page.Objects) == 0 && p.revision.Before(page.Revision):
		// The revision has advanced without events: either another kind has
		// changed or the watch has lost events. Only a list can tell.
		p.listDue = list
		return 0
	}
	if isList || p.revision.Before(page.Revision) {
		p.revision = page.Revision
	}
	p.listDue, p.staleAnswers = none, 0
	if !isList && len(page.Objects) > 0 {
		return changePause
	}
	return 0
}
