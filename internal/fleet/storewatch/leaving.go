package storewatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
)

// originAnswer names an answer to this router as the origin of an announcement.
const originAnswer = "answer"

// RecordLeaving records that an incarnation of a target has said in an answer to this router
// that it leaves. When it returns, View has the target as draining.
func (w *Watcher) RecordLeaving(target uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := Departure{Target: target, Drained: true, Announced: true, Era: w.revision.Era, At: time.Now()}
	w.recordAnnouncement(d, originAnswer)
}

// recordAnnouncement adds the departure of an incarnation that has said that it leaves. w.mu
// must be held.
func (w *Watcher) recordAnnouncement(d Departure, from string) {
	if w.departures.isAnnounced(d.Target) {
		return
	}
	w.departures.record(d)
	w.publishTargets()
	name := ""
	if t := w.listed(d.Target); t != nil {
		name = t.ID
	}
	metrics.GetOrCreateCounter(`hickoryrock_leaving_targets_total{from="` + from + `"}`).Inc()
	w.log.Info().Str("target", name).Uint64("incarnation", d.Target).Str("from", from).
		Msg("target says that it leaves, excluded from new calls")
}

// listed returns the listed target with the hash of an incarnation, or nil.
func (w *Watcher) listed(target uint64) *state.Target {
	for _, targets := range w.View().Targets.ByService {
		for _, t := range targets {
			if t.Hash == target {
				return t
			}
		}
	}
	return nil
}

func (w *Watcher) isListed(target uint64) bool { return w.listed(target) != nil }
