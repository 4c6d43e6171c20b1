package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// harness serves one engine over loopback HTTP.
type harness struct {
	*qt.C
	engine *Engine
	server *httptest.Server
}

func newHarness(t *testing.T, opts ...Option) *harness {
	e, stop := New(opts...)
	srv := httptest.NewUnstartedServer(e.Handler())
	srv.Config.ConnContext = e.Connections().ConnContext
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		stop()
	})
	return &harness{C: qt.New(t), engine: e, server: srv}
}

// do makes a request, decodes the response body into v unless v is nil, and returns the status.
func (h *harness) do(method, path string, body, v any) int {
	h.Helper()
	data, err := json.Marshal(body)
	h.Assert(err, qt.IsNil)
	req, err := http.NewRequest(method, h.server.URL+path, bytes.NewReader(data))
	h.Assert(err, qt.IsNil)
	req.Header.Set(HeaderConversation, "c1")
	resp, err := http.DefaultClient.Do(req)
	h.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	if v != nil {
		h.Assert(json.NewDecoder(resp.Body).Decode(v), qt.IsNil)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (h *harness) chat(content string) chunk {
	h.Helper()
	var answer chunk
	status := h.do("POST", "/v1/chat/completions", chatRequest(content), &answer)
	h.Assert(status, qt.Equals, http.StatusOK)
	return answer
}

// startChat sends a chat request in the background and waits until the engine has received it.
func (h *harness) startChat(req ChatRequest) {
	before := len(h.engine.Runs())
	data, err := json.Marshal(req)
	h.Assert(err, qt.IsNil)
	go func() {
		resp, err := http.Post(h.server.URL+"/v1/chat/completions", "application/json", bytes.NewReader(data))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	h.waitFor("the request arrives", func() bool { return len(h.engine.Runs()) > before })
}

func (h *harness) load() Load {
	var l Load
	h.do("GET", "/load", nil, &l)
	return l
}

func chatRequest(content string) ChatRequest {
	return ChatRequest{Model: "care", Messages: []Message{{Role: "user", Content: content}}}
}

// waitFor polls a condition and fails the test if it does not hold within 5 s.
func (h *harness) waitFor(what string, ok func() bool) {
	h.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	h.Fatalf("timed out: %s", what)
}

func TestSlotsAndPriorities(t *testing.T) {
	h := newHarness(t, WithSlots(1), WithTokenTime(5*time.Millisecond))
	send := func(content string, priority int) {
		req := chatRequest(content)
		req.Priority = priority
		h.startChat(req)
	}
	send("length=40", 0)
	h.waitFor("the first request runs", func() bool { return h.load().InFlight == 1 })
	send("length=1 late", 9)
	send("length=2 urgent", 1)
	h.waitFor("two requests are queued", func() bool { return h.load().Queued == 2 })
	h.waitFor("the urgent request is done", func() bool { return h.engine.Runs()[2].Outcome == finishStop })
	h.Assert(h.engine.Runs()[0].Outcome, qt.Equals, finishStop)
	h.waitFor("all requests are done", func() bool { return h.load().InFlight+h.load().Queued == 0 })
}

func TestPrefixCache(t *testing.T) {
	h := newHarness(t, WithCacheTokens(40), WithCacheEvents(0, 2))
	first := h.chat("length=10 a b c")
	h.Assert(first.Usage.PromptTokensDetails.CachedTokens, qt.Equals, 0)

	req := chatRequest("length=10 a b c")
	req.Messages = append(req.Messages, *first.Choices[0].Message, Message{Role: "user", Content: "length=2 more"})
	var second chunk
	h.do("POST", "/v1/chat/completions", req, &second)
	h.Assert(second.Usage.PromptTokensDetails.CachedTokens, qt.Equals, 5+11)

	var kv KV
	h.Assert(h.do("GET", "/kv/c1", nil, &kv), qt.Equals, http.StatusOK)
	other := newHarness(t)
	h.Assert(other.do("POST", "/kv/c1", kv, nil), qt.Equals, http.StatusNoContent)
	h.Assert(other.chat("length=10 a b c").Usage.PromptTokensDetails.CachedTokens, qt.Equals, 5)

	h.chat("length=30 " + strings.Repeat("x ", 5))
	h.Assert(h.chat("length=10 a b c").Usage.PromptTokensDetails.CachedTokens, qt.Equals, 0)
	var events []CacheEvent
	h.do("GET", "/cache-events?after=2", nil, &events)
	h.Assert(events[0].Sequence, qt.Equals, 3)
	h.Assert(events[1].Sequence, qt.Equals, 5)
}

func TestOrderFencing(t *testing.T) {
	order := func(fencing uint64, version string) Order {
		return Order{Kind: orderLoadModel, Model: "care", Version: version, Fencing: fencing}
	}
	for name, c := range map[string]struct {
		opts    []Option
		status  int
		version string
	}{
		"checked": {[]Option{WithModels("other"), WithFencing()}, http.StatusConflict, "v2"},
		"ignored": {[]Option{WithModels("other")}, http.StatusNoContent, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.opts...)
			h.Assert(h.do("POST", "/v1/chat/completions", chatRequest("x"), nil), qt.Equals, http.StatusServiceUnavailable)
			h.Assert(h.do("POST", "/orders", order(7, "v2"), nil), qt.Equals, http.StatusNoContent)
			h.Assert(h.do("POST", "/orders", order(6, "v1"), nil), qt.Equals, c.status)
			h.Assert(h.load().Models["care"], qt.Equals, c.version)
			h.Assert(h.load().Fencing, qt.Equals, uint64(7))
			h.chat("x")
		})
	}
}

func TestLoadReportLag(t *testing.T) {
	h := newHarness(t, WithLoadLag(300*time.Millisecond), WithTokenTime(time.Second))
	h.startChat(chatRequest("length=100"))
	h.Assert(h.load().InFlight, qt.Equals, 0)
	h.waitFor("the load report shows the request", func() bool { return h.load().InFlight == 1 })
}

func TestUnreadAnswerIsCancelled(t *testing.T) {
	h := newHarness(t, WithTokenTime(5*time.Millisecond), WithResumeGrace(20*time.Millisecond))
	req := chatRequest("length=1000")
	req.Stream = true
	data, err := json.Marshal(req)
	h.Assert(err, qt.IsNil)
	resp, err := http.Post(h.server.URL+"/v1/chat/completions", "application/json", bytes.NewReader(data))
	h.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	h.waitFor("the answer is cancelled", func() bool { return h.load().Cancelled == 1 })
}

func TestFlappingAlternatesRefusals(t *testing.T) {
	h := newHarness(t)
	h.do("POST", "/faults", Faults{FlapMillis: 20}, nil)
	seen := map[int]bool{}
	h.waitFor("the engine both refuses and accepts requests", func() bool {
		seen[h.do("POST", "/v1/chat/completions", chatRequest("length=1"), nil)] = true
		return seen[http.StatusOK] && seen[http.StatusServiceUnavailable]
	})
}
