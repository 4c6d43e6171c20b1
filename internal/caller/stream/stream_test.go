package stream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/sse"
)

// fakeSource yields one event per interval and then ends completely or with a failure.
type fakeSource struct {
	events   int
	interval time.Duration
	failure  *outcome.Failure
	ctx      context.Context
	data     []byte

	id       int
	closed   bool
	detached bool
}

func (s *fakeSource) Next() bool {
	if s.id == s.events {
		return false
	}
	select {
	case <-time.After(s.interval):
		s.id++
		return true
	case <-s.ctx.Done():
		s.failure = outcome.NewUnknown(outcome.ReasonCancelled, "gone")
		return false
	}
}

func (s *fakeSource) Event() sse.Event          { return sse.Event{ID: s.id, Data: s.data} }
func (s *fakeSource) Failure() *outcome.Failure { return s.failure }
func (s *fakeSource) Complete() bool            { return s.failure == nil && s.id == s.events }
func (s *fakeSource) Close()                    { s.closed = true }
func (s *fakeSource) Detach()                   { s.detached = true }

func newSource(events int, failure *outcome.Failure) *fakeSource {
	return &fakeSource{events: events, failure: failure, ctx: context.Background(), data: []byte("{}")}
}

func newTestRelay(opts ...Option) *Relay {
	return NewRelay(append([]Option{WithMetrics(metrics.NewSet())}, opts...)...)
}

// get relays a source over a TCP connection and returns the body that the caller received.
func get(c *qt.C, src *fakeSource) (body string, failure *outcome.Failure, err error) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failure = newTestRelay().Serve(w, Response{Token: "token", Source: src})
	}))
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), failure, err
}

func TestServe(t *testing.T) {
	lost := outcome.NewUnknown(outcome.ReasonConnectionLost, "lost")
	t.Run("complete", func(t *testing.T) {
		c := qt.New(t)
		src := newSource(2, nil)
		body, failure, err := get(c, src)
		c.Assert(err, qt.IsNil)
		c.Assert(failure == nil, qt.IsTrue)
		c.Assert(body, qt.Equals, "id: 1\ndata: {}\n\nid: 2\ndata: {}\n\nid: 3\ndata: [DONE]\n\n")
	})
	t.Run("interrupted", func(t *testing.T) {
		c := qt.New(t)
		src := newSource(2, lost)
		body, _, err := get(c, src)
		c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
		c.Assert(strings.Contains(body, "event: error\ndata: "), qt.IsTrue)
		c.Assert(strings.Contains(body, "[DONE]"), qt.IsFalse)
		var p Problem
		c.Assert(json.Unmarshal([]byte(body[strings.LastIndex(body, "data: ")+len("data: "):]), &p), qt.IsNil)
		c.Assert(p, qt.Equals, Problem{Outcome: outcome.Unknown, Reason: lost.Reason, Detail: lost.Detail, Stream: "token"})
		c.Assert(src.detached, qt.IsTrue)
	})
	t.Run("nothing sent", func(t *testing.T) {
		c := qt.New(t)
		src := newSource(0, lost)
		body, failure, err := get(c, src)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "")
		c.Assert(failure, qt.Equals, lost)
		c.Assert(src.closed, qt.IsTrue)
	})
	t.Run("source skips an event", func(t *testing.T) {
		c := qt.New(t)
		src := newSource(3, nil)
		src.id = 1
		body, failure, _ := get(c, src)
		c.Assert(body, qt.Equals, "")
		c.Assert(failure.Reason, qt.Equals, outcome.ReasonInternal)
	})
}

func TestHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newSource(1, nil)
		src.interval = 35 * time.Second
		w := httptest.NewRecorder()
		failure := newTestRelay(WithHeartbeat(10*time.Second)).Serve(w, Response{Source: src})
		qt.Assert(t, failure == nil, qt.IsTrue)
		beat := ": heartbeat\n\n"
		qt.Assert(t, w.Body.String(), qt.Equals, strings.Repeat(beat, 3)+"id: 1\ndata: {}\n\nid: 2\ndata: [DONE]\n\n")
	})
}

// TestWriteTimeout checks that a caller that does not read does not block its source forever.
func TestWriteTimeout(t *testing.T) {
	c := qt.New(t)
	results := make(chan Result, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		src := newSource(1<<20, nil)
		src.ctx, src.data = ctx, make([]byte, 64<<10)
		for i := range src.data {
			src.data[i] = 'x'
		}
		_ = newTestRelay(WithWriteTimeout(50*time.Millisecond)).Serve(w, Response{
			Source: src, Cancel: cancel, OnEnd: func(r Result) { results <- r },
		})
	}))
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	select {
	case r := <-results:
		c.Assert(r.Complete, qt.IsFalse)
		c.Assert(r.Failure.Reason, qt.Equals, outcome.ReasonCancelled)
	case <-time.After(5 * time.Second):
		c.Fatal("the relay is still writing to a caller that does not read")
	}
}

func TestID(t *testing.T) {
	c := qt.New(t)
	name := strings.Repeat("n", maxNameLength)
	id := NewID(name, name)
	c.Assert(len(id.String()) <= 256, qt.IsTrue, qt.Commentf("%d characters", len(id.String())))
	parsed, failure := ParseID(id.String())
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(parsed, qt.Equals, id)
	c.Assert(parsed.EngineRequestID("w1"), qt.Not(qt.Equals), parsed.EngineRequestID("w2"))
	c.Assert(NewID("s", "t"), qt.Not(qt.Equals), NewID("s", "t"))

	for name, token := range map[string]string{
		"empty": "", "not base64": "!", "truncated": id.String()[:20], "no names": id.String()[:24],
		"no target": NewID("s", "").String(), "no service": NewID("", "t").String(),
		"long target": NewID("s", name+"n").String(),
	} {
		_, failure := ParseID(token)
		c.Assert(failure, qt.IsNotNil, qt.Commentf(name))
		c.Assert(failure.Reason, qt.Equals, outcome.ReasonNotFound, qt.Commentf(name))
	}
}

func TestParseEventID(t *testing.T) {
	for value, want := range map[string]int{"": 0, "0": 0, "17": 17} {
		id, failure := ParseEventID(value)
		qt.Assert(t, failure == nil, qt.IsTrue)
		qt.Assert(t, id, qt.Equals, want)
	}
	for _, value := range []string{"-1", "x", "1.5"} {
		_, failure := ParseEventID(value)
		qt.Assert(t, failure, qt.IsNotNil, qt.Commentf(value))
	}
}
