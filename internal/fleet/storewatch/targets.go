package storewatch

import (
	"bytes"
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

// handleTargets applies a page of targets and returns false if it is a list that
// is older than the known revision. The changes of an older watch are known already.
func (w *Watcher) handleTargets(page platform.Page, full bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if page.Revision.Before(w.revision) {
		w.logOutdated(originStore, page.Revision, len(page.Objects))
		return !full
	}
	after := w.revision
	w.enterEra(page.Revision, originStore)
	changes := w.decodeEntries(&page)
	w.apply(changes, &page, full, w.keepUntil(full), originStore)
	if full || len(changes) == 0 {
		return true
	}
	delta := newDelta(after, w.revision, changes)
	w.recordDelta(delta)
	w.onChange(&delta)
	return true
}

// ApplyTargets applies a delta of targets from another router unless it is older
// than the known revision; full is set when the delta holds all targets, which replace
// those of the same revision if they are based on a later list. The log names its
// origin, from. It returns false when changes between the known revision and d.After
// are missing.
func (w *Watcher) ApplyTargets(d Delta, full bool, from string) bool {
	page := platform.Page{Revision: d.Revision, Objects: make([]platform.Object, 0, len(d.Items))}
	kept := make(map[string]time.Duration)
	for _, item := range d.Items {
		o := platform.Object{Name: item.Deleted, Deleted: true}
		if item.Deleted == "" {
			o = platform.DecodeRaw(item.Entry)
		}
		if item.KeptFor > 0 {
			kept[o.Name] = min(item.KeptFor, recoveryGrace)
		}
		page.Objects = append(page.Objects, o)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	isNewerList := full && (d.ListRevision == state.Revision{} || w.listRevision.Before(d.ListRevision))
	if d.Revision.Before(w.revision) || (d.Revision == w.revision && !isNewerList) {
		return true
	}
	if !full && (d.After.Era != w.revision.Era || w.revision.Before(d.After)) {
		return false
	}
	w.enterEra(d.Revision, from)
	var keepUntil time.Time
	if full {
		keepUntil, page.Parts = w.rewriteEnd(), d.Parts
	}
	changes := w.decodeEntries(&page)
	for i := range changes {
		changes[i].keptFor = kept[changes[i].name]
	}
	w.apply(changes, &page, full, keepUntil, originRouter)
	if !full {
		w.recordDelta(newDelta(d.After, d.Revision, changes))
	}
	w.log.Info().Uint64("store-era", d.Revision.Era).Uint64("targets-revision", d.Revision.Number).Bool("all", full).
		Str("from", from).Int("kept", len(kept)).Msg("targets received from another router")
	return true
}

// ApplyDepartures adds incarnations of targets that another router knows to have left.
func (w *Watcher) ApplyDepartures(list []Departure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range list {
		if d.Announced {
			w.recordAnnouncement(d, originRouter)
		}
		w.departures.record(d)
	}
	w.hasDepartures = true
	if len(list) > 0 {
		w.publishTargets()
	}
}

// LacksDepartures reports whether this router may use targets that have left: it has started
// after the store came back from an earlier state, and no other router has told which of the
// listed targets left before.
func (w *Watcher) LacksDepartures() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision.Era > state.FirstEra && !w.hasDepartures && time.Since(w.eraSince) < w.lapseTime
}

// enterEra prepares for a revision of a later era: the store has come back from an earlier
// state, so that lower revisions are later ones. w.mu must be held.
func (w *Watcher) enterEra(r state.Revision, from string) {
	known := w.revision
	if r.Era <= known.Era {
		return
	}
	w.revision, w.listRevision, w.newerLists = r, r, nil
	w.dropDeltas(r)
	w.eraSince, w.eraBase = time.Now(), r.Number
	if known.Era == 0 {
		return // This is the first answer of the store with an era.
	}
	w.hasDepartures = true
	w.targetWatch.recoveredAt = w.eraSince
	clear(w.expiring) // Targets have the time again to write their entries.
	metrics.GetOrCreateCounter(`hickoryrock_store_returns_total`).Inc()
	w.log.Warn().Stringer("revision", r).Stringer("known-revision", known).Str("from", from).
		Int("departures", len(w.departures)).Dur("store-age-ms", w.StoreAge()).
		Msg("store came back from an earlier state")
}

// rewriteEnd returns the end of the time in which targets write the entries again that the
// store lost when it came back, or zero. w.mu must be held.
func (w *Watcher) rewriteEnd() time.Time {
	if !w.targetWatch.recoveredAt.Equal(w.eraSince) {
		return time.Time{}
	}
	return w.eraSince.Add(recoveryGrace)
}

// keepUntil returns the time until which entries that are missing are kept: targets write
// them again after an outage of the store or its return from an earlier state. w.mu must be
// held.
func (w *Watcher) keepUntil(full bool) time.Time {
	if end := w.rewriteEnd(); full && !end.IsZero() {
		// The store has lost these entries; a removal would show that the target may be gone.
		return end
	}
	return minTime(w.targetWatch.recoveredAt.Add(recoveryGrace), time.Now().Add(w.maxRetention))
}

// AdvanceRevision advances the known revision when another router has the same
// targets, by their digest, as of a later revision of the same era. A later era takes a
// snapshot, which tells which of the targets the store has lost.
func (w *Watcher) AdvanceRevision(revision state.Revision, digest uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.revision.Before(revision) || digest != w.View().Targets.Digest || w.revision.NeedsSnapshot(revision) {
		return
	}
	w.enterEra(revision, "")
	w.revision = revision
	w.publishTargets()
}

// apply applies the changes of a page, unless they are older than what is known, and publishes the
// result; full is set for a list of all targets. Missing entries are kept until keepUntil. w.mu must
// be held.
func (w *Watcher) apply(changes []entryChange, page *platform.Page, full bool, keepUntil time.Time, from string) {
	listed := make(map[string]bool, len(changes))
	now := time.Now()
	changed, outdated := false, 0
	for _, c := range changes {
		if w.isOutdated(c) {
			listed[c.name] = true
			outdated++
			continue
		}
		if c.deleted {
			changed = w.remove(c.name, keepUntil) || changed
			continue
		}
		old := w.entries[c.name]
		if c.target != nil && old.target != nil && w.supersedes(old.target, c.target) {
			continue
		}
		listed[c.name] = true
		w.recordState(old.target, c.target, !full || c.revision > w.eraBase)
		delete(w.expiring, c.name)
		if c.keptFor > 0 {
			w.expiring[c.name] = now.Add(c.keptFor)
		}
		changed = changed || !bytes.Equal(old.raw, c.raw)
		c.setReceivedAt(old, now)
		w.entries[c.name] = entry{raw: c.raw, target: c.target, revision: c.changedAt()}
	}
	if full {
		isRemoved, newer := w.removeMissing(listed, page, keepUntil)
		changed, outdated = changed || isRemoved, outdated+newer
	}
	w.logOutdated(from, page.Revision, outdated)
	if w.revision.Before(page.Revision) {
		w.revision = page.Revision
	}
	w.recordParts(page)
	if full && changed {
		w.dropDeltas(w.revision)
		w.listRevision = w.revision
	}
	if changed || w.View().Targets.Revision != w.revision {
		w.publishTargets()
	}
}

// removeMissing removes the entries that a list does not hold, or keeps them until keepUntil. It
// returns whether any was deleted, and the number of those that are newer than the list. w.mu must
// be held.
func (w *Watcher) removeMissing(listed map[string]bool, list *platform.Page, keepUntil time.Time) (isRemoved bool, newer int) {
	for name := range w.entries {
		switch {
		case listed[name]:
		case w.isOutdated(missing(name, list)):
			newer++
		default:
			isRemoved = w.remove(name, keepUntil) || isRemoved
		}
	}
	return isRemoved, newer
}

// setReceivedAt sets the time at which the changed entry of a target was received, which is that of
// the old entry if it says the same.
func (c entryChange) setReceivedAt(old entry, now time.Time) {
	switch {
	case c.target == nil:
	case old.target != nil && bytes.Equal(old.raw, c.raw):
		c.target.ReceivedAt = old.target.ReceivedAt
	default:
		c.target.ReceivedAt = now
	}
}

// supersedes reports whether a known incarnation is later than the one that the store lists
// under its name: the listed one left before the store came back. w.mu must be held.
func (w *Watcher) supersedes(known, listed *state.Target) bool {
	_, hasLeft := w.departures[known.Incarnation()]
	return known.Incarnation() != listed.Incarnation() && w.hasDeparted(listed) && !hasLeft
}

// recordState records what an entry says about the incarnations of a target; isWrite is set
// if it was written in the current era. w.mu must be held.
func (w *Watcher) recordState(old, target *state.Target, isWrite bool) {
	now := time.Now()
	if old != nil && (target == nil || (target.Incarnation() != old.Incarnation() && !w.hasDeparted(target))) {
		w.departures.record(Departure{Target: old.Incarnation(), Era: w.revision.Era, At: now})
	}
	switch {
	case target == nil:
	case target.Draining:
		w.departures.record(Departure{Target: target.Incarnation(), Drained: true, Era: w.revision.Era, At: now})
	default:
		w.departures.retract(target.Incarnation(), w.revision.Era, isWrite)
	}
}

// hasDeparted reports whether a target has left before the store came back, although it is
// listed. w.mu must be held.
func (w *Watcher) hasDeparted(t *state.Target) bool {
	hasLapsed := time.Since(w.eraSince) > w.lapseTime
	return w.departures.appliesTo(t.Incarnation(), w.revision.Era, hasLapsed)
}

// remove deletes an entry, or keeps it if keepUntil is in the future. It reports whether
// the entry was deleted. w.mu must be held.
func (w *Watcher) remove(name string, keepUntil time.Time) bool {
	e, ok := w.entries[name]
	if !ok {
		delete(w.expiring, name)
		return false
	}
	if time.Now().Before(keepUntil) {
		if _, ok := w.expiring[name]; !ok {
			w.expiring[name] = keepUntil
		}
		return false
	}
	w.recordState(e.target, nil, true)
	delete(w.expiring, name)
	delete(w.entries, name)
	w.log.Info().Str("target", name).Msg("target gone")
	return true
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sweep periodically removes the entries that were missing after an outage and
// whose retention has ended.
func (w *Watcher) sweep(ctx context.Context) {
	for objects.Sleep(ctx, sweepInterval) == nil {
		w.mu.Lock()
		now := time.Now()
		changed := false
		for name, until := range w.expiring {
			if now.After(until) {
				changed = w.remove(name, time.Time{}) || changed
			}
		}
		if changed {
			// No change of the store tells the other routers of the removal: they have to take all
			// targets anew.
			w.dropDeltas(w.revision)
			w.listRevision = w.revision
		}
		w.departures.prune(now, w.isListed)
		if changed || (w.withheld && now.Sub(w.eraSince) > w.lapseTime) {
			w.publishTargets()
		}
		w.mu.Unlock()
	}
}

// publishTargets publishes a view with the current entries. w.mu must be held.
func (w *Watcher) publishTargets() {
	targets := make([]*state.Target, 0, len(w.entries))
	var digest uint64
	w.withheld = false
	evacuations := w.evacuations.Load()
	for _, e := range w.entries {
		digest ^= xxhash.Sum64(e.raw)
		if e.target != nil {
			t := *e.target
			evacuation, isEvacuated := evacuations.find(t.FailureDomain)
			t.Evacuated, t.EvacuatedAt = isEvacuated, evacuation.Since
			t.Leaving = w.departures.isAnnounced(t.Incarnation())
			if !t.Draining && (t.Leaving || w.hasDeparted(&t)) {
				t.Draining = true
				w.withheld = w.withheld || !w.departures[t.Incarnation()].Drained
			}
			targets = append(targets, &t)
		}
	}
	published := state.NewTargets(targets)
	published.Revision, published.Digest, published.ListRevision = w.revision, digest, w.listRevision
	w.view.Store(&state.View{Configuration: w.View().Configuration, Targets: published})
}

// Snapshot returns what a router needs to catch up that has a configuration
// version and the targets as of a revision: the changes since then, or all
// targets if those are no longer kept.
func (w *Watcher) Snapshot(configurationVersion int64, targetsRevision state.Revision) Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	var s Snapshot
	if c := w.View().Configuration; c != nil && c.Version > configurationVersion {
		s.Configuration = w.configuration
	}
	s.Targets = Delta{After: targetsRevision, Revision: w.revision}
	if !targetsRevision.Before(w.revision) {
		return s
	}
	if targetsRevision.Era == w.revision.Era && !targetsRevision.Before(w.recentAfter) && targetsRevision.Number > 0 {
		for _, d := range w.recentDeltas {
			if targetsRevision.Before(d.Revision) {
				s.Targets.Items = append(s.Targets.Items, d.Items...)
			}
		}
		return s
	}
	s.Full, s.Departures = true, w.departures.list()
	s.Targets.ListRevision, s.Targets.Parts = w.listRevision, w.parts()
	now := time.Now()
	for name, e := range w.entries {
		item := TargetChange{Entry: e.raw}
		if until, ok := w.expiring[name]; ok {
			item.KeptFor = max(until.Sub(now), time.Millisecond)
		}
		s.Targets.Items = append(s.Targets.Items, item)
	}
	return s
}

// Departures returns the incarnations of targets that have left, the announced ones first and
// then the latest.
func (w *Watcher) Departures() []Departure {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.departures.list()
}
