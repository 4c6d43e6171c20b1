package storewatch

import (
	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

// entryChange is a changed or deleted entry.
type entryChange struct {
	name     string
	deleted  bool
	revision uint64
	raw      []byte
	// target is nil if the entry describes no usable target.
	target *state.Target
}

// decodeEntries decodes objects of the store. It leaves out those without a readable name:
// routers could not agree on what became of them.
func (w *Watcher) decodeEntries(list []platform.Object) []entryChange {
	changes := make([]entryChange, 0, len(list))
	for _, o := range list {
		c := entryChange{name: o.Name, deleted: o.Deleted, revision: o.Revision, raw: o.Raw}
		if !o.Deleted {
			var err error
			if c.target, err = platform.DecodeTarget(o); err != nil {
				w.log.Info().Err(err).Msg("target entry skipped")
			}
		}
		if c.name != "" {
			changes = append(changes, c)
		}
	}
	return changes
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
