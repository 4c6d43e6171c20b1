package storewatch

import (
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

// entryChange is a changed or deleted entry.
type entryChange struct {
	name    string
	deleted bool
	// asOf is the revision as of which the source knows the entry.
	asOf state.Revision
	// revision is the number of the revision of the entry's last change; zero if it states none.
	revision uint64
	raw      []byte
	// target is nil if the entry describes no usable target.
	target *state.Target
	// keptFor is the time for which the entry is kept although the store does not list it.
	keptFor time.Duration
}

// changedAt returns the revision of the entry's last change, or one as of which it is known.
func (c *entryChange) changedAt() state.Revision {
	if c.revision == 0 {
		return c.asOf
	}
	return state.Revision{Era: c.asOf.Era, Number: c.revision}
}

// decodeEntries decodes the objects of a page. It leaves out those without a readable name:
// routers could not agree on what became of them.
func (w *Watcher) decodeEntries(page *platform.Page) []entryChange {
	changes := make([]entryChange, 0, len(page.Objects))
	for _, o := range page.Objects {
		c := entryChange{name: o.Name, deleted: o.Deleted, asOf: page.RevisionOf(o.Name), raw: o.Raw}
		if !o.Deleted {
			var err error
			if c.target, err = platform.DecodeTarget(o); err != nil {
				w.log.Info().Err(err).Msg("target entry skipped")
				// Nothing else of it is needed, and it may be large.
				c.raw = platform.UnusableTarget(o.Name)
			} else {
				c.revision = o.Revision
			}
		}
		if c.name != "" {
			changes = append(changes, c)
		}
	}
	return changes
}

// recordDelta keeps a delta for Snapshot. w.mu must be held.
func (w *Watcher) recordDelta(d Delta) {
	w.recentDeltas = append(w.recentDeltas, d)
	w.recentBytes += d.size()
	for len(w.recentDeltas) > maxRecentDeltas || (w.recentBytes > maxRecentBytes && len(w.recentDeltas) > 0) {
		w.recentAfter = w.recentDeltas[0].Revision
		w.recentBytes -= w.recentDeltas[0].size()
		w.recentDeltas = w.recentDeltas[1:]
	}
}

// dropDeltas forgets the deltas that were kept up to a revision. w.mu must be held.
func (w *Watcher) dropDeltas(revision state.Revision) {
	w.recentDeltas, w.recentBytes, w.recentAfter = nil, 0, revision
}

// size returns the bytes of the entries and names.
func (d *Delta) size() int {
	size := 0
	for _, item := range d.Items {
		size += len(item.Entry) + len(item.Deleted)
	}
	return size
}

// newDelta returns changes after a revision up to another for other routers.
func newDelta(after, revision state.Revision, changes []entryChange) Delta {
	d := Delta{After: after, Revision: revision}
	for _, c := range changes {
		if c.deleted {
			d.Items = append(d.Items, TargetChange{Deleted: c.name})
			continue
		}
		d.Items = append(d.Items, TargetChange{Entry: c.raw})
	}
	return d
}
