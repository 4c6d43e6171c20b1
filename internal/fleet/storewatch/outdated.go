package storewatch

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

// nameRange is a range of names that this router knows as of a revision.
type nameRange struct {
	// after is the name before the first one. last is the last name, or empty if there is no end.
	after, last string
	revision    state.Revision
}

func (r *nameRange) contains(name string) bool {
	return name > r.after && (r.last == "" || name <= r.last)
}

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
	for i := range w.newerRanges {
		if r := &w.newerRanges[i]; known.Before(r.revision) && r.contains(name) {
			known = r.revision
		}
	}
	return known
}

// recordRanges records the parts of a list that are newer than the known revision, which is that
// of the oldest part. w.mu must be held.
func (w *Watcher) recordRanges(list *platform.Page) {
	after := ""
	for _, part := range list.Parts {
		revision := state.Revision{Era: list.Revision.Era, Number: part.Revision}
		w.newerRanges = append(w.newerRanges, nameRange{after, part.Last, revision})
		after = part.Last
	}
	w.newerRanges = slices.DeleteFunc(w.newerRanges, func(r nameRange) bool { return !w.revision.Before(r.revision) })
}

// parts returns the revisions as of which this router knows the targets by their names, or none if
// there is one only. w.mu must be held.
func (w *Watcher) parts() []platform.ListPart {
	var bounds []string
	for _, r := range w.newerRanges {
		bounds = append(bounds, r.after, r.last)
	}
	slices.Sort(bounds)
	var parts []platform.ListPart
	last := ""
	for _, bound := range slices.Compact(bounds) {
		if bound != "" {
			parts = append(parts, platform.ListPart{Last: bound, Revision: w.knownAt(bound).Number})
			last = bound
		}
	}
	if len(bounds) == 0 {
		return nil
	}
	next := last + "\x00" // The first name that follows.
	return append(parts, platform.ListPart{Revision: w.knownAt(next).Number})
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
