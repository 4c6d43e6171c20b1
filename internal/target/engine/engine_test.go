package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	standin "hickoryrock/internal/standin/engine"
)

const model = "care"

type fixture struct {
	*qt.C
	engine  *standin.Engine
	server  *httptest.Server
	client  *Client
	address string
}

func newFixture(t *testing.T, opts ...standin.Option) *fixture {
	e, stop := standin.New(opts...)
	srv := httptest.NewUnstartedServer(e.Handler())
	srv.Config.ConnContext = e.Connections().ConnContext
	srv.Start()
	client, closeClient := New(
		WithEventTimeouts(200*time.Millisecond, 200*time.Millisecond), WithMaxResumes(3, time.Millisecond),
		WithControlTimeout(200*time.Millisecond), WithMetrics(metrics.NewSet()))
	t.Cleanup(func() {
		closeClient()
		srv.CloseClientConnections()
		srv.Close()
		stop()
	})
	return &fixture{C: qt.New(t), engine: e, server: srv, client: client, address: srv.Listener.Addr().String()}
}

func (fx *fixture) request(id, content string, stream bool) Request {
	body, err := json.Marshal(standin.ChatRequest{
		Model: model, Stream: stream, Messages: []standin.Message{{Role: "user", Content: content}},
	})
	fx.Assert(err, qt.IsNil)
	return Request{Address: fx.address, ID: id, Conversation: "c1", Body: body}
}

// setFaults sets the engine's faults through its HTTP interface.
func (fx *fixture) setFaults(f standin.Faults) {
	body, err := json.Marshal(f)
	fx.Assert(err, qt.IsNil)
	failure := fx.client.doControl(context.Background(), "POST", fx.address, "/faults", strings.NewReader(string(body)), nil)
	assertNoFailure(fx.C, failure)
}

func expectedText(content string) string {
	return strings.Join(standin.Answer(model, []standin.Message{{Role: "user", Content: content}}), "")
}

// collect reads a stream to its end, checks that event IDs are consecutive, and returns the text.
func (fx *fixture) collect(s *Stream, after int) string {
	var text strings.Builder
	for s.Next() {
		after++
		fx.Assert(s.Event().ID, qt.Equals, after)
		var chunk struct {
			Choices []struct{ Delta standin.Message }
		}
		fx.Assert(json.Unmarshal(s.Event().Data, &chunk), qt.IsNil)
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String()
}

func (fx *fixture) assertCompleteStream(req Request, content string) {
	fx.Helper()
	s, f := fx.client.Stream(context.Background(), req)
	assertNoFailure(fx.C, f)
	defer s.Close()
	fx.Assert(fx.collect(s, 0), qt.Equals, expectedText(content))
	assertNoFailure(fx.C, s.Failure())
	fx.Assert(s.Complete(), qt.IsTrue)
}

func (fx *fixture) assertRuns(n int) {
	fx.Helper()
	fx.Assert(fx.engine.Runs(), qt.HasLen, n)
}

func (fx *fixture) assertRetries(reason string, n uint64) {
	fx.Helper()
	name := `hickoryrock_engine_retries_total{reason="` + reason + `"}`
	fx.Assert(fx.client.opts.Metrics.GetOrCreateCounter(name).Get(), qt.Equals, n)
}

func assertFailure(c *qt.C, f *outcome.Failure, status outcome.Status, reason outcome.Reason) {
	c.Helper()
	if f == nil {
		c.Fatal("call succeeded, want a failure")
	}
	c.Assert(f.Status, qt.Equals, status, qt.Commentf("%v", f))
	c.Assert(f.Reason, qt.Equals, reason, qt.Commentf("%v", f))
}

// TestChat compares responses built from streams with the engine's own non-streaming response.
func TestChat(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"without faults": {},
		"broken once":    {BreakAfter: 3, Times: 1},
		"stalled once":   {StallAfter: 2, Times: 1},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			req := fx.request("s1", "length=8", false)
			var want, got map[string]any
			failure := fx.client.doControl(context.Background(), "POST", fx.address, chatPath, bytes.NewReader(req.Body), &want)
			assertNoFailure(fx.C, failure)
			fx.setFaults(f)
			completion, failure := fx.client.Chat(context.Background(), req)
			assertNoFailure(fx.C, failure)
			fx.Assert(json.Unmarshal(completion.Body, &got), qt.IsNil)
			for _, differing := range []string{"id", "usage"} {
				delete(want, differing)
				delete(got, differing)
			}
			fx.Assert(got, qt.DeepEquals, want)
			fx.assertRuns(2)
		})
	}
	t.Run("refused", func(t *testing.T) {
		fx := newFixture(t)
		fx.setFaults(standin.Faults{Refuse: true})
		_, f := fx.client.Chat(context.Background(), fx.request("s1", "hello", false))
		assertFailure(fx.C, f, outcome.NotRun, outcome.ReasonTargetRefused)
	})
}

func TestCompletionBuilder(t *testing.T) {
	var builder completionBuilder
	for _, chunk := range []string{
		`{"id":"x","object":"chat.completion.chunk","created":17,"choices":[{"index":0,"delta":{"role":"assistant","content":null},"finish_reason":null}],"usage":null}`,
		`{"id":"x","choices":[{"index":1,"delta":{"role":"assistant","content":"sec"},"finish_reason":null}]}`,
		`{"id":"x","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c","type":"function","function":{"name":"book","arguments":"{\"a\""}}]}}]}`,
		`{"id":"x","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"logprobs":{"content":[{"token":"a"}]}}]}`,
		`{"id":"x","choices":[{"index":0,"delta":{},"logprobs":{"content":[{"token":"b"}]},"finish_reason":"tool_calls"}]}`,
		`{"id":"x","choices":[{"index":1,"delta":{"content":"ond"},"finish_reason":"stop"}]}`,
		`{"id":"x","choices":[],"usage":{"prompt_tokens":12345678901234567}}`,
	} {
		qt.Assert(t, builder.add([]byte(chunk)), qt.IsNil)
	}
	body, err := builder.build()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, `{"choices":[{"finish_reason":"tool_calls","index":0,`+
		`"logprobs":{"content":[{"token":"a"},{"token":"b"}]},`+
		`"message":{"content":null,"role":"assistant","tool_calls":[{"function":{"arguments":"{\"a\":1}","name":"book"},"id":"c","index":0,"type":"function"}]}},`+
		`{"finish_reason":"stop","index":1,"message":{"content":"second","role":"assistant"}}],`+
		`"created":17,"id":"x","object":"chat.completion","usage":{"prompt_tokens":12345678901234567}}`)
}

func TestStream(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"without faults":           {},
		"broken once":              {BreakAfter: 3, Times: 1},
		"broken at each event":     {BreakAfter: 1},
		"stalled twice":            {StallAfter: 2, Times: 2},
		"stalled after the finish": {StallAfter: 9, Times: 1},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.setFaults(f)
			fx.assertCompleteStream(fx.request("s1", "length=8", true), "length=8")
			fx.assertRuns(1)
		})
	}
}

func TestSilentConnection(t *testing.T) {
	t.Run("before the response", func(t *testing.T) {
		fx := newFixture(t)
		fx.setFaults(standin.Faults{Silence: true, Times: 1})
		fx.assertCompleteStream(fx.request("s1", "hello", true), "hello")
		fx.assertRuns(1)
		fx.assertRetries("target-silent", 1)
	})
	t.Run("idle", func(t *testing.T) {
		fx := newFixture(t)
		fx.assertCompleteStream(fx.request("s1", "first", true), "first")
		fx.setFaults(standin.Faults{SilenceOpen: true})
		fx.assertCompleteStream(fx.request("s2", "second", true), "second")
		fx.assertRetries("target-silent", 0)
		_, f := fx.client.Load(context.Background(), fx.address)
		assertFailure(fx.C, f, outcome.Unknown, outcome.ReasonTargetSilent)
		_, f = fx.client.Load(context.Background(), fx.address)
		assertNoFailure(fx.C, f)
	})
}

// TestIdleStreamIsNotTimedOut covers streams without events for longer than the event timeout while
// the engine is healthy.
func TestIdleStreamIsNotTimedOut(t *testing.T) {
	t.Run("the reader is slow", func(t *testing.T) {
		fx := newFixture(t)
		s, f := fx.client.Stream(context.Background(), fx.request("s1", "length=3", true))
		assertNoFailure(fx.C, f)
		defer s.Close()
		fx.Assert(s.Next(), qt.IsTrue)
		time.Sleep(400 * time.Millisecond)
		fx.collect(s, 1)
		fx.Assert(s.Complete(), qt.IsTrue)
		fx.assertRetries("target-silent", 0)
	})
	t.Run("the request queues", func(t *testing.T) {
		fx := newFixture(t, standin.WithSlots(1), standin.WithTokenTime(50*time.Millisecond),
			standin.WithHeartbeat(20*time.Millisecond))
		first, f := fx.client.Stream(context.Background(), fx.request("s1", "length=12", true))
		assertNoFailure(fx.C, f)
		defer first.Close()
		fx.assertCompleteStream(fx.request("s2", "length=2", true), "length=2")
		fx.assertRetries("target-silent", 0)
		fx.assertRetries("connection-lost", 0)
	})
}

func TestStreamFailures(t *testing.T) {
	open := func(fx *fixture) *outcome.Failure {
		s, f := fx.client.Stream(context.Background(), fx.request("s1", "length=9", true))
		if f != nil {
			return f
		}
		defer s.Close()
		text := fx.collect(s, 0)
		fx.Assert(strings.HasPrefix(expectedText("length=9"), text), qt.IsTrue)
		fx.Assert(s.Complete(), qt.IsFalse)
		return s.Failure()
	}
	t.Run("refused before running", func(t *testing.T) {
		fx := newFixture(t)
		fx.setFaults(standin.Faults{Refuse: true})
		assertFailure(fx.C, open(fx), outcome.NotRun, outcome.ReasonTargetRefused)
		fx.assertRuns(0)
	})
	t.Run("no connection", func(t *testing.T) {
		fx := newFixture(t)
		fx.server.Close()
		assertFailure(fx.C, open(fx), outcome.NotRun, outcome.ReasonTargetUnreachable)
	})
	t.Run("silent on every connection", func(t *testing.T) {
		fx := newFixture(t)
		fx.setFaults(standin.Faults{Silence: true})
		assertFailure(fx.C, open(fx), outcome.Unknown, outcome.ReasonTargetSilent)
		fx.assertRuns(0)
	})
	t.Run("engine stops in the middle", func(t *testing.T) {
		fx := newFixture(t, standin.WithTokenTime(20*time.Millisecond))
		time.AfterFunc(60*time.Millisecond, func() {
			_ = fx.server.Listener.Close()
			fx.server.CloseClientConnections()
		})
		assertFailure(fx.C, open(fx), outcome.Unknown, outcome.ReasonTargetUnreachable)
	})
}

func TestCancelReachesEngine(t *testing.T) {
	fx := newFixture(t, standin.WithTokenTime(10*time.Millisecond))
	s, f := fx.client.Stream(context.Background(), fx.request("s1", "length=500", true))
	assertNoFailure(fx.C, f)
	fx.Assert(s.Next(), qt.IsTrue)
	s.Close()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if fx.engine.Runs()[0].Outcome == "cancelled" {
			return
		}
	}
	fx.Fatal("the engine did not cancel the response")
}

func TestResumeByAnotherClient(t *testing.T) {
	fx := newFixture(t)
	s, f := fx.client.Stream(context.Background(), fx.request("s1", "length=12", true))
	assertNoFailure(fx.C, f)
	fx.Assert(s.Next(), qt.IsTrue)
	fx.Assert(s.Next(), qt.IsTrue)

	other, stop := New(WithMetrics(metrics.NewSet()))
	defer stop()
	resumed, f := other.Resume(context.Background(), Request{Address: fx.address, ID: "s1"}, 2)
	assertNoFailure(fx.C, f)
	tokens := standin.Answer(model, []standin.Message{{Role: "user", Content: "length=12"}})
	fx.Assert(fx.collect(resumed, 2), qt.Equals, strings.Join(tokens[2:], ""))
	fx.Assert(resumed.Complete(), qt.IsTrue)

	_, f = other.Resume(context.Background(), Request{Address: fx.address, ID: "unknown"}, 0)
	assertFailure(fx.C, f, outcome.NotRun, outcome.ReasonNotFound)
}

func TestLoadReport(t *testing.T) {
	fx := newFixture(t, standin.WithName("e1"), standin.WithSlots(3))
	l, f := fx.client.Load(context.Background(), fx.address)
	assertNoFailure(fx.C, f)
	fx.Assert(l.Name, qt.Equals, "e1")
	fx.Assert(l.Slots, qt.Equals, 3)
}

func assertNoFailure(c *qt.C, f *outcome.Failure) {
	c.Helper()
	if f != nil {
		c.Fatal(f)
	}
}
