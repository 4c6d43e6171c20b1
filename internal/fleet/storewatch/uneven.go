package storewatch

import (
	"cmp"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/platform"
)

// logUneven logs a list whose parts are of different revisions.
func (w *Watcher) logUneven(kind string, list *platform.Page, isCached bool) {
	if !list.IsUneven() {
		return
	}
	metrics.GetOrCreateCounter(`hickoryrock_uneven_lists_total{kind="` + kind + `"}`).Inc()
	newest := slices.MaxFunc(list.Parts, func(a, b platform.ListPart) int { return cmp.Compare(a.Revision, b.Revision) })
	w.log.Info().Str("kind", kind).Bool("cached", isCached).Int("parts", len(list.Parts)).Stringer("revision", list.Revision).
		Uint64("newest-part", newest.Revision).Msg("parts of a list are of different revisions")
}
