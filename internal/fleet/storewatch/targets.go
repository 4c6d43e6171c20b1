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
func (f *Watcher) handleTargets(page platform.Page, full bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if full && page.Revision < f.revision {
		return false
	}
	after := f.revision
	if !f.apply(page, full, f.targetWatch.recoveredAt.Add(recoveryGrace)) || full {
		return true
	}
	change := Delta{After: after, Revision: f.revision}
	for _, o := range page.Objects {
		if o.Deleted {
			change.Items = append(change.Items, TargetChange{Deleted: o.Name})
			continue
		}
		change.Items = append(change.Items, TargetChange{Entry: o.Raw})
	}
	f.recordChange(change)
	f.onChange(&change)
	return true
}

// ApplyTargets applies a change of targets from another router unless it is older
// than the known revision; full is set when the change holds all targets. The log
// names its origin, from. It returns false when changes between the known
// revision and c.After are missing.
func (f *Watcher) ApplyTargets(c Delta, full bool, from string) bool {
	page := platform.Page{Revision: c.Revision}
	for _, item := range c.Items {
		o := platform.Object{Name: item.Deleted, Deleted: true}
		if item.Deleted == "" {
			o = platform.DecodeRaw(item.Entry)
		}
		page.Objects = append(page.Objects, o)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Revision < f.revision || (c.Revision == f.revision && !full) {
		return true
	}
	if !full && c.After > f.revision {
		return false
	}
	f.apply(page, full, time.Time{})
	if !full {
		f.recordChange(c)
	}
	f.log.Info().Uint64("targets-revision", c.Revision).Bool("all", full).Str("from", from).
		Msg("targets received from another router")
	f.onChange(nil)
	return true
}

// recordChange keeps a change for Snapshot. f.mu must be held.
func (f *Watcher) recordChange(c Delta) {
	f.recentChanges = append(f.recentChanges, c)
	if len(f.recentChanges) > maxRecentChanges {
		f.recentAfter = f.recentChanges[0].Revision
		f.recentChanges = f.recentChanges[1:]
	}
}

// AdvanceRevision advances the known revision when another router has the same targets, by
// their digest, as of a later revision.
func (f *Watcher) AdvanceRevision(revision, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.revision && digest == f.View().Targets.Digest {
		f.revision = revision
		f.publishTargets()
	}
}

// apply applies a page to the entries and publishes the result; full is set for a
// list of all targets. Missing entries are kept for a time if graceEnd is in
// the future. It reports whether the page holds any objects. f.mu must be held.
func (f *Watcher) apply(page platform.Page, full bool, graceEnd time.Time) bool {
	listed := make(map[string]bool, len(page.Objects))
	changed := false
	for _, o := range page.Objects {
		if o.Deleted {
			changed = f.remove(o.Name, graceEnd) || changed
			continue
		}
		listed[o.Name] = true
		target, err := platform.DecodeTarget(o)
		if err != nil {
			f.log.Info().Err(err).Msg("target entry skipped")
			target = nil
		}
		delete(f.expiring, o.Name)
		changed = changed || !bytes.Equal(f.entries[o.Name].raw, o.Raw)
		f.entries[o.Name] = entry{raw: o.Raw, target: target}
	}
	if full {
		for name := range f.entries {
			if !listed[name] {
				changed = f.remove(name, graceEnd) || changed
			}
		}
	}
	f.revision = max(f.revision, page.Revision)
	if full && changed {
		f.recentChanges, f.recentAfter, f.listRevision = nil, f.revision, f.revision
	}
	if changed || f.View().Targets.Revision != f.revision {
		f.publishTargets()
	}
	return len(page.Objects) > 0
}

// remove deletes an entry, or keeps it for a time if graceEnd is in the future.
// It reports whether the entry was deleted. f.mu must be held.
func (f *Watcher) remove(name string, graceEnd time.Time) bool {
	if _, ok := f.entries[name]; !ok {
		return false
	}
	if now := time.Now(); now.Before(graceEnd) {
		if _, ok := f.expiring[name]; !ok {
			f.expiring[name] = minTime(graceEnd, now.Add(f.maxRetention))
		}
		return false
	}
	delete(f.expiring, name)
	delete(f.entries, name)
	f.log.Info().Str("target", name).Msg("target gone")
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
func (f *Watcher) sweep(ctx context.Context) {
	for objects.Sleep(ctx, sweepInterval) == nil {
		f.mu.Lock()
		now := time.Now()
		changed := false
		for name, until := range f.expiring {
			if now.After(until) {
				changed = f.remove(name, time.Time{}) || changed
			}
		}
		if changed {
			f.publishTargets()
		}
		f.mu.Unlock()
	}
}

// publishTargets publishes a view with the current entries. f.mu must be held.
func (f *Watcher) publishTargets() {
	targets := make([]*state.Target, 0, len(f.entries))
	var digest uint64
	for _, e := range f.entries {
		digest ^= xxhash.Sum64(e.raw)
		if e.target != nil {
			t := *e.target
			targets = append(targets, &t)
		}
	}
	published := state.NewTargets(targets)
	published.Revision, published.Digest, published.ListRevision = f.revision, digest, f.listRevision
	f.view.Store(&state.View{Configuration: f.View().Configuration, Targets: published})
}

// Snapshot returns what a router needs to catch up that has a configuration
// version and the targets as of a revision: the changes since then, or all
// targets if those are no longer kept.
func (f *Watcher) Snapshot(configurationVersion int64, targetsRevision uint64) Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	var s Snapshot
	if c := f.View().Configuration; c != nil && c.Version > configurationVersion {
		s.Configuration = f.configuration
	}
	s.Targets = Delta{After: targetsRevision, Revision: f.revision}
	if targetsRevision >= f.revision {
		return s
	}
	if targetsRevision >= f.recentAfter && targetsRevision > 0 {
		for _, c := range f.recentChanges {
			if c.Revision > targetsRevision {
				s.Targets.Items = append(s.Targets.Items, c.Items...)
			}
		}
		return s
	}
	s.Full = true
	for _, e := range f.entries {
		s.Targets.Items = append(s.Targets.Items, TargetChange{Entry: e.raw})
	}
	return s
}
