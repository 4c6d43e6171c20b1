package leases

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/platform/objects"
)

func countAttempt(err error) {
	reason := objects.Reason(err)
	if errors.Is(err, errHeld) {
		reason = "held-by-another"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickoryrock_lease_tries_total{result=%q}`, reason)).Inc()
}
