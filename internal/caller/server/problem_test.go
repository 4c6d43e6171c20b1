package server_test

import (
	"net/http"
	"slices"
	"testing"

	"hickoryrock/internal/caller/outcome"
)

// Guards against callers who are told by the status, which HTTP clients read without the problem document,
// that a call has not run although it may have (REFUSED; issue 61).
func TestStatusesThatPromiseNotRun(t *testing.T) {
	const (
		refused = http.StatusServiceUnavailable
		unknown = http.StatusBadGateway
	)
	for reason, want := range map[outcome.Reason]int{
		outcome.ReasonWorkspaceLimit: http.StatusTooManyRequests, outcome.ReasonOverloaded: refused, outcome.ReasonRetryBudget: refused,
		outcome.ReasonNoTarget: refused, outcome.ReasonLeaving: refused, outcome.ReasonNotReady: refused, outcome.ReasonIsolated: refused,
		outcome.ReasonPlatformUnavailable: refused, outcome.ReasonTargetRefused: refused, outcome.ReasonTargetUnreachable: refused,
		outcome.ReasonTargetFailed: unknown, outcome.ReasonConnectionLost: unknown, outcome.ReasonTargetSilent: http.StatusGatewayTimeout,
		outcome.ReasonInProgress: http.StatusConflict, outcome.ReasonClaimLost: http.StatusConflict, outcome.ReasonCancelled: 499,
		outcome.ReasonKeyExpired: http.StatusConflict, outcome.ReasonInternal: http.StatusInternalServerError, "other": http.StatusInternalServerError,
	} {
		t.Run(string(reason), func(t *testing.T) {
			wantUnknown := want
			if slices.Contains([]int{408, 421, 429, 503}, want) {
				wantUnknown = unknown
			}
			for _, r := range []testRequest{
				{"POST", pathBook, "{}", keyHeaders(key, "1")}, {"POST", pathChat, chat, nil}, {"GET", "/v1/streams/s", "", nil},
			} {
				notRun := &fakeBackend{failure: outcome.NewNotRun(reason, "refused")}
				assertProblem(t, r.send(t, newTestServer(t, notRun)), expectedProblem{want, reason, outcome.NotRun})
				mayHaveRun := &fakeBackend{failure: outcome.NewUnknown(reason, "may have run")}
				assertProblem(t, r.send(t, newTestServer(t, mayHaveRun)), expectedProblem{wantUnknown, reason, outcome.Unknown})
			}
		})
	}
}
