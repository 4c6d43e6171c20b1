package storewatch

import (
	"bytes"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

// handleTargets applies a page of targets and returns false if it is a list that
// is older than the known revision.
func (w *Watcher) handleTargets(page platform.Page, full bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if full && page.Revision.Number < w.revision {
		return false
	}
	after := w.revision
	if !w.apply(page, full, w.targetWatch.recoveredAt.Add(recoveryGrace)) || full {
		return true
	}
	delta := Delta{After: after, Revision: w.revision}
	for _, o := range page.Objects {
		if o.Deleted {
			delta.Items = append(delta.Items, TargetChange{Deleted: o.Name})
			continue
		}
		delta.Items = append(delta.Items, TargetChange{Entry: o.Raw})
	}
	w.recordDelta(delta)
	w.onChange(&delta)
	return true
}

// ApplyTargets applies a delta of targets from another router unless it is older
// than the known revision; full is set when the delta holds all targets. The log
// names its origin, from. It returns false when changes between the known
// revision and d.After are missing.
func (w *Watcher) ApplyTargets(d Delta, full bool, from string) bool {
	page := platform.Page{Revision: state.Revision{Number: d.Revision}}
	for _, item := range d.Items {
		o := platform.Object{Name: item.Deleted, Deleted: true}
		if item.Deleted == "" {
			o = platform.DecodeRaw(item.Entry)
		}
		page.Objects = append(page.Objects, o)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.Revision < w.revision || (d.Revision == w.revision && !full) {
		return true
	}
	if !full && d.After > w.revision {
		return false
	}
	w.apply(page, full, time.Time{})
	if !full {
		w.recordDelta(d)
	}
	w.log.Info().Uint64("targets-revision", d.Revision).Bool("all", full).Str("from", from).
		Msg("targets received from another router")
	return true
}

// recordDelta keeps a delta for Snapshot. w.mu must be held.
func (w *Watcher) recordDelta(d Delta) {
	w.recentDeltas = append(w.recentDeltas, d)
	if len(w.recentDeltas) > maxRecentDeltas {
		w.recentAfter = w.recentDeltas[0].Revision
		w.recentDeltas = w.recentDeltas[1:]
	}
}

// AdvanceRevision advances the known revision when another router has the same
// targets, by their digest, as of a later revision.
func (w *Watcher) AdvanceRevision(revision, digest uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision > w.revision && digest == w.View().Targets.Digest {
		w.revision = revision
		w.publishTargets()
	}
}

// apply applies a page to the entries and publishes the result; full is set for a
// list of all targets. Missing entries are kept for a time if graceEnd is in
// the future. It reports whether the page holds any objects. w.mu must be held.
func (w *Watcher) apply(page platform.Page, full bool, graceEnd time.Time) bool {
	listed := make(map[string]bool, len(page.Objects))
	changed := false
	for _, o := range page.Objects {
		if o.Deleted {
			changed = w.remove(o.Name, graceEnd) || changed
			continue
		}
		listed[o.Name] = true
		target, err := platform.DecodeTarget(o)
		if err != nil {
			w.log.Info().Err(err).Msg("target entry skipped")
			target = nil
		}
		delete(w.expiring, o.Name)
		changed = changed || !bytes.Equal(w.entries[o.Name].raw, o.Raw)
		w.entries[o.Name] = entry{raw: o.Raw, target: target}
	}
	if full {
		for name := range w.entries {
			if !listed[name] {
				changed = w.remove(name, graceEnd) || changed
			}
		}
	}
	w.revision = max(w.revision, page.Revision.Number)
	if full && changed {
		w.recentDeltas, w.recentAfter, w.listRevision = nil, w.revision, w.revision
	}
	if changed || w.View().Targets.Revision != w.revision {
		w.publishTargets()
	}
	return len(page.Objects) > 0
}

// remove deletes an entry, or keeps it for a time if graceEnd is in the future.
// It reports whether the entry was deleted. w.mu must be held.
func (w *Watcher) remove(name string, graceEnd time.Time) bool {
	if _, ok := w.entries[name]; !ok {
		return false
	}
	if now := time.Now(); now.Before(graceEnd) {
		if _, ok := w.expiring[name]; !ok {
			w.expiring[name] = minTime(graceEnd, now.Add(w.maxRetention))
		}
		return false
	}
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
			w.publishTargets()
		}
		w.mu.Unlock()
	}
}

// publishTargets publishes a view with the current entries. w.mu must be held.
func (w *Watcher) publishTargets() {
	targets := make([]*state.Target, 0, len(w.entries))
	var digest uint64
	for _, e := range w.entries {
		digest ^= xxhash.Sum64(e.raw)
		if e.target != nil {
			t := *e.target
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
func (w *Watcher) Snapshot(configurationVersion int64, targetsRevision uint64) Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	var s Snapshot
	if c := w.View().Configuration; c != nil && c.Version > configurationVersion {
		s.Configuration = w.configuration
	}
	s.Targets = Delta{After: targetsRevision, Revision: w.revision}
	if targetsRevision >= w.revision {
		return s
	}
	if targetsRevision >= w.recentAfter && targetsRevision > 0 {
		for _, d := range w.recentDeltas {
			if d.Revision > targetsRevision {
				s.Targets.Items = append(s.Targets.Items, d.Items...)
			}
		}
		return s
	}
	s.Full = true
	for _, e := range w.entries {
		s.Targets.Items = append(s.Targets.Items, TargetChange{Entry: e.raw})
	}
	return s
}
