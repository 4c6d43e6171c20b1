package storewatch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/platform"
)

// StoreAge returns the time since the last successful store call for
// configurations or targets, whichever is longer ago, or since the last probe.
func (w *Watcher) StoreAge() time.Duration {
	last := min(w.configurationWatch.lastSuccess.Load(), w.targetWatch.lastSuccess.Load())
	return time.Since(time.Unix(0, max(last, w.probedAt.Load())))
}

// FailingFor returns how long calls for configurations or targets have been failing,
// whichever is longer.
func (w *Watcher) FailingFor() time.Duration {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest time.Duration
	for _, s := range []*watchState{&w.configurationWatch, &w.targetWatch} {
		if !s.failingSince.IsZero() {
			longest = max(longest, now.Sub(s.failingSince))
		}
	}
	return longest
}

// Probe finds out whether the store serves this router, with the cheapest call, and takes a
// newer configuration from its answer.
func (w *Watcher) Probe(ctx context.Context) error {
	page, err := w.store.ListCached(ctx, platform.KindConfigurations)
	if err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_store_probes_total{result="failed"}`).Inc()
		return err
	}
	metrics.GetOrCreateCounter(`hickoryrock_store_probes_total{result="served"}`).Inc()
	w.probedAt.Store(time.Now().UnixNano())
	w.handleConfigurations(page, true)
	return nil
}

func (w *Watcher) recordFailure(s *watchState, err error) {
	now := time.Now()
	servesPeers := w.servesPeers()
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince, s.localOutage = now, false
	}
	s.localOutage = s.localOutage || (servesPeers && now.Sub(s.failingSince) > localOutageAfter)
	if !s.outageLogged && now.Sub(s.failingSince) > outageThreshold {
		s.outageLogged = true
		w.log.Warn().Str("kind", s.kind).Dur("failing-ms", now.Sub(s.failingSince)).Err(err).Msg("store unavailable")
	}
}

func (w *Watcher) recordSuccess(s *watchState) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	s.lastSuccess.Store(now.UnixNano())
	if !s.failingSince.IsZero() && now.Sub(s.failingSince) > outageThreshold {
		if !s.localOutage {
			s.recoveredAt = now
		}
		w.log.Info().Str("kind", s.kind).Dur("failing-ms", now.Sub(s.failingSince)).
			Bool("served-others", s.localOutage).Msg("store available again")
	}
	s.failingSince, s.outageLogged = time.Time{}, false
}

// recordEra logs answers without an era, once, and gives them the latest one that is known.
func (w *Watcher) recordEra(s *watchState, page *platform.Page) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if page.EraError == nil {
		s.era = max(s.era, page.Revision.Era)
		return
	}
	page.Revision.Era = max(s.era, w.revision.Era)
	if !s.eraLogged {
		s.eraLogged = true
		w.log.Warn().Str("kind", s.kind).Uint64("assumed-era", page.Revision.Era).Err(page.EraError).Msg("store states no era")
	}
}
