package server_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/target/dispatch"
	"hickoryrock/internal/target/plain"
)

// dispatchBackend handles requests with a real dispatcher in front of a fake target.
type dispatchBackend struct {
	*fakeBackend
	*dispatch.Dispatcher
}

func (b *dispatchBackend) Workspace(token string) (*catalog.Workspace, bool) {
	return b.Catalog().WorkspaceByToken(token)
}

func (b *dispatchBackend) Chat(ctx context.Context, w *catalog.Workspace, chat server.Chat, out http.ResponseWriter) *outcome.Failure {
	return b.Dispatcher.Chat(ctx, w, chat, out)
}

func (b *dispatchBackend) Resume(ctx context.Context, w *catalog.Workspace, resume server.Resume, out http.ResponseWriter) *outcome.Failure {
	return b.Dispatcher.Resume(ctx, w, resume, out)
}

func (b *dispatchBackend) Call(ctx context.Context, w *catalog.Workspace, call server.Call) (server.CallResult, *outcome.Failure) {
	return b.Dispatcher.Call(ctx, w, call)
}

type fakePlainTarget struct{ *fakeBackend }

func (p fakePlainTarget) Call(ctx context.Context, _ plain.Call) (*plain.Result, *outcome.Failure) {
	return &plain.Result{Body: []byte("{}")}, p.handle(ctx)
}

func newDispatchBackend(opts ...dispatch.Option) *dispatchBackend {
	fake := &fakeBackend{}
	rejectAll := func(context.Context, *catalog.Workspace) (func(), *outcome.Failure) {
		return nil, outcome.NewNotRun(outcome.ReasonWorkspaceLimit, "over the limit")
	}
	opts = append([]dispatch.Option{dispatch.WithPlain(fakePlainTarget{fake}), dispatch.WithAdmit(rejectAll)}, opts...)
	b := &dispatchBackend{fakeBackend: fake, Dispatcher: dispatch.New(opts...)}
	sum := sha256.Sum256([]byte(token))
	methods := []resource.Method{{Name: "book", Semantics: resource.AtMostOnce}, {Name: "stock", Semantics: resource.Idempotent}}
	targets := []resource.Target{{Name: "order-1", Address: "127.0.0.1:1", FailureDomain: "a"}}
	b.SetCatalog(catalog.New([]resource.Resource{
		&resource.Service{Name: "bookings", Protocol: resource.ProtocolPlain, Methods: methods, Targets: targets},
		&resource.Service{Name: "private", Protocol: resource.ProtocolPlain, Methods: methods, Targets: targets},
		&resource.Workspace{Name: "w1", TokenSHA256: hex.EncodeToString(sum[:]), Services: []string{"bookings"}},
	}, 1))
	return b
}

func TestDispatcherRejects(t *testing.T) {
	for name, c := range map[string]struct {
		path, key, attempt string
		want               expectedProblem
	}{
		"another workspace's service": {"/v1/services/private/methods/book", key, "1", expectedProblem{403, outcome.ReasonForbidden, outcome.NotRun}},
		"unknown service":             {"/v1/services/unknown/methods/book", key, "1", expectedProblem{404, outcome.ReasonNotFound, outcome.NotRun}},
		"unknown method":              {"/v1/services/bookings/methods/unknown", key, "1", expectedProblem{404, outcome.ReasonNotFound, outcome.NotRun}},
		"no key":                      {pathBook, "", "1", expectedProblem{400, outcome.ReasonKeyRequired, outcome.NotRun}},
		"over the workspace's limit":  {pathBook, key, "1", expectedProblem{429, outcome.ReasonWorkspaceLimit, outcome.NotRun}},

		// An earlier attempt may have run before the configuration changed.
		"repeated key, service withdrawn": {"/v1/services/private/methods/book", key, "2", expectedProblem{403, outcome.ReasonForbidden, outcome.Unknown}},
		"repeated key, service removed":   {"/v1/services/unknown/methods/book", key, "2", expectedProblem{404, outcome.ReasonNotFound, outcome.Unknown}},
		"repeated key, method removed":    {"/v1/services/bookings/methods/unknown", key, "2", expectedProblem{404, outcome.ReasonNotFound, outcome.Unknown}},
		"repeated key, over the limit":    {pathBook, key, "2", expectedProblem{502, outcome.ReasonWorkspaceLimit, outcome.Unknown}},
		"repeated lookup, over the limit": {"/v1/services/bookings/methods/stock", key, "2", expectedProblem{429, outcome.ReasonWorkspaceLimit, outcome.NotRun}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newDispatchBackend()
			headers := keyHeaders(c.key, c.attempt)
			if c.key == "" {
				headers.Del("Idempotency-Key")
			}
			assertProblem(t, testRequest{"POST", c.path, "{}", headers}.send(t, newTestServer(t, b)), c.want)
			qt.Assert(t, b.calls.Load(), qt.Equals, int32(0))
		})
	}
}

func TestUnknownModel(t *testing.T) {
	b := newDispatchBackend()
	resp := testRequest{"POST", pathChat, chat, nil}.send(t, newTestServer(t, b))
	assertProblem(t, resp, expectedProblem{404, outcome.ReasonNotFound, outcome.NotRun})
}

func TestMalformedKey(t *testing.T) {
	admit := func(context.Context, *catalog.Workspace) (func(), *outcome.Failure) { return func() {}, nil }
	for name, malformed := range map[string]string{"no UUID": "abc", "another version": "6ba7b810-9dad-41d1-80b4-00c04fd430c8"} {
		t.Run(name, func(t *testing.T) {
			b := newDispatchBackend(dispatch.WithAdmit(admit))
			resp := testRequest{"POST", pathBook, "{}", keyHeaders(malformed, "1")}.send(t, newTestServer(t, b))
			assertProblem(t, resp, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun})
			qt.Assert(t, b.calls.Load(), qt.Equals, int32(0))
		})
	}
}
