package slotgrant

import "github.com/VictoriaMetrics/metrics"

var (
	droppedMalformed = metrics.GetOrCreateCounter(`hickoryrock_slot_datagrams_dropped_total{reason="malformed"}`)
	droppedUnserved  = metrics.GetOrCreateCounter(`hickoryrock_slot_datagrams_dropped_total{reason="unserved"}`)
	droppedReceive   = metrics.GetOrCreateCounter(`hickoryrock_slot_datagrams_dropped_total{reason="receive"}`)
	droppedSend      = metrics.GetOrCreateCounter(`hickoryrock_slot_datagrams_dropped_total{reason="send"}`)
	lateGrants       = metrics.GetOrCreateCounter(`hickoryrock_slot_late_grants_total`)
)

// clientMetrics counts the requests of this router's own calls by result.
type clientMetrics struct {
	granted, refused, noCoordinator, cancelled *metrics.Counter
	// wait is the time until a grant.
	wait *metrics.Histogram
}

func newClientMetrics() clientMetrics {
	return clientMetrics{
		granted:       metrics.GetOrCreateCounter(`hickoryrock_slot_requests_total{result="granted"}`),
		refused:       metrics.GetOrCreateCounter(`hickoryrock_slot_requests_total{result="refused"}`),
		noCoordinator: metrics.GetOrCreateCounter(`hickoryrock_slot_requests_total{result="no-coordinator"}`),
		cancelled:     metrics.GetOrCreateCounter(`hickoryrock_slot_requests_total{result="cancelled"}`),
		wait:          metrics.GetOrCreateHistogram(`hickoryrock_slot_wait_seconds`),
	}
}
