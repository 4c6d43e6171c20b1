package orders

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/platform/objects"
)

var noLoadSlot = metrics.NewCounter("hickoryrock_orders_without_place_total")

func countReconcile(err error) {
	reason := objects.Reason(err)
	if errors.Is(err, errNotLeaseHolder) {
		reason = "not-holder"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickoryrock_order_steps_total{result=%q}`, reason)).Inc()
}

func countOrder(k Kind, err error) {
	result := "accepted"
	if errors.Is(err, ErrFenced) {
		result = "fenced"
	} else if err != nil {
		result = "other"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickoryrock_orders_total{kind=%q,result=%q}`, k, result)).Inc()
}

func countNoLoadSlot() { noLoadSlot.Inc() }
