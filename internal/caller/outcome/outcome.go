// Package outcome describes how a call ended: done, not run, or unknown.
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// Done means that the call ran and its complete response was received.
	Done Status = "done"
	// NotRun means that the call did not run and will not run.
	NotRun Status = "not-run"
	// Unknown means that the call may or may not have run.
	Unknown Status = "unknown"
)

const (
	// ReasonNone accompanies Done.
	ReasonNone Reason = ""
	// ReasonUnauthorized means a missing or wrong workspace token.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonForbidden means that the workspace may not use the service.
	ReasonForbidden Reason = "forbidden"
	// ReasonNotFound means an unknown service, model, method or stream.
	ReasonNotFound Reason = "not-found"
	// ReasonInvalidRequest means malformed input.
	ReasonInvalidRequest Reason = "invalid-request"
	// ReasonMethodNotAllowed means an HTTP method that the path does not support.
	ReasonMethodNotAllowed Reason = "method-not-allowed"
	// ReasonTooLarge means a body over the limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonKeyRequired means an at-most-once call without an Idempotency-Key.
	ReasonKeyRequired Reason = "idempotency-key-required"
	// ReasonKeyExpired means an Idempotency-Key older than the window in which keys are kept.
	ReasonKeyExpired Reason = "idempotency-key-expired"
	// ReasonKeyReused means a key that was first used with another request.
	ReasonKeyReused Reason = "idempotency-key-reused"
	// ReasonInProgress means that the first call with the key is still running.
	ReasonInProgress Reason = "in-progress"
	// ReasonWorkspaceLimit means that the workspace exceeds its limit.
	ReasonWorkspaceLimit Reason = "workspace-limit"
	// ReasonOverloaded means that no target of the service accepts more load, or
	// that the router is at its limit of requests.
	ReasonOverloaded Reason = "overloaded"
	// ReasonRetryBudget means that the retry budget is exhausted.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonNoTarget means that the service has no available target.
	ReasonNoTarget Reason = "no-target"
	// ReasonLeaving means that the router is shutting down.
	ReasonLeaving Reason = "leaving"
	// ReasonNotReady means that the router has not loaded a configuration yet.
	ReasonNotReady Reason = "not-ready"
	// ReasonIsolated means that the router can reach neither the platform nor a peer.
	ReasonIsolated Reason = "isolated"
	// ReasonPlatformUnavailable means that the platform could not record the claim.
	ReasonPlatformUnavailable Reason = "platform-unavailable"
	// ReasonTargetRefused means that the target rejected the call without running it.
	ReasonTargetRefused Reason = "target-refused"
	// ReasonTargetUnreachable means that no connection to the target could be established.
	ReasonTargetUnreachable Reason = "target-unreachable"
	// ReasonTargetFailed means that the target returned an error.
	ReasonTargetFailed Reason = "target-failed"
	// ReasonTargetSilent means that the target stopped responding.
	ReasonTargetSilent Reason = "target-silent"
	// ReasonConnectionLost means that the connection failed after the call was sent.
	ReasonConnectionLost Reason = "connection-lost"
	// ReasonClaimLost means that another owner of the key's claim may have run the call.
	ReasonClaimLost Reason = "claim-lost"
	// ReasonResultNotKept means that the call is done, but its response was too
	// large to be stored for repeated requests with the key.
	ReasonResultNotKept Reason = "result-not-kept"
	// ReasonCancelled means that the caller disconnected.
	ReasonCancelled Reason = "cancelled"
	// ReasonInternal means an internal error of the router.
	ReasonInternal Reason = "internal"
)

type (
	// Status tells whether a call ran.
	Status string

	// Reason is a stable, kebab-case code for why a call is not done.
	Reason string

	// Failure describes a call that is not done. *Failure implements error.
	Failure struct {
		Status     Status
		Reason     Reason
		Detail     string
		RetryAfter time.Duration
		// Address is another router to use, as IP:port.
		Address string
	}
)

// PromisesNotRun reports whether an HTTP status tells a caller that its call has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// NewNotRun returns the failure of a call that did not run.
func NewNotRun(r Reason, format string, args ...any) *Failure {
	return &Failure{Status: NotRun, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// NewUnknown returns the failure of a call that may have run.
func NewUnknown(r Reason, format string, args ...any) *Failure {
	return &Failure{Status: Unknown, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets how long the caller should wait before it retries, and returns f.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

// AsUnknown returns the failure of an at-most-once call that was rejected before
// the record of its key was read. A failure with status NotRun becomes Unknown,
// since an earlier attempt with the key may have run.
func (f *Failure) AsUnknown() *Failure {
	if f.Status != NotRun {
		return f
	}
	unknown := *f
	unknown.Status = Unknown
	unknown.Detail += "; an earlier attempt with the key may have run"
	return &unknown
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Status, f.Reason, f.Detail)
}
