package storewatch

import (
	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
)

// logOutdated logs how many entries of a source were older than the known ones. w.mu must be held.
func (w *Watcher) logOutdated(from string, revision state.Revision, entries int) {
	if entries == 0 {
		return
	}
	metrics.GetOrCreateCounter(`hickoryrock_outdated_entries_total{from="` + from + `"}`).Add(entries)
	w.log.Info().Str("from", from).Stringer("revision", revision).Stringer("known-revision", w.revision).Int("entries", entries).
		Msg("target entries not applied, later ones are known")
}
