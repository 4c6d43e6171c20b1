package storewatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
)

const (
	// originAnswer and originRouter name an answer to this router and another router as the
	// origin of an announcement.
	originAnswer = "answer"
	originRouter = "router"
	// announcementSends is how often other routers are told of an announcement, since
	// datagrams may be lost.
	announcementSends = 3
	// maxAnnouncementsTaken bounds what is told at once, so that it fits into a datagram.
	maxAnnouncementsTaken = 30
)

// RecordLeaving records that an incarnation of a target has said in an answer to this router
// that it leaves. When it returns, View has the target as draining.
func (w *Watcher) RecordLeaving(target uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := Departure{Target: target, Drained: true, Announced: true, Era: w.revision.Era, At: time.Now()}
	if w.recordAnnouncement(d, originAnswer) {
		w.announcementsLeft[target] = announcementSends
		w.publishTargets()
	}
}

// ApplyAnnouncements adds incarnations of targets that have said in answers to another router
// that they leave.
func (w *Watcher) ApplyAnnouncements(list []Departure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	for _, d := range list {
		changed = (d.Announced && w.recordAnnouncement(d, originRouter)) || changed
	}
	if changed {
		w.publishTargets()
	}
}

// TakeAnnouncements returns the announcements that other routers should be told now.
func (w *Watcher) TakeAnnouncements() []Departure {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []Departure
	for target, left := range w.announcementsLeft {
		if len(list) == maxAnnouncementsTaken {
			break
		}
		if d, ok := w.departures[target]; ok {
			list = append(list, d)
		}
		if w.announcementsLeft[target] = left - 1; left == 1 {
			delete(w.announcementsLeft, target)
		}
	}
	return list
}

// recordAnnouncement adds the departure of an incarnation that has said that it leaves, and
// reports whether that was not known. w.mu must be held.
func (w *Watcher) recordAnnouncement(d Departure, from string) bool {
	if w.departures.isAnnounced(d.Target) {
		return false
	}
	w.departures.record(d)
	name := ""
	if t := w.listed(d.Target); t != nil {
		name = t.ID
	}
	metrics.GetOrCreateCounter(`hickoryrock_leaving_targets_total{from="` + from + `"}`).Inc()
	w.log.Info().Str("target", name).Uint64("incarnation", d.Target).Str("from", from).
		Msg("target says that it leaves, excluded from new calls")
	return true
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
