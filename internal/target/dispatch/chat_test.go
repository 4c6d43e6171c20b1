package dispatch

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/caller/stream"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
	standin "hickoryrock/internal/standin/engine"
	"hickoryrock/internal/target/engine"
)

const (
	modelName = "care"
	content   = "length=9"
)

type (
	// chatFixture is a router with a dispatcher and two engines.
	chatFixture struct {
		*qt.C
		dispatcher *Dispatcher
		router     *httptest.Server
		engines    map[string]*standin.Engine
		servers    map[string]*httptest.Server
	}
)

func newChatFixture(t *testing.T) *chatFixture {
	fx := &chatFixture{C: qt.New(t), engines: map[string]*standin.Engine{}, servers: map[string]*httptest.Server{}}
	deployment := resource.ModelDeployment{Name: modelName, Service: modelName, Model: modelName, Version: "v1"}
	for _, name := range []string{"e1", "e2"} {
		e, stop := standin.New(standin.WithName(name), standin.WithTokenTime(5*time.Millisecond))
		srv := httptest.NewServer(e.Handler())
		t.Cleanup(func() {
			srv.CloseClientConnections()
			srv.Close()
			stop()
		})
		fx.engines[name], fx.servers[name] = e, srv
		target := resource.Target{Name: name, Address: srv.Listener.Addr().String(), FailureDomain: "a"}
		deployment.Targets = append(deployment.Targets, target)
	}
	client, stop := engine.New(engine.WithMetrics(metrics.NewSet()), engine.WithMaxResumes(2, 0))
	t.Cleanup(stop)
	fx.dispatcher = New(WithEngines(client), WithRelay(stream.NewRelay(stream.WithMetrics(metrics.NewSet()))))
	fx.dispatcher.SetCatalog(catalog.New([]resource.Resource{
		&resource.Service{Name: modelName, Protocol: resource.ProtocolChat, Model: modelName},
		&deployment,
		&resource.Workspace{Name: "w1", TokenSHA256: "1", Services: []string{modelName}},
		&resource.Workspace{Name: "w2", TokenSHA256: "2", Services: []string{modelName}},
	}, 1))
	fx.router = httptest.NewServer(http.HandlerFunc(fx.serve))
	t.Cleanup(fx.router.Close)
	return fx
}

// serve takes the workspace from the path: POST /w1 starts a stream and GET /w1/{token} resumes one.
func (fx *chatFixture) serve(w http.ResponseWriter, r *http.Request) {
	name, token, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	workspace, _ := fx.dispatcher.Catalog().Workspace(name)
	var f *outcome.Failure
	if token == "" {
		body, _ := json.Marshal(standin.ChatRequest{
			Model: modelName, Stream: true, Messages: []standin.Message{{Role: "user", Content: content}},
		})
		f = fx.dispatcher.Chat(r.Context(), workspace, server.Chat{Model: modelName, Conversation: "c", Stream: true, Body: body}, w)
	} else {
		resume := server.Resume{StreamID: token, LastEventID: r.Header.Get(sse.HeaderLastEventID)}
		f = fx.dispatcher.Resume(r.Context(), workspace, resume, w)
	}
	if f != nil {
		http.Error(w, string(f.Reason), http.StatusServiceUnavailable)
	}
}

func (fx *chatFixture) request(method, path, lastEvent string) *http.Response {
	req, err := http.NewRequest(method, fx.router.URL+path, nil)
	fx.Assert(err, qt.IsNil)
	req.Header.Set(sse.HeaderLastEventID, lastEvent)
	resp, err := http.DefaultClient.Do(req)
	fx.Assert(err, qt.IsNil)
	fx.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// readEvents reads up to limit events and reports whether the response ended completely.
func (fx *chatFixture) readEvents(resp *http.Response, limit int) (ids []int, complete bool) {
	reader, release := sse.NewReader(resp.Body)
	defer release()
	for len(ids) < limit {
		e, err := reader.Next()
		if err != nil || e.Kind == sse.Done {
			return ids, err == nil
		}
		if e.ID > 0 {
			ids = append(ids, e.ID)
		}
	}
	return ids, false
}

func (fx *chatFixture) setFaults(engine string, f standin.Faults) {
	data, err := json.Marshal(f)
	fx.Assert(err, qt.IsNil)
	resp, err := http.Post(fx.servers[engine].URL+"/faults", "application/json", strings.NewReader(string(data)))
	fx.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
}

func (fx *chatFixture) runs() int {
	return len(fx.engines["e1"].Runs()) + len(fx.engines["e2"].Runs())
}

func idsUpTo(n int) []int {
	ids := make([]int, n)
	for i := range ids {
		ids[i] = i + 1
	}
	return ids
}

func TestStreamIsComplete(t *testing.T) {
	fx := newChatFixture(t)
	ids, complete := fx.readEvents(fx.request("POST", "/w1", ""), 100)
	fx.Assert(complete, qt.IsTrue)
	fx.Assert(ids, qt.DeepEquals, idsUpTo(10))
}

// TestStartedResponseIsNotRetriedElsewhere stops the engine in the middle of a response: the call
// must not be retried on the other engine.
func TestStartedResponseIsNotRetriedElsewhere(t *testing.T) {
	fx := newChatFixture(t)
	resp := fx.request("POST", "/w1", "")
	reader, release := sse.NewReader(resp.Body)
	defer release()
	first, err := reader.Next()
	fx.Assert(err, qt.IsNil)
	fx.Assert(first.ID, qt.Equals, 1)
	for name, e := range fx.engines {
		if len(e.Runs()) > 0 {
			_ = fx.servers[name].Listener.Close()
			fx.servers[name].CloseClientConnections()
		}
	}
	last, complete := 1, false
	for err == nil && !complete {
		var e sse.Event
		e, err = reader.Next()
		complete = e.Kind == sse.Done
		if e.ID > 0 {
			fx.Assert(e.ID, qt.Equals, last+1)
			last = e.ID
		}
	}
	fx.Assert(complete, qt.IsFalse)
	fx.Assert(fx.runs(), qt.Equals, 1)
}

func TestRefusedStreamIsRetriedElsewhere(t *testing.T) {
	for _, name := range []string{"e1", "e2"} {
		fx := newChatFixture(t)
		fx.setFaults(name, standin.Faults{Refuse: true})
		ids, complete := fx.readEvents(fx.request("POST", "/w1", ""), 100)
		fx.Assert(complete, qt.IsTrue)
		fx.Assert(ids, qt.DeepEquals, idsUpTo(10))
		fx.Assert(fx.engines[name].Runs(), qt.HasLen, 0)
	}
}

func TestResume(t *testing.T) {
	fx := newChatFixture(t)
	resp := fx.request("POST", "/w1", "")
	token := resp.Header.Get(stream.HeaderStream)
	ids, _ := fx.readEvents(resp, 2)
	fx.Assert(ids, qt.DeepEquals, idsUpTo(2))
	_ = resp.Body.Close()

	rest, complete := fx.readEvents(fx.request("GET", "/w1/"+token, "2"), 100)
	fx.Assert(complete, qt.IsTrue)
	fx.Assert(append(ids, rest...), qt.DeepEquals, idsUpTo(10))
	fx.Assert(fx.runs(), qt.Equals, 1)

	for _, path := range []string{"/w2/" + token, "/w1/" + token[:10]} {
		fx.Assert(fx.request("GET", path, "0").StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
}

// TestPreferredEngine checks that PreferredEngine, the destination of a draining engine's KV cache,
// is the engine that the chat is sent to next.
func TestPreferredEngine(t *testing.T) {
	fx := newChatFixture(t)
	for _, leaving := range []string{"", "e1", "e2"} {
		fx.dispatcher.opts.Leaving = func(target string) bool { return target == leaving }
		before := map[string]int{}
		for name, e := range fx.engines {
			before[name] = len(e.Runs())
		}
		_, complete := fx.readEvents(fx.request("POST", "/w1", ""), 100)
		fx.Assert(complete, qt.IsTrue)
		preferred, ok := fx.dispatcher.PreferredEngine(modelName, "w1/c")
		fx.Assert(ok, qt.IsTrue)
		for name, e := range fx.engines {
			ran := len(e.Runs()) > before[name]
			fx.Assert(ran, qt.Equals, fx.servers[name].Listener.Addr().String() == preferred)
			fx.Assert(ran && name == leaving, qt.IsFalse)
		}
	}
	_, ok := fx.dispatcher.PreferredEngine("unknown", "w1/c")
	fx.Assert(ok, qt.IsFalse)
}
