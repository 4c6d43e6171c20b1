package claims

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/platform/objects"
)

var (
	claimDuration = metrics.NewHistogram("hickoryrock_claim_duration_seconds")
	commits       = metrics.NewCounter("hickoryrock_claim_commits_total")
	batchSize     = metrics.NewHistogram("hickoryrock_claim_batch_requests")
	sweptObjects  = metrics.NewCounter("hickoryrock_claim_swept_objects_total")
)

func countDecision(d Decision, start time.Time) {
	claimDuration.UpdateDuration(start)
	reason := ""
	if d.Failure != nil {
		reason = string(d.Failure.Reason)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`hickoryrock_claims_total{verdict=%q,reason=%q}`, d.Verdict, reason)).Inc()
}

func countFinish(r Record) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickoryrock_claim_finishes_total{status=%q}`, r.Status)).Inc()
}

func countBatch(b *batch) {
	commits.Inc()
	batchSize.Update(float64(len(b.claims) + len(b.finishes)))
}

func countCommitRetry(err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`hickoryrock_claim_commit_retries_total{reason=%q}`, objects.Reason(err))).Inc()
}

func countSweep(deleted int, err error) {
	sweptObjects.Add(deleted)
	if err != nil {
		metrics.GetOrCreateCounter(fmt.Sprintf(
			`hickoryrock_claim_sweep_failures_total{reason=%q}`, objects.Reason(err))).Inc()
	}
}

func countForwardFailure(call string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickoryrock_claim_forward_failures_total{call=%q}`, call)).Inc()
}
