package storewatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

// position is how far a router has read the history of a kind.
type position struct {
	revision state.Revision
	// next is the next call. Lists that are due are repeated until they succeed; before any other
	// call, the router waits until it has to make it.
	next      call
	isListDue bool
	// failures counts failed calls in a row, staleAnswers answers that were too old.
	failures, staleAnswers int
	backoff                objects.Backoff
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
		p.next, p.isListDue = list, true
		return 0
	case !apply(page, isList) && p.next != listCached:
		metrics.GetOrCreateCounter(`hickoryrock_stale_lists_total`).Inc()
		p.next, p.isListDue = list, true
		p.staleAnswers++
		return p.backoff.Delay(p.staleAnswers)
	case !isList && len(page.Objects) == 0 && p.revision.Before(page.Revision):
		// The revision has advanced without events: either another kind has
		// changed or the watch has lost events. Only a list can tell.
		p.next, p.isListDue = list, true
		return 0
	}
	if isList || p.revision.Before(page.Revision) {
		p.revision = page.Revision
	}
	p.isListDue, p.staleAnswers = false, 0
	if !isList && len(page.Objects) > 0 {
		return changePause
	}
	return 0
}
