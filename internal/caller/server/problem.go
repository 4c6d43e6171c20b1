package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ogen-go/ogen/ogenerrors"

	"hickoryrock/api/caller/callerapi"
	"hickoryrock/internal/caller/outcome"
)

const contentTypeProblem = "application/problem+json"

// statusByReason maps reasons to HTTP statuses.
var statusByReason = map[outcome.Reason]int{
	outcome.ReasonUnauthorized:        http.StatusUnauthorized,
	outcome.ReasonForbidden:           http.StatusForbidden,
	outcome.ReasonNotFound:            http.StatusNotFound,
	outcome.ReasonInvalidRequest:      http.StatusBadRequest,
	outcome.ReasonMethodNotAllowed:    http.StatusMethodNotAllowed,
	outcome.ReasonTooLarge:            http.StatusRequestEntityTooLarge,
	outcome.ReasonKeyRequired:         http.StatusBadRequest,
	outcome.ReasonKeyExpired:          http.StatusConflict,
	outcome.ReasonKeyReused:           http.StatusUnprocessableEntity,
	outcome.ReasonInProgress:          http.StatusConflict,
	outcome.ReasonWorkspaceLimit:      http.StatusTooManyRequests,
	outcome.ReasonOverloaded:          http.StatusServiceUnavailable,
	outcome.ReasonRetryBudget:         http.StatusServiceUnavailable,
	outcome.ReasonNoTarget:            http.StatusServiceUnavailable,
	outcome.ReasonLeaving:             http.StatusServiceUnavailable,
	outcome.ReasonNotReady:            http.StatusServiceUnavailable,
	outcome.ReasonIsolated:            http.StatusServiceUnavailable,
	outcome.ReasonPlatformUnavailable: http.StatusServiceUnavailable,
	outcome.ReasonTargetRefused:       http.StatusServiceUnavailable,
	outcome.ReasonTargetUnreachable:   http.StatusServiceUnavailable,
	outcome.ReasonTargetFailed:        http.StatusBadGateway,
	outcome.ReasonTargetSilent:        http.StatusGatewayTimeout,
	outcome.ReasonConnectionLost:      http.StatusBadGateway,
	outcome.ReasonClaimLost:           http.StatusConflict,
	outcome.ReasonResultNotKept:       http.StatusGone,
	outcome.ReasonCancelled:           499,
	outcome.ReasonInternal:            http.StatusInternalServerError,
}

// httpStatus returns the HTTP status of a failure. Statuses that tell a caller that its call has not run
// are those of calls that have not run: HTTP clients may not read the problem document.
func httpStatus(f *outcome.Failure) int {
	status, ok := statusByReason[f.Reason]
	switch {
	case !ok:
		return http.StatusInternalServerError
	case f.Status != outcome.NotRun && outcome.PromisesNotRun(status):
		return http.StatusBadGateway
	}
	return status
}

// newProblem converts a failure to the API's problem document.
func newProblem(f *outcome.Failure) callerapi.Problem {
	p := callerapi.Problem{
		Type:    "about:blank",
		Title:   strings.ReplaceAll(string(f.Reason), "-", " "),
		Status:  httpStatus(f),
		Reason:  string(f.Reason),
		Outcome: callerapi.ProblemOutcome(f.Status),
	}
	if f.Detail != "" {
		p.Detail = callerapi.NewOptString(f.Detail)
	}
	if f.Address != "" {
		p.Address = callerapi.NewOptString(f.Address)
	}
	return p
}

// writeProblem responds with the problem document of a failure.
func writeProblem(w http.ResponseWriter, f *outcome.Failure) {
	countFailure(f)
	p := newProblem(f)
	data, err := json.Marshal(&p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentTypeProblem)
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(f)))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(data)
}

// retryAfterSeconds rounds up, so that callers do not retry too early.
func retryAfterSeconds(f *outcome.Failure) int {
	return int(math.Ceil(f.RetryAfter.Seconds()))
}

func countFailure(f *outcome.Failure) {
	name := fmt.Sprintf(`hickoryrock_caller_failures_total{outcome=%q,reason=%q}`, f.Status, f.Reason)
	metrics.GetOrCreateCounter(name).Inc()
}

// toFailure converts an error of the generated API to a failure.
func toFailure(err error) *outcome.Failure {
	var f *outcome.Failure
	if errors.As(err, &f) {
		return f
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.NewNotRun(outcome.ReasonTooLarge, "request body exceeds %d bytes", tooLarge.Limit)
	}
	var unauthorized *ogenerrors.SecurityError
	if errors.As(err, &unauthorized) {
		return outcome.NewNotRun(outcome.ReasonUnauthorized, "a workspace token is required")
	}
	if errors.Is(err, context.Canceled) {
		return outcome.NewUnknown(outcome.ReasonCancelled, "caller disconnected")
	}
	if ogenerrors.ErrorCode(err) < http.StatusInternalServerError {
		return outcome.NewNotRun(outcome.ReasonInvalidRequest, "%s", err)
	}
	return outcome.NewUnknown(outcome.ReasonInternal, "%s", err)
}

func (s *Server) writeAPIError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	writeProblem(w, unknownIfRepeated(ctx, toFailure(err)))
}

func (s *Server) writeNotFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, outcome.NewNotRun(outcome.ReasonNotFound, "path %s does not exist", r.URL.Path))
}

func (s *Server) writeMethodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	writeProblem(w, outcome.NewNotRun(outcome.ReasonMethodNotAllowed, "path %s allows only %s", r.URL.Path, allowed))
}
