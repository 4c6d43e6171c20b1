package objects

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// errorCodes maps errors to the stable codes of metric labels.
var errorCodes = []struct {
	err  error
	code string
}{
	{ErrNotFound, "not-found"},
	{ErrConflict, "conflict"},
	{ErrTooOld, "too-old"},
	{ErrRateLimited, "limited"},
	{ErrUnavailable, "unavailable"},
	{ErrUnknownOutcome, "unknown"},
	{ErrInvalid, "invalid"},
}

// Reason returns the stable code of an error that a Store returned, for metric labels.
func Reason(err error) string {
	if err == nil {
		return "none"
	}
	for _, r := range errorCodes {
		if errors.Is(err, r.err) {
			return r.code
		}
	}
	return "other"
}

func countCall(name string, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickoryrock_platform_calls_total{call=%q}`, name)).Inc()
	if err == nil {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`hickoryrock_platform_refusals_total{call=%q,reason=%q}`, name, Reason(err))).Inc()
}

func countRetry(name string, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`hickoryrock_platform_retries_total{call=%q,reason=%q}`, name, Reason(err))).Inc()
}

func observeDuration(name string, start time.Time) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		`hickoryrock_platform_call_duration_seconds{call=%q}`, name)).UpdateDuration(start)
}
