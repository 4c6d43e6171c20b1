package claims

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/platform"
)

// TestOverHTTP runs two claim stores against a stand-in platform through the real HTTP
// client.
func TestOverHTTP(t *testing.T) {
	ctx := context.Background()
	srv := platform.New()
	http := httptest.NewServer(srv)
	t.Cleanup(http.Close)
	newStore := func(name string) Store {
		c, closeClient := objects.New(objects.WithBaseURLs(http.URL), objects.WithName(name))
		t.Cleanup(closeClient)
		s, closeStore := NewStore(c)
		t.Cleanup(closeStore)
		return s
	}
	a, b := newStore("a"), newStore("b")
	call := func(first bool) Call {
		return Call{Workspace: "w", Key: uuid.Must(uuid.NewV7()), Fingerprint: "f", First: first}
	}
	want := func(t *testing.T, d Decision, v Verdict) {
		t.Helper()
		qt.Assert(t, d.Verdict, qt.Equals, v, qt.Commentf("%v", d.Failure))
	}
	t.Run("all responses to writes are lost", func(t *testing.T) {
		srv.SetFaults(platform.Faults{LoseReplies: -1})
		c := call(true)
		d := a.Claim(ctx, c)
		want(t, d, Run)
		want(t, b.Claim(ctx, c), Unknown)
		qt.Assert(t, a.Finish(ctx, d.Claim, Record{Status: outcome.Done, Body: []byte("answer")}), qt.IsNil)
		again := b.Claim(ctx, c)
		want(t, again, Recorded)
		qt.Assert(t, string(again.Record.Body), qt.Equals, "answer")
	})
	t.Run("the platform is down", func(t *testing.T) {
		srv.SetFaults(platform.Faults{Down: true})
		start := time.Now()
		d := a.Claim(ctx, call(true))
		want(t, d, Refused)
		qt.Assert(t, d.Failure.Reason, qt.Equals, outcome.ReasonPlatformUnavailable)
		qt.Assert(t, d.Failure.RetryAfter > 0, qt.IsTrue)
		qt.Assert(t, time.Since(start) < 2*time.Second, qt.IsTrue, qt.Commentf("refused at once, not at the claim timeout"))
		want(t, b.Claim(ctx, call(false)), Unknown)
	})
	t.Run("a partitioned router does not run a call that another router runs", func(t *testing.T) {
		srv.SetFaults(platform.Faults{PartitionedClients: []string{"c"}})
		defer srv.SetFaults(platform.Faults{})
		c := call(true)
		want(t, newStore("c").Claim(ctx, c), Refused)
		want(t, newStore("d").Claim(ctx, c), Run)
	})
}
