package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/retries"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/target/http1client"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

type fixture struct {
	*qt.C
	view       atomic.Pointer[state.View]
	listener   net.Listener
	handler    *forward.Handler
	server     *ingress.Server
	targets    []*rawserver.Server
	stops      []func()
	cacheIndex *affinity.CacheIndex
	budgets    *retries.Budgets
	tracker    *targetstats.Tracker
}

type response struct {
	*http1.Response
	body string
	err  error
}

func routes() []state.Route {
	shares := []state.WeightedService{{Service: "s", Weight: 1}}
	return []state.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Timeout: 400 * time.Millisecond, MaxAttempts: 1, Services: shares},
		{
			Name: "safe", Host: "h", Prefix: "/safe/", Timeout: time.Second, LatencyObjective: 100 * time.Millisecond,
			MaxAttempts: 2, Idempotent: true, Services: shares,
		},
		{Name: "stream", Host: "h", Prefix: "/stream/", Timeout: time.Second, MaxAttempts: 1, Streaming: true, Services: shares},
		{
			Name: "resume", Host: "h", Prefix: "/resume/", Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond,
			MaxEventGap: 250 * time.Millisecond, MaxAttempts: 2, Streaming: true, Resumable: true, Services: shares,
		},
		{
			Name: "replay", Host: "h", Prefix: "/replay/", Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond,
			MaxEventGap: 250 * time.Millisecond, MaxAttempts: 2, Streaming: true, Idempotent: true, Services: shares,
		},
		{
			Name: "chat", Host: "h", Prefix: "/chat/", Timeout: time.Second, LatencyObjective: 400 * time.Millisecond,
			MaxAttempts: 1, Sticky: true, Services: shares,
		},
		{
			Name: "talk", Host: "h", Prefix: "/talk/", Timeout: 3 * time.Second, LatencyObjective: 300 * time.Millisecond,
			MaxEventGap: 250 * time.Millisecond, MaxAttempts: 2, Streaming: true, Resumable: true, Sticky: true, Services: shares,
		},
		{Name: "open", Host: "h", Prefix: "/open/", Timeout: time.Second, MaxAttempts: 1, Public: true, Services: shares},
	}
}

// newFixture starts a router in front of targets that all run the same script.
func newFixture(t *testing.T, targets int, script rawserver.Handler, opts ...func(*forward.Config)) *fixture {
	start := func() (*rawserver.Server, func(), error) { return rawserver.New(script) }
	return newFixtureOf(t, targets, start, opts...)
}

// newFixtureOf starts a router in front of targets that start starts.
func newFixtureOf(
	t *testing.T, targets int, start func() (*rawserver.Server, func(), error), opts ...func(*forward.Config),
) *fixture {
	f := &fixture{
		C: qt.New(t), cacheIndex: affinity.NewCacheIndex(), budgets: retries.NewBudgets(),
		tracker: targetstats.NewTracker(func(targetstats.Change) {}),
	}
	var list []*state.Target
	for i := range targets {
		server, stop, err := start()
		f.Assert(err, qt.IsNil)
		t.Cleanup(stop)
		f.targets, f.stops = append(f.targets, server), append(f.stops, stop)
		list = append(list, &state.Target{ID: fmt.Sprint("i-", i), Service: "s", Address: server.Address()})
	}
	configuration := &state.Configuration{
		Version: 1, Routes: routes(), Limits: platform.DefaultLimits(),
		Workspaces: map[string]state.Workspace{"key": {Name: "w"}},
	}
	configuration.Index()
	f.view.Store(&state.View{Configuration: configuration, Targets: state.NewTargets(list)})
	pool, closePool := http1client.New()
	t.Cleanup(closePool)
	config := forward.Config{
		View: f.view.Load, Pool: pool, TargetHealth: f.tracker,
		CacheIndex: f.cacheIndex, Budgets: f.budgets, LoadFactor: 2, Log: zerolog.Nop(),
		OnLeaving: f.setLeaving,
	}
	for _, opt := range opts {
		opt(&config)
	}
	f.handler = forward.New(config)
	f.server = ingress.New(f.handler, platform.DefaultLimits, zerolog.Nop())
	var err error
	f.listener, err = net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = f.listener.Close() })
	go f.server.Serve(f.listener)
	return f
}

func withResponseMemory(bytes int64) func(*forward.Config) {
	return func(c *forward.Config) { c.ResponseMemory = bytes }
}

// setLeaving publishes a view with a target that has said that it leaves.
func (f *fixture) setLeaving(hash uint64) {
	view := f.view.Load()
	var targets []*state.Target
	for _, old := range view.Targets.ByService["s"] {
		t := *old
		if t.Hash == hash {
			t.Draining, t.Leaving = true, true
		}
		targets = append(targets, &t)
	}
	f.view.Store(&state.View{Configuration: view.Configuration, Targets: state.NewTargets(targets)})
}

func (f *fixture) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp4", f.listener.Addr().String())
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

func (f *fixture) call(path string) response {
	return f.send(platformtest.Request(path, platformtest.AuthorizationLine, "hello"))
}

func (f *fixture) send(raw string) response {
	c, r := f.dial()
	_, err := io.WriteString(c, raw)
	f.Assert(err, qt.IsNil)
	return readResponse(r)
}

func readResponse(r *bufio.Reader) response {
	head, err := http1.ReadResponse(r, 16<<10, "POST")
	if err != nil {
		return response{err: err}
	}
	body, err := io.ReadAll(http1.Body(r, head.Length))
	return response{Response: head, body: string(body), err: err}
}

func (f *fixture) targetRequests() int {
	n := 0
	for _, t := range f.targets {
		n += len(t.Requests())
	}
	return n
}

// awaitRequests waits until the targets have received n requests.
func (f *fixture) awaitRequests(n int) {
	f.Helper()
	for deadline := time.Now().Add(2 * time.Second); f.targetRequests() < n; time.Sleep(time.Millisecond) {
		f.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d of %d requests", f.targetRequests(), n))
	}
}

func (f *fixture) assertResponse(got response, status int, body string) {
	f.Helper()
	f.Assert(got.err, qt.IsNil)
	f.Assert(got.Status, qt.Equals, status)
	f.Assert(got.body, qt.Equals, body)
}

func always(status, lines, body string) rawserver.Handler {
	return func(c net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(c, platformtest.Response(r, status, lines, body))
		return err == nil
	}
}

func reset(c net.Conn, _ rawserver.Request) bool {
	rawserver.Reset(c)
	return false
}
