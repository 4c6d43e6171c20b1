package storewatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

// askEvacuationsPart is the part of the wait of a watch, 1/askEvacuationsPart, for which a router
// without a set of evacuated failure domains waits for other routers before it asks the store.
// The same again is added at random, so that the routers of a fleet do not all ask.
const askEvacuationsPart = 4

// evacuationReader reads the kind of the evacuations from the store. A watch that ends without
// events tells nothing: either another kind has changed, or the watch has lost events. A cached
// list, which costs a tenth of a call, tells if it is not older than that watch; otherwise a list
// does. That is once in each wait of a watch at most, unlike in listAndWatch, because few changes
// of the store are of this kind.
type evacuationReader struct {
	position
	// needed is the revision of the last watch without events; a cached list from before is not
	// sufficient.
	needed state.Revision
	// askAt is when a router that does not watch asks the store if it has no set by then.
	askAt time.Time
}

// watchEvacuations keeps the set of evacuated failure domains up to date until ctx is done. It
// makes no call if no evacuations are to be expected. While shouldWatch returns false, this router
// relies on the others, and only asks the store for a first set that no other has sent.
func (w *Watcher) watchEvacuations(ctx context.Context, shouldWatch func() bool) {
	if w.evacuationWait == 0 {
		return
	}
	p := evacuationReader{position: position{
		listDue: listCached, backoff: objects.Backoff{Base: retryBaseDelay, Max: max(retryBaseDelay, w.evacuationWait/2)},
	}}
	p.askLater(w.evacuationWait / askEvacuationsPart)
	for first := true; ctx.Err() == nil; first = false {
		if !first && !w.awaitEvacuationCall(ctx, &p, shouldWatch) {
			return
		}
		c := p.nextCall()
		watchEnd := time.Now()
		if c == watch {
			watchEnd = watchEnd.Add(w.evacuationWait)
		}
		page, isList, err := w.read(ctx, &w.evacuationWatch, p.revision, c)
		if err != nil {
			_ = objects.Sleep(ctx, w.handleFailure(&w.evacuationWatch, &p.position, err))
			if c == listCached {
				p.listDue = list // The store may refuse cached lists alone.
			}
			continue
		}
		w.recordSuccess(&w.evacuationWatch)
		w.recordEra(&w.evacuationWatch, &page)
		w.logUneven(w.evacuationWatch.kind, &page, c == listCached)
		p.failures = 0
		if isList {
			_ = objects.Sleep(ctx, w.handleEvacuationList(&p, page, c))
		} else {
			_ = objects.Sleep(ctx, w.handleEvacuationChanges(&p, page, watchEnd))
		}
		p.isWatching = shouldWatch()
	}
}

// awaitEvacuationCall waits until the next call is due, and sets listDue if it is a list. It
// returns false when ctx is done.
func (w *Watcher) awaitEvacuationCall(ctx context.Context, p *evacuationReader, shouldWatch func() bool) bool {
	if shouldWatch() {
		if !p.isWatching && p.listDue == none {
			p.listDue = list // Others may have sent later sets than this router has read.
		}
		return ctx.Err() == nil
	}
	p.isWatching = false
	for !shouldWatch() {
		if _, ok := w.Evacuations(); !ok && time.Now().After(p.askAt) {
			break
		}
		if objects.Sleep(ctx, roleCheckInterval) != nil {
			return false
		}
	}
	p.askLater(w.evacuationWait)
	p.listDue = list
	return true
}

// askLater sets the time at which a router without a set asks the store.
func (p *evacuationReader) askLater(delay time.Duration) {
	p.askAt = time.Now().Add(delay + rand.N(delay))
}

// nextCall returns the call to make now.
func (p *evacuationReader) nextCall() call {
	switch {
	case p.listDue != none:
		return p.listDue
	case p.failures > 0:
		return poll
	}
	return watch
}

// handleEvacuationChanges applies the result of a watch that should have lasted until end unless
// there were changes, and returns the pause before the next call.
func (w *Watcher) handleEvacuationChanges(p *evacuationReader, page platform.Page, end time.Time) time.Duration {
	switch {
	case page.Revision.Era < p.revision.Era:
		// An answer from before the store came back, which arrives late.
		p.staleAnswers++
		return p.backoff.Delay(p.staleAnswers)
	case page.Revision.Era > p.revision.Era:
		// The revision that was watched from is not one of this era.
		p.listDue = list
		return 0
	case len(page.Objects) > 0:
		w.changeEvacuations(page)
		if p.revision.Before(page.Revision) {
			p.revision = page.Revision
		}
		p.staleAnswers = 0
		return changePause
	}
	p.staleAnswers = 0
	if p.revision.Before(page.Revision) {
		p.needed, p.listDue = page.Revision, listCached
		if page.Revision.Era > state.FirstEra {
			p.listDue = list
		}
	}
	// A store that answers watches early must not be called more often.
	return max(0, time.Until(end))
}

// handleEvacuationList applies a list, and returns the pause before the next call.
func (w *Watcher) handleEvacuationList(p *evacuationReader, page platform.Page, c call) time.Duration {
	// A cached list may be older than the era that it states, and a set has one revision only.
	provisional := c == listCached && (page.Revision.Era > state.FirstEra || page.IsUneven())
	if provisional || (c == listCached && page.Revision.Before(p.needed)) {
		w.listEvacuations(page, provisional)
		p.listDue = list
		return 0
	}
	if !w.listEvacuations(page, false) && c == list {
		metrics.GetOrCreateCounter(`hickoryrock_stale_lists_total`).Inc()
		p.staleAnswers++
		return p.backoff.Delay(p.staleAnswers)
	}
	p.revision, p.listDue, p.staleAnswers = page.Revision, none, 0
	return 0
}
