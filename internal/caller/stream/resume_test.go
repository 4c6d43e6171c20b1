package stream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"pgregory.net/rapid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/target/engine"
	"hickoryrock/internal/testing/seed"
)

const (
	opNext = iota
	opRepeat
	opSkip
	opBreak
	opCleanEnd
	opEarlyDone
	opUnnumberedDone
	opCount
)

type (
	// scenario is one response and the faults of each connection of the engine.
	scenario struct {
		length      int
		connections [][]int
		started     bool
	}

	// fakeEngine serves one response with the faults of its scenario; later connections have none.
	fakeEngine struct {
		mu       sync.Mutex
		scenario *scenario
	}

	// testFleet is two routers in front of one engine.
	testFleet struct {
		engine  *fakeEngine
		address string
		routers []*httptest.Server
	}
)

func TestMain(m *testing.M) {
	seed.Main(m, seed.Settings{Checks: 300})
}

func eventText(id int) string { return fmt.Sprintf("t%d ", id) }

func (s *scenario) fullText() string {
	var text strings.Builder
	for id := 1; id <= s.length; id++ {
		text.WriteString(eventText(id))
	}
	return text.String()
}

func (s *scenario) event(id int) []byte {
	finish := "null"
	if id == s.length {
		finish = `"stop"`
	}
	data := fmt.Sprintf(`{"choices":[{"delta":{"content":%q},"finish_reason":%s}]}`, eventText(id), finish)
	return sse.AppendEvent(nil, id, []byte(data))
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	s := e.scenario
	var ops []int
	hasScenario := len(s.connections) > 0
	if hasScenario {
		ops, s.connections = s.connections[0], s.connections[1:]
	}
	resumable := s.started
	s.started = true
	e.mu.Unlock()
	if r.Method == http.MethodGet && !resumable {
		http.NotFound(w, r)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get(sse.HeaderLastEventID))
	w.Header().Set("Content-Type", sse.ContentType)
	_ = http.NewResponseController(w).Flush()
	last = playConnection(w, s, ops, last)
	if hasScenario && len(ops) > 0 && ops[len(ops)-1] == opBreak {
		panic(http.ErrAbortHandler)
	}
	if hasScenario {
		return
	}
	for ; last < s.length; last++ {
		_, _ = w.Write(s.event(last + 1))
	}
	_, _ = w.Write(sse.AppendDone(nil, s.length+1))
}

// playConnection performs the operations of one connection and returns the ID of the last event sent.
func playConnection(w http.ResponseWriter, s *scenario, ops []int, last int) int {
	defer func() { _ = http.NewResponseController(w).Flush() }()
	for _, op := range ops {
		switch {
		case op == opNext && last < s.length:
			last++
			_, _ = w.Write(s.event(last))
		case op == opRepeat && last > 0:
			_, _ = w.Write(s.event(1 + last/2))
		case op == opSkip && last+2 <= s.length:
			_, _ = w.Write(s.event(last + 2))
		case op == opEarlyDone:
			_, _ = w.Write(sse.AppendDone(nil, s.length+1))
		case op == opUnnumberedDone:
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		case op == opBreak || op == opCleanEnd:
			return last
		}
	}
	return last
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{engine: &fakeEngine{}}
	srv := httptest.NewServer(f.engine)
	t.Cleanup(srv.Close)
	f.address = srv.Listener.Addr().String()
	for range 2 {
		client, stop := engine.New(engine.WithMetrics(metrics.NewSet()), engine.WithMaxResumes(2, 0),
			engine.WithEventTimeouts(time.Second, time.Second))
		relay := NewRelay(WithMetrics(metrics.NewSet()))
		router := httptest.NewServer(f.router(client, relay))
		f.routers = append(f.routers, router)
		t.Cleanup(func() {
			router.CloseClientConnections()
			router.Close()
			stop()
		})
	}
	return f
}

// router starts a stream on POST / and resumes it on GET /{token}.
func (f *testFleet) router(client *engine.Client, relay *Relay) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		id, after := NewID("care", "e1"), 0
		open := client.Stream
		if r.Method == http.MethodGet {
			id, _ = ParseID(strings.TrimPrefix(r.URL.Path, "/"))
			after, _ = ParseEventID(r.Header.Get(sse.HeaderLastEventID))
			open = func(ctx context.Context, req engine.Request) (*engine.Stream, *outcome.Failure) {
				return client.Resume(ctx, req, after)
			}
		}
		src, failure := open(ctx, engine.Request{Address: f.address, ID: id.EngineRequestID("w1"), Body: []byte("{}")})
		if failure == nil {
			failure = relay.Serve(w, Response{Token: id.String(), Source: src, LastEventID: after, Cancel: cancel})
		}
		if failure != nil {
			http.Error(w, failure.Error(), http.StatusServiceUnavailable)
		}
	})
}

// TestResumedStreamIsComplete breaks connections on both sides at any point. The text received by
// the caller must always be a prefix of the response, and [DONE] must be sent only after the
// complete response.
func TestResumedStreamIsComplete(t *testing.T) {
	f := newTestFleet(t)
	rapid.Check(t, func(t *rapid.T) {
		s := &scenario{length: rapid.IntRange(1, 6).Draw(t, "length")}
		ops := rapid.SliceOfN(rapid.IntRange(0, opCount-1), 0, 6)
		s.connections = rapid.SliceOfN(ops, 0, 6).Draw(t, "connections")
		f.engine.mu.Lock()
		f.engine.scenario = s
		f.engine.mu.Unlock()

		c := &testCaller{t: t, want: s.fullText()}
		for attempt := 0; !c.complete; attempt++ {
			if attempt > 20 {
				t.Fatalf("response incomplete after 20 attempts: %q of %q", c.text, c.want)
			}
			router := rapid.IntRange(0, 1).Draw(t, "router")
			c.disconnectAfter = rapid.IntRange(0, 8).Draw(t, "disconnect after")
			c.connect(f.routers[router].URL)
		}
		if c.text != c.want {
			t.Fatalf("reported complete: got %q, want %q", c.text, c.want)
		}
	})
}
