package drain

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	standin "hickoryrock/internal/standin/engine"
	"hickoryrock/internal/target/engine"
)

type fixture struct {
	*qt.C
	client  *engine.Client
	drainer *Drainer
}

func newFixture(t *testing.T) *fixture {
	client, stop := engine.New(engine.WithMetrics(metrics.NewSet()))
	t.Cleanup(stop)
	drainer := New(client, WithPolling(5*time.Millisecond, 3), WithMetrics(metrics.NewSet()))
	return &fixture{C: qt.New(t), client: client, drainer: drainer}
}

func (fx *fixture) engine(opts ...standin.Option) (e *standin.Engine, address string) {
	e, stop := standin.New(opts...)
	srv := httptest.NewServer(e.Handler())
	fx.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		stop()
	})
	return e, srv.Listener.Addr().String()
}

func (fx *fixture) request(address, conversation, content string) engine.Request {
	body, err := json.Marshal(standin.ChatRequest{
		Model: "care", Stream: true, Messages: []standin.Message{{Role: "user", Content: content}},
	})
	fx.Assert(err, qt.IsNil)
	return engine.Request{Address: address, ID: conversation + "-1", Conversation: conversation, Body: body}
}

func (fx *fixture) begin(r engine.Request) *engine.Stream {
	s, f := fx.client.Stream(context.Background(), r)
	fx.Assert(f == nil, qt.IsTrue, qt.Commentf("%v", f))
	fx.Assert(s.Next(), qt.IsTrue)
	return s
}

func (fx *fixture) finish(s *engine.Stream) {
	for s.Next() {
	}
	fx.Assert(s.Complete(), qt.IsTrue, qt.Commentf("%v", s.Failure()))
	s.Detach()
}

func TestRun(t *testing.T) {
	fx := newFixture(t)
	source, from := fx.engine(standin.WithTokenTime(2 * time.Millisecond))
	destination, to := fx.engine()
	fx.finish(fx.begin(fx.request(from, "w1/old", "length=2")))
	fx.finish(fx.begin(fx.request(from, "w1/new", "length=2")))
	inFlight := fx.begin(fx.request(from, "w1/new", "length=40"))

	reports := make(chan Report, 1)
	go func() {
		reports <- fx.drainer.Run(context.Background(), from, func(string) (string, bool) { return to, true })
	}()
	for drained := false; !drained; {
		l, f := fx.client.Load(context.Background(), from)
		drained = f == nil && l.Draining
	}
	_, f := fx.client.Stream(context.Background(), fx.request(from, "w1/late", "hello"))
	fx.Assert(f, qt.IsNotNil)
	fx.Assert(f.Status, qt.Equals, outcome.NotRun)
	fx.finish(inFlight)
	fx.Assert(<-reports, qt.Equals, Report{Moved: 2})
	fx.Assert(source.Runs(), qt.HasLen, 3)

	fx.finish(fx.begin(fx.request(to, "w1/new", "length=40")))
	// The chat was moved again after its response completed, so its last prompt is cached.
	fx.Assert(destination.Runs()[0].Usage.PromptTokensDetails.CachedTokens > 0, qt.IsTrue)
}

func TestRunTimeout(t *testing.T) {
	fx := newFixture(t)
	_, from := fx.engine(standin.WithTokenTime(time.Second))
	s, f := fx.client.Stream(context.Background(), fx.request(from, "w1/long", "length=500"))
	fx.Assert(f == nil, qt.IsTrue)
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r := fx.drainer.Run(ctx, from, func(string) (string, bool) { return "", false })
	fx.Assert(r.Remaining, qt.Equals, 1)
	fx.Assert(r.Failure, qt.IsNotNil)
}

func TestRunWithoutDestination(t *testing.T) {
	fx := newFixture(t)
	_, from := fx.engine()
	fx.finish(fx.begin(fx.request(from, "w1/c", "length=2")))
	r := fx.drainer.Run(context.Background(), from, func(string) (string, bool) { return "", false })
	fx.Assert(r, qt.Equals, Report{Lost: 1})
	r = fx.drainer.Run(context.Background(), "127.0.0.1:1", nil)
	fx.Assert(r.Failure.Status, qt.Equals, outcome.NotRun)
}

// fakeEngines counts drains; draining the engine with the address "bad" fails.
type fakeEngines struct {
	mu     sync.Mutex
	drains map[string]int
}

func (f *fakeEngines) Drain(_ context.Context, address string) *outcome.Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drains[address]++
	if address == "bad" {
		return outcome.NewNotRun(outcome.ReasonTargetUnreachable, "bad")
	}
	return nil
}

func (f *fakeEngines) Load(context.Context, string) (engine.Load, *outcome.Failure) {
	return engine.Load{}, nil
}

func (f *fakeEngines) Conversations(context.Context, string) (map[string]int, *outcome.Failure) {
	return nil, nil
}

func (f *fakeEngines) Move(context.Context, string, string, string) *outcome.Failure { return nil }

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{drains: map[string]int{}}
		d := New(f, WithPolling(time.Second, 1), WithMetrics(metrics.NewSet()))
		var listed []Target
		var mu sync.Mutex
		setList := func(names ...string) {
			mu.Lock()
			defer mu.Unlock()
			listed = nil
			for _, n := range names {
				listed = append(listed, Target{Name: n, Address: n})
			}
		}
		assertDrains := func(after time.Duration, want map[string]int) {
			t.Helper()
			time.Sleep(after)
			synctest.Wait()
			f.mu.Lock()
			defer f.mu.Unlock()
			qt.Assert(t, f.drains, qt.DeepEquals, want)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go d.Watch(ctx, func() []Target {
			mu.Lock()
			defer mu.Unlock()
			return listed
		})
		setList("good")
		assertDrains(5500*time.Millisecond, map[string]int{"good": 1})
		setList("good", "bad")
		assertDrains(3*time.Second, map[string]int{"good": 1, "bad": 3})
		setList()
		assertDrains(2*time.Second, map[string]int{"good": 1, "bad": 3})
		setList("good")
		assertDrains(2*time.Second, map[string]int{"good": 2, "bad": 3})
		cancel()
	})
}
