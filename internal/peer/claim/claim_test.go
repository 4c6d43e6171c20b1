package claim_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/peer/claim"
	"hickoryrock/internal/platform/claims"
)

// fixedStore decides all claims in the same way.
type fixedStore struct{ decision claims.Decision }

func (s fixedStore) Claim(context.Context, claims.Call) claims.Decision { return s.decision }

func (s fixedStore) Finish(context.Context, claims.Claim, claims.Record) error { return nil }

// Guards against a decision that says on another router that a call has not run although its owner does not
// know, so that the caller gets a refusal (REFUSED; issue 61).
func TestDecisionsOfTheOwnerKeepTheirOutcome(t *testing.T) {
	for name, want := range map[string]claims.Decision{
		"refused": {Verdict: claims.Refused, Failure: outcome.NewNotRun(outcome.ReasonPlatformUnavailable, "refused")},
		"unknown": {Verdict: claims.Unknown, Failure: outcome.NewUnknown(outcome.ReasonPlatformUnavailable, "unknown")},
	} {
		t.Run(name, func(t *testing.T) {
			path, handler := claim.NewHandler(fixedStore{want})
			mux := http.NewServeMux()
			mux.Handle(path, handler)
			server := httptest.NewServer(mux)
			defer server.Close()
			remote := claim.NewRemote(server.Client(), server.Listener.Addr().String())
			got, err := remote.Claim(context.Background(), claims.Call{Workspace: "w", Key: uuid.New(), Nonce: "n"})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, want)
		})
	}
	t.Run("an owner that cannot be reached decides nothing", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		defer server.Close()
		remote := claim.NewRemote(server.Client(), server.Listener.Addr().String())
		_, err := remote.Claim(context.Background(), claims.Call{Workspace: "w", Key: uuid.New(), Nonce: "n"})
		qt.Assert(t, err, qt.IsNotNil)
	})
}
