package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/policy/placement"
)

const (
	// maxCandidates bounds the targets tried for one call.
	maxCandidates      = 8
	retryAfterFull     = time.Second
	retryAfterNoTarget = 2 * time.Second
)

type (
	// request is a call for which a target is being selected.
	request struct {
		workspace *catalog.Workspace
		service   *catalog.Service
		// key is hashed to order the targets.
		key    string
		weight int
		// repeatable is set when a call with an unknown outcome may be sent again.
		repeatable bool
		// send makes one attempt at a target.
		send func(ctx context.Context, t catalog.Target) *outcome.Failure
	}

	// selection is the state of selecting a target for one call.
	selection struct {
		permitRequests int
		// sent counts the attempts that were sent to a target.
		sent        int
		lastFailure *outcome.Failure
		// unknown is the failure of an attempt that may have run the call, or nil.
		unknown *outcome.Failure
		anyFull bool
	}
)

// dispatch tries the targets in order of preference until the call is finished. The failure
// speaks for all attempts.
func (d *Dispatcher) dispatch(ctx context.Context, r request) *outcome.Failure {
	d.opts.Budget.Request(r.workspace.Name, r.service.Name)
	var s selection
	f := d.selectAndSend(ctx, r, &s)
	if f != nil && f.Status == outcome.NotRun && s.unknown != nil {
		return s.unknown
	}
	return f
}

// selectAndSend returns the failure of the last attempt, or why no attempt was made.
func (d *Dispatcher) selectAndSend(ctx context.Context, r request, s *selection) *outcome.Failure {
	t := d.table.Load()
	if d.tryTargets(ctx, t, r, s, true) {
		return s.lastFailure
	}
	// If the circuit breaker is open for every target, trying one is better than
	// failing the call. A lost or silent connection is not proof that its target is
	// down either, so a repeatable call is sent to that target once more, on a new
	// connection.
	if s.permitRequests == 0 || (s.sent == 1 && r.repeatable && isConnectionFailure(s.lastFailure)) {
		if d.tryTargets(ctx, t, r, s, false) {
			return s.lastFailure
		}
	}
	return s.failure(r.service.Name)
}

// isConnectionFailure reports whether a call failed because of its connection.
func isConnectionFailure(f *outcome.Failure) bool {
	return f != nil && (f.Reason == outcome.ReasonConnectionLost || f.Reason == outcome.ReasonTargetSilent)
}

// tryTargets tries the targets in order and reports whether the call is finished.
func (d *Dispatcher) tryTargets(ctx context.Context, t *routingTable, r request, s *selection, avoidUnreachable bool) bool {
	order := t.placements[r.service.Name].Order(placement.Key(r.key))
	for s.permitRequests < maxCandidates {
		candidate, ok := order.Next()
		if !ok {
			return false
		}
		target := t.targets[r.service.Name][candidate.Name]
		if reason := d.skipReason(target.Name, avoidUnreachable); reason != "" {
			countSkip(reason)
			continue
		}
		if d.attempt(ctx, r, target, s) {
			return true
		}
	}
	return false
}

// skipReason returns why a target is skipped, or "" if it is to be tried. Targets
// with an open circuit breaker are skipped only if avoidUnreachable is set.
func (d *Dispatcher) skipReason(target string, avoidUnreachable bool) string {
	switch {
	case d.opts.Leaving(target):
		return "leaving"
	case avoidUnreachable && d.breaker.isOpen(target, d.opts.Now()):
		return "unreachable"
	default:
		return ""
	}
}

// attempt acquires a permit, sends the call and reports whether the call is finished.
func (d *Dispatcher) attempt(ctx context.Context, r request, t catalog.Target, s *selection) bool {
	s.permitRequests++
	verdict, release := d.opts.Permits.Acquire(ctx, r.service.Name, t, r.weight)
	if verdict != Granted {
		s.anyFull = s.anyFull || verdict == Full
		countSkip(verdict.String())
		return s.callerGone(ctx)
	}
	defer release()
	if s.sent > 0 && !d.opts.Budget.Retry(r.workspace.Name, r.service.Name, r.service.Policy.RetryBudget) {
		countSkip(string(outcome.ReasonRetryBudget))
		s.lastFailure = s.failure(r.service.Name)
		return true
	}
	s.sent++
	s.lastFailure = r.send(ctx, t)
	if s.lastFailure != nil && s.lastFailure.Status == outcome.Unknown {
		s.unknown = s.lastFailure
	}
	d.breaker.record(t.Name, s.lastFailure, d.opts.Now())
	if s.lastFailure == nil || ctx.Err() != nil || !r.mayRetry(s.lastFailure) {
		return true
	}
	countRetry(s.lastFailure.Reason)
	return false
}

// callerGone reports whether the caller has disconnected. If the call was not sent
// by then, it sets lastFailure to a failure that says that the call has not run.
func (s *selection) callerGone(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	if s.sent == 0 {
		s.lastFailure = outcome.NewNotRun(outcome.ReasonCancelled, "caller disconnected before the call was sent")
	}
	return true
}

// mayRetry reports whether another target may be tried after a failure.
func (r request) mayRetry(f *outcome.Failure) bool {
	switch f.Reason {
	case outcome.ReasonCancelled, outcome.ReasonInvalidRequest, outcome.ReasonTooLarge:
		return false
	default:
		return f.Status == outcome.NotRun || r.repeatable
	}
}

// failure returns the failure to report when no further target is tried.
func (s selection) failure(service string) *outcome.Failure {
	switch {
	case s.lastFailure != nil && s.lastFailure.Status == outcome.NotRun && s.lastFailure.RetryAfter == 0:
		return s.lastFailure.WithRetryAfter(retryAfterFull)
	case s.lastFailure != nil:
		return s.lastFailure
	case s.anyFull:
		return outcome.NewNotRun(outcome.ReasonOverloaded, "all targets of service %s are at capacity", service).WithRetryAfter(retryAfterFull)
	default:
		return outcome.NewNotRun(outcome.ReasonNoTarget, "service %s has no available target", service).WithRetryAfter(retryAfterNoTarget)
	}
}

// String returns the verdict's name in metrics.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "granted"
	case Full:
		return "full"
	case Leaving:
		return "leaving"
	case Contested:
		return "contested"
	default:
		return "owner-unreachable"
	}
}

func countSkip(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickoryrock_dispatch_skips_total{reason=%q}`, reason)).Inc()
}

func countRetry(reason outcome.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickoryrock_dispatch_retries_total{reason=%q}`, reason)).Inc()
}
