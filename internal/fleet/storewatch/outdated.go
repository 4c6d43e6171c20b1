package storewatch

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

// missing returns the change that a list makes by not holding a name.
func missing(name string, list *platform.Page) entryChange {
	return entryChange{name: name, deleted: true, asOf: list.RevisionOf(name)}
}

// isOutdated reports whether a change is older than what is known of its entry. A router whose list
// had parts of different ages sends entries that are newer than the revision that it states. w.mu
// must be held.
func (w *Watcher) isOutdated(c entryChange) bool {
	changed, known := c.changedAt(), w.knownAt(c.name)
	return changed.Before(w.entries[c.name].revision) || (c.asOf.Before(known) && changed.Before(known))
}

// knownAt returns the revision as of which this router knows whether a name is listed. w.mu must
// be held.
func (w *Watcher) knownAt(name string) state.Revision {
	known := w.revision
	for i := range w.newerLists {
		if r := w.newerLists[i].RevisionOf(name); known.Before(r) {
			known = r
		}
	}
	return known
}

// recordParts records the parts of a list if some of them are newer than the known revision, which
// is that of the oldest part. w.mu must be held.
func (w *Watcher) recordParts(list *platform.Page) {
	if list.IsUneven() {
		w.newerLists = append(w.newerLists, platform.Page{Revision: list.Revision, Parts: list.Parts})
	}
	w.newerLists = slices.DeleteFunc(w.newerLists, func(l platform.Page) bool { return !w.revision.Before(l.Newest()) })
}

// parts returns the revisions as of which this router knows the targets by their names, or none if
// there is one only. w.mu must be held.
func (w *Watcher) parts() []platform.ListPart {
	if len(w.newerLists) == 0 {
		return nil
	}
	bounds := []string{""}
	for _, list := range w.newerLists {
		for _, part := range list.Parts {
			bounds = append(bounds, part.Last)
		}
	}
	slices.Sort(bounds)
	bounds = slices.Compact(bounds)
	parts := make([]platform.ListPart, 0, len(bounds))
	for _, bound := range bounds[1:] {
		parts = append(parts, platform.ListPart{Last: bound, Revision: w.knownAt(bound).Number})
	}
	next := bounds[len(bounds)-1] + "\x00" // The first name that follows.
	return append(parts, platform.ListPart{Revision: w.knownAt(next).Number})
}

// logUneven logs a list whose parts are of different revisions.
func (w *Watcher) logUneven(kind string, list *platform.Page, isCached bool) {
	if !list.IsUneven() {
		return
	}
	metrics.GetOrCreateCounter(`hickoryrock_uneven_lists_total{kind="` + kind + `"}`).Inc()
	w.log.Info().Str("kind", kind).Bool("cached", isCached).Int("parts", len(list.Parts)).Stringer("revision", list.Revision).
		Uint64("newest-part", list.Newest().Number).Msg("parts of a list are of different revisions")
}

// logOutdated logs how many entries of a source were older than the known ones. w.mu must be held.
func (w *Watcher) logOutdated(from string, revision state.Revision, entries int) {
	if entries == 0 {
		return
	}
	metrics.GetOrCreateCounter(`hickoryrock_outdated_entries_total{from="` + from + `"}`).Add(entries)
	w.log.Info().Str("from", from).Stringer("revision", revision).Stringer("known-revision", w.revision).Int("entries", entries).
		Msg("target entries not applied, later ones are known")
}
