package edge

import (
	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/forward"
)

// exportMemory exports what the owners of the router's memory occupy, where a size is known, and
// otherwise how many entries they hold. The owners keep these figures for their bounds, so that
// calls cost no more.
func (r *Router) exportMemory(handler *forward.Handler) {
	sizes := map[string]func() (bytes, peak int64){
		"request-bodies": r.server.BodyMemory,
		"responses": func() (int64, int64) {
			_, others := handler.ResponseUsage()
			return others.Bytes, others.Peak
		},
		"slow-callers": func() (int64, int64) {
			slow, _ := handler.ResponseUsage()
			return slow.Bytes, slow.Peak
		},
	}
	for owner, size := range sizes {
		metrics.GetOrCreateGauge(`hickoryrock_memory_bytes{owner="`+owner+`"}`, func() float64 {
			bytes, _ := size()
			return float64(bytes)
		})
		metrics.GetOrCreateGauge(`hickoryrock_memory_peak_bytes{owner="`+owner+`"}`, func() float64 {
			_, peak := size()
			return float64(peak)
		})
	}
	counts := map[string]func() int{
		"cache-index": func() int {
			holdings, _ := r.cacheIndex.Count()
			return holdings
		},
		"cache-announcements": func() int {
			_, unannounced := r.cacheIndex.Count()
			return unannounced
		},
		"peer-reports": r.tracker.PeerLoads,
	}
	for owner, count := range counts {
		metrics.GetOrCreateGauge(`hickoryrock_entries{owner="`+owner+`"}`, func() float64 { return float64(count()) })
	}
}
