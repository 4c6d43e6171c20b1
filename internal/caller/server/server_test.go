package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/api/caller/callerapi"
	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
)

const (
	token       = "token"
	key         = "019aeb8e-3c00-7000-8000-000000000001"
	pathBook    = "/v1/services/bookings/methods/book"
	pathChat    = "/v1/chat/completions"
	pathModels  = "/v1/models"
	chat        = `{"model":"care","messages":[{"role":"user","content":"hello"}]}`
	maxBody     = 1 << 10
	maxHeader   = 4 << 10
	bodyTimeout = 200 * time.Millisecond
)

type (
	// fakeBackend counts and records the requests that reach it.
	fakeBackend struct {
		ready    *outcome.Failure
		failure  *outcome.Failure
		calls    atomic.Int32
		lastCall server.Call
		lastChat server.Chat
		// onCall, if not nil, is called by each call, chat and resume.
		onCall func(ctx context.Context) *outcome.Failure
	}

	// testRequest describes an HTTP request; headers override the defaults.
	testRequest struct {
		method, path, body string
		headers            http.Header
	}

	// expectedProblem holds the fields of a problem document that are compared.
	expectedProblem struct {
		status  int
		reason  outcome.Reason
		outcome outcome.Status
	}
)

func (b *fakeBackend) Ready() *outcome.Failure { return b.ready }

func (b *fakeBackend) Workspace(t string) (*catalog.Workspace, bool) {
	return &catalog.Workspace{Workspace: resource.Workspace{Name: "w1"}}, t == token
}

func (b *fakeBackend) Address(string) server.Address {
	return server.Address{Address: "127.0.0.1:1", TTL: time.Minute}
}

func (b *fakeBackend) Models(*catalog.Workspace) []string { return []string{"care", "stitch"} }

func (b *fakeBackend) handle(ctx context.Context) *outcome.Failure {
	b.calls.Add(1)
	if b.onCall != nil {
		return b.onCall(ctx)
	}
	return b.failure
}

func (b *fakeBackend) Call(ctx context.Context, _ *catalog.Workspace, call server.Call) (server.CallResult, *outcome.Failure) {
	b.lastCall = call
	return server.CallResult{Body: []byte(`{"run":1}`)}, b.handle(ctx)
}

func (b *fakeBackend) Chat(ctx context.Context, _ *catalog.Workspace, chat server.Chat, out http.ResponseWriter) *outcome.Failure {
	b.lastChat = chat
	return b.respond(ctx, out)
}

func (b *fakeBackend) Resume(ctx context.Context, _ *catalog.Workspace, _ server.Resume, out http.ResponseWriter) *outcome.Failure {
	return b.respond(ctx, out)
}

func (b *fakeBackend) respond(ctx context.Context, out http.ResponseWriter) *outcome.Failure {
	if f := b.handle(ctx); f != nil {
		return f
	}
	_, _ = out.Write([]byte("{}"))
	return nil
}

func newTestServer(t *testing.T, b server.Backend, opts ...server.Option) *httptest.Server {
	opts = append([]server.Option{server.WithMaxBodyBytes(maxBody), server.WithBodyTimeout(bodyTimeout)}, opts...)
	s, err := server.New(b, opts...)
	qt.Assert(t, err, qt.IsNil)
	srv := httptest.NewUnstartedServer(s.Handler())
	srv.Config.MaxHeaderBytes = maxHeader
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}

func (r testRequest) send(t *testing.T, srv *httptest.Server) *http.Response {
	t.Helper()
	req, err := http.NewRequest(r.method, srv.URL+r.path, strings.NewReader(r.body))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	for name, values := range r.headers {
		req.Header[name] = values
	}
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp
}

func assertProblem(t *testing.T, resp *http.Response, want expectedProblem) callerapi.Problem {
	t.Helper()
	qt.Assert(t, resp.Header.Get("Content-Type"), qt.Contains, "application/problem+json")
	var p callerapi.Problem
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&p), qt.IsNil)
	got := expectedProblem{resp.StatusCode, outcome.Reason(p.Reason), outcome.Status(p.Outcome)}
	qt.Assert(t, got, qt.Equals, want, qt.Commentf("%s", p.Detail.Or("")))
	qt.Assert(t, p.Status, qt.Equals, want.status)
	return p
}

func keyHeaders(key, attempt string) http.Header {
	return http.Header{"Idempotency-Key": {key}, "Idempotency-Attempt": {attempt}}
}

func TestInvalidRequests(t *testing.T) {
	large := `{"text":"` + strings.Repeat("x", maxBody) + `"}`
	for name, c := range map[string]struct {
		testRequest
		want expectedProblem
	}{
		"call over the limit":     {testRequest{"POST", pathBook, large, nil}, expectedProblem{413, outcome.ReasonTooLarge, outcome.NotRun}},
		"chat over the limit":     {testRequest{"POST", pathChat, large, nil}, expectedProblem{413, outcome.ReasonTooLarge, outcome.NotRun}},
		"call with invalid JSON":  {testRequest{"POST", pathBook, `{"a":`, nil}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun}},
		"call with two values":    {testRequest{"POST", pathBook, `{} {}`, nil}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun}},
		"call without a body":     {testRequest{"POST", pathBook, "", nil}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun}},
		"chat with invalid JSON":  {testRequest{"POST", pathChat, `{"model"`, nil}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun}},
		"chat without a model":    {testRequest{"POST", pathChat, `{"messages":[{"role":"user"}]}`, nil}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun}},
		"chat without messages":   {testRequest{"POST", pathChat, `{"model":"care","messages":[]}`, nil}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun}},
		"call with wrong type":    {testRequest{"POST", pathBook, "a=1", http.Header{"Content-Type": {"text/plain"}}}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun}},
		"key over the limit":      {testRequest{"POST", pathBook, "{}", keyHeaders(strings.Repeat("k", 65), "1")}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun}},
		"attempt not a number":    {testRequest{"POST", pathBook, "{}", http.Header{"Idempotency-Attempt": {"first"}}}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.NotRun}},
		"call without a token":    {testRequest{"POST", pathBook, "{}", http.Header{"Authorization": nil}}, expectedProblem{401, outcome.ReasonUnauthorized, outcome.NotRun}},
		"chat without a token":    {testRequest{"POST", pathChat, chat, http.Header{"Authorization": nil}}, expectedProblem{401, outcome.ReasonUnauthorized, outcome.NotRun}},
		"stream without a token":  {testRequest{"GET", "/v1/streams/s", "", http.Header{"Authorization": nil}}, expectedProblem{401, outcome.ReasonUnauthorized, outcome.NotRun}},
		"models without a token":  {testRequest{"GET", pathModels, "", http.Header{"Authorization": nil}}, expectedProblem{401, outcome.ReasonUnauthorized, outcome.NotRun}},
		"call with a wrong token": {testRequest{"POST", pathBook, "{}", http.Header{"Authorization": {"Bearer x"}}}, expectedProblem{401, outcome.ReasonUnauthorized, outcome.NotRun}},
		"chat with a wrong token": {testRequest{"POST", pathChat, chat, http.Header{"Authorization": {"Bearer x"}}}, expectedProblem{401, outcome.ReasonUnauthorized, outcome.NotRun}},
		"unknown path":            {testRequest{"GET", "/v1/unknown", "", nil}, expectedProblem{404, outcome.ReasonNotFound, outcome.NotRun}},
		"path that is not clean":  {testRequest{"POST", "/v1//chat/completions", chat, nil}, expectedProblem{404, outcome.ReasonNotFound, outcome.NotRun}},
		"path with dot segments":  {testRequest{"POST", "/v1/x/../chat/completions", chat, nil}, expectedProblem{404, outcome.ReasonNotFound, outcome.NotRun}},
		"call with GET":           {testRequest{"GET", pathBook, "", nil}, expectedProblem{405, outcome.ReasonMethodNotAllowed, outcome.NotRun}},
		"models with POST":        {testRequest{"POST", pathModels, "{}", nil}, expectedProblem{405, outcome.ReasonMethodNotAllowed, outcome.NotRun}},
		"chat with GET":           {testRequest{"GET", pathChat, "", nil}, expectedProblem{405, outcome.ReasonMethodNotAllowed, outcome.NotRun}},
		"stream with POST":        {testRequest{"POST", "/v1/streams/s", "{}", nil}, expectedProblem{405, outcome.ReasonMethodNotAllowed, outcome.NotRun}},

		// An earlier attempt with the key may have run.
		"repeated call over the limit":      {testRequest{"POST", pathBook, large, keyHeaders(key, "2")}, expectedProblem{413, outcome.ReasonTooLarge, outcome.Unknown}},
		"repeated call with invalid JSON":   {testRequest{"POST", pathBook, `{"a":`, keyHeaders(key, "2")}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.Unknown}},
		"key without attempt, invalid JSON": {testRequest{"POST", pathBook, `{"a":`, http.Header{"Idempotency-Key": {key}}}, expectedProblem{400, outcome.ReasonInvalidRequest, outcome.Unknown}},
		"repeated call with a wrong token": {
			testRequest{"POST", pathBook, "{}", http.Header{
				"Authorization": {"Bearer x"}, "Idempotency-Key": {key}, "Idempotency-Attempt": {"2"},
			}}, expectedProblem{401, outcome.ReasonUnauthorized, outcome.Unknown},
		},
		"first call with a wrong token": {
			testRequest{"POST", pathBook, "{}", http.Header{
				"Authorization": {"Bearer x"}, "Idempotency-Key": {key}, "Idempotency-Attempt": {"1"},
			}}, expectedProblem{401, outcome.ReasonUnauthorized, outcome.NotRun},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := &fakeBackend{}
			assertProblem(t, c.send(t, newTestServer(t, b)), c.want)
			qt.Assert(t, b.calls.Load(), qt.Equals, int32(0))
		})
	}
}

func TestHeaderTooLarge(t *testing.T) {
	b := &fakeBackend{}
	r := testRequest{"POST", pathBook, "{}", http.Header{"X-Long": {strings.Repeat("x", 4*maxHeader)}}}
	qt.Assert(t, r.send(t, newTestServer(t, b)).StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	qt.Assert(t, b.calls.Load(), qt.Equals, int32(0))
}

// TestBodyTimeout sends an incomplete body and keeps the connection open.
func TestBodyTimeout(t *testing.T) {
	for _, path := range []string{pathBook, pathChat} {
		t.Run(path, func(t *testing.T) {
			b := &fakeBackend{}
			conn, err := net.Dial("tcp", newTestServer(t, b).Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer "+token+
				"\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			response, err := io.ReadAll(conn)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", response))
			qt.Assert(t, string(response), qt.Matches, `(?s)HTTP/1.1 400 .*application/problem\+json.*"outcome":"not-run".*`)
			qt.Assert(t, b.calls.Load(), qt.Equals, int32(0))
		})
	}
}

// TestBodyTimeoutExcludesResponse checks that a handler may take longer than the body timeout.
func TestBodyTimeoutExcludesResponse(t *testing.T) {
	for name, r := range map[string]testRequest{
		"call":   {"POST", pathBook, "{}", nil},
		"chat":   {"POST", pathChat, chat, nil},
		"resume": {"GET", "/v1/streams/s", "", nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := &fakeBackend{onCall: func(ctx context.Context) *outcome.Failure {
				select {
				case <-ctx.Done():
					return outcome.NewUnknown(outcome.ReasonCancelled, "request context cancelled")
				case <-time.After(3 * bodyTimeout):
					return nil
				}
			}}
			qt.Assert(t, r.send(t, newTestServer(t, b)).StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

func TestMaxInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	b := &fakeBackend{onCall: func(context.Context) *outcome.Failure {
		close(started)
		<-release
		return nil
	}}
	srv := newTestServer(t, b, server.WithMaxInFlight(1))
	defer releaseOnce()
	done := make(chan int, 1)
	go func() { done <- testRequest{"POST", pathChat, chat, nil}.send(t, srv).StatusCode }()
	<-started
	for attempt, want := range map[string]expectedProblem{
		"1": {503, outcome.ReasonOverloaded, outcome.NotRun}, "2": {502, outcome.ReasonOverloaded, outcome.Unknown},
	} {
		resp := testRequest{"POST", pathBook, "{}", keyHeaders(key, attempt)}.send(t, srv)
		assertProblem(t, resp, want)
		qt.Assert(t, resp.Header.Get("Retry-After"), qt.Equals, "1")
	}
	releaseOnce()
	qt.Assert(t, <-done, qt.Equals, http.StatusOK)
	qt.Assert(t, b.calls.Load(), qt.Equals, int32(1))
}

// TestNotReady checks that an unknown token gets the failure of Ready while the router is not ready.
func TestNotReady(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.ReasonNotReady, outcome.ReasonLeaving, outcome.ReasonIsolated} {
		t.Run(string(reason), func(t *testing.T) {
			for attempt, want := range map[string]expectedProblem{
				"1": {503, reason, outcome.NotRun}, "2": {502, reason, outcome.Unknown},
			} {
				f := outcome.NewNotRun(reason, "not now").WithRetryAfter(1500 * time.Millisecond)
				f.Address = "127.0.0.1:2"
				b := &fakeBackend{ready: f}
				headers := keyHeaders(key, attempt)
				headers.Set("Authorization", "Bearer other")
				resp := testRequest{"POST", pathBook, "{}", headers}.send(t, newTestServer(t, b))
				p := assertProblem(t, resp, want)
				qt.Assert(t, p.Address.Or(""), qt.Equals, f.Address)
				qt.Assert(t, resp.Header.Get("Retry-After"), qt.Equals, "2")
				qt.Assert(t, b.calls.Load(), qt.Equals, int32(0))
			}
		})
	}
}

// TestBackendOutcomePassedThrough checks that a failure from the backend keeps its outcome, even with
// a repeated key.
func TestBackendOutcomePassedThrough(t *testing.T) {
	b := &fakeBackend{failure: outcome.NewNotRun(outcome.ReasonTargetRefused, "recorded as not run")}
	resp := testRequest{"POST", pathBook, "{}", keyHeaders(key, "2")}.send(t, newTestServer(t, b))
	assertProblem(t, resp, expectedProblem{503, outcome.ReasonTargetRefused, outcome.NotRun})
	qt.Assert(t, b.calls.Load(), qt.Equals, int32(1))
}

func TestCall(t *testing.T) {
	b := &fakeBackend{}
	resp := testRequest{"POST", pathBook, `{"coats":12}`, keyHeaders(key, "1")}.send(t, newTestServer(t, b))
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, b.lastCall, qt.DeepEquals, server.Call{Service: "bookings", Method: "book", Key: key, FirstAttempt: true, Body: []byte(`{"coats":12}`)})
}

// TestChatRequestVariants sends requests as common OpenAI clients do.
func TestChatRequestVariants(t *testing.T) {
	const parts = `[{"type":"text","text":"hello"},{"type":"image_url","image_url":{"url":"data:,"}}]`
	for name, c := range map[string]struct {
		body   string
		stream bool
	}{
		"content as text":  {chat, false},
		"content as parts": {`{"model":"care","messages":[{"role":"user","content":` + parts + `}]}`, false},
		"streamed": {
			`{"model":"care","messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}],"stream":true,"stream_options":{"include_usage":true}}`, true,
		},
		"other fields": {`{"model":"care","stream":false,"messages":[{"role":"user","content":"u","name":"n"}],"temperature":0.2,"user":"clerk-7","n":1,"stop":null}`, false},
		"tool calls":   {`{"model":"care","messages":[{"role":"user","content":"u"},{"role":"assistant","content":null,"tool_calls":[]}],"tools":[]}`, false},
		"null fields":  {`{"model":"care","messages":[{"role":"user","content":"u"}],"stream":null,"max_tokens":null}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &fakeBackend{}
			headers := http.Header{"Authorization": {"bearer " + token}}
			qt.Assert(t, testRequest{"POST", pathChat, c.body, headers}.send(t, newTestServer(t, b)).StatusCode, qt.Equals, http.StatusOK)
			qt.Assert(t, b.lastChat.Model, qt.Equals, "care")
			qt.Assert(t, b.lastChat.Stream, qt.Equals, c.stream)
			qt.Assert(t, string(b.lastChat.Body), qt.Equals, c.body)
		})
	}
}

// TestConversationID checks that a growing conversation keeps its ID and that different conversations
// have different IDs.
func TestConversationID(t *testing.T) {
	b := &fakeBackend{}
	srv := newTestServer(t, b)
	conversationOf := func(body string) string {
		qt.Assert(t, testRequest{"POST", pathChat, body, nil}.send(t, srv).StatusCode, qt.Equals, http.StatusOK)
		return b.lastChat.Conversation
	}
	first := conversationOf(chat)
	grown := `{"model":"care","messages":[{"role":"user","content":"hello"},{"role":"assistant","content":"hi"},{"role":"user","content":"more"}]}`
	qt.Assert(t, conversationOf(grown), qt.Equals, first)
	qt.Assert(t, conversationOf(strings.Replace(chat, "hello", "other", 1)), qt.Not(qt.Equals), first)
	qt.Assert(t, conversationOf(`{"prompt_cache_key":"k",`+chat[1:]), qt.Equals, "k")
}

func TestModels(t *testing.T) {
	resp := testRequest{"GET", pathModels, "", nil}.send(t, newTestServer(t, &fakeBackend{}))
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.JSONEquals, map[string]any{"object": "list", "data": []any{
		map[string]any{"id": "care", "object": "model", "owned_by": "hickoryrock"},
		map[string]any{"id": "stitch", "object": "model", "owned_by": "hickoryrock"},
	}})
}
