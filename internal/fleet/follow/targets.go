package follow

import (
	"bytes"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

func (f *Follower) applyTargets(page platform.Page, full bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if full && page.Revision < f.revision {
		return false
	}
	after := f.revision
	if !f.take(page, full, f.targets.regained.Add(lapseGrace)) || full {
		return true
	}
	change := Change{After: after, Revision: f.revision}
	for _, o := range page.Objects {
		if o.Deleted {
			change.Items = append(change.Items, Item{Deleted: o.Name})
			continue
		}
		change.Items = append(change.Items, Item{Entry: o.Raw})
	}
	f.remember(change)
	f.viewed(&change)
	return true
}

// TakeTargets takes in what another router has read of targets unless it is
// older; all is set when the change holds all targets. It returns false when
// changes between it and what this router knows are missing.
func (f *Follower) TakeTargets(c Change, all bool, from string) bool {
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
	if c.Revision < f.revision || (c.Revision == f.revision && !all) {
		return true
	}
	if !all && c.After > f.revision {
		return false
	}
	f.take(page, all, time.Time{})
	if !all {
		f.remember(c)
	}
	f.log.Info().Uint64("targets-revision", c.Revision).Bool("all", all).Str("from", from).
		Msg("targets taken from another router")
	f.viewed(nil)
	return true
}

// remember keeps a change for other routers.
func (f *Follower) remember(c Change) {
	f.recent = append(f.recent, c)
	if len(f.recent) > keptChanges {
		f.recentFrom = f.recent[0].Revision
		f.recent = f.recent[1:]
	}
}

// Agree notes that another router knows the same targets as of a later revision.
func (f *Follower) Agree(revision, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.revision && digest == f.View().Targets.Digest {
		f.revision = revision
		f.publishTargets()
	}
}

// take changes the entries; those that went missing stay until the end of the
// grace time. It reports whether anything but the revision has changed.
func (f *Follower) take(page platform.Page, full bool, grace time.Time) bool {
	listed := make(map[string]bool, len(page.Objects))
	dirty := false
	for _, o := range page.Objects {
		if o.Deleted {
			dirty = f.remove(o.Name, grace) || dirty
			continue
		}
		listed[o.Name] = true
		target, err := platform.DecodeTarget(o)
		if err != nil {
			f.log.Info().Err(err).Msg("target entry skipped")
			target = nil
		}
		delete(f.lapsed, o.Name)
		dirty = dirty || !bytes.Equal(f.entries[o.Name].raw, o.Raw)
		f.entries[o.Name] = entry{raw: o.Raw, target: target}
	}
	if full {
		for name := range f.entries {
			if !listed[name] {
				dirty = f.remove(name, grace) || dirty
			}
		}
	}
	f.revision = max(f.revision, page.Revision)
	if full && dirty {
		f.recent, f.recentFrom, f.listed = nil, f.revision, f.revision
	}
	if dirty || f.View().Targets.Revision != f.revision {
		f.publishTargets()
	}
	return len(page.Objects) > 0
}

func (f *Follower) remove(name string, grace time.Time) bool {
	if _, ok := f.entries[name]; !ok {
		return false
	}
	if now := time.Now(); now.Before(grace) {
		if _, ok := f.lapsed[name]; !ok {
			f.lapsed[name] = minTime(grace, now.Add(f.lapseMost))
		}
		return false
	}
	delete(f.lapsed, name)
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

// sweep drops the entries that did not come back after an outage.
func (f *Follower) sweep(ctx context.Context) {
	for objects.Sleep(ctx, sweepEvery) == nil {
		f.mu.Lock()
		now := time.Now()
		dirty := false
		for name, until := range f.lapsed {
			if now.After(until) {
				dirty = f.remove(name, time.Time{}) || dirty
			}
		}
		if dirty {
			f.publishTargets()
		}
		f.mu.Unlock()
	}
}

func (f *Follower) publishTargets() {
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
	published.Revision, published.Digest, published.Listed = f.revision, digest, f.listed
	f.view.Store(&state.View{Configuration: f.View().Configuration, Targets: published})
}

// Snapshot returns what a router may take from this one that knows a
// configuration and the targets as of a revision.
func (f *Follower) Snapshot(configurationVersion int64, targetsRevision uint64) Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	var s Snapshot
	if c := f.View().Configuration; c != nil && c.Version > configurationVersion {
		s.Configuration = f.configuration
	}
	s.Targets = Change{After: targetsRevision, Revision: f.revision}
	if targetsRevision >= f.revision {
		return s
	}
	if targetsRevision >= f.recentFrom && targetsRevision > 0 {
		for _, c := range f.recent {
			if c.Revision > targetsRevision {
				s.Targets.Items = append(s.Targets.Items, c.Items...)
			}
		}
		return s
	}
	s.All = true
	for _, e := range f.entries {
		s.Targets.Items = append(s.Targets.Items, Item{Entry: e.raw})
	}
	return s
}
