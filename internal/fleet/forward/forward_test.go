package forward_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

func TestResponsesAreRelayedUnchanged(t *testing.T) {
	f := newFixture(t, 1, always("200 Fine", "X-Own: 1\r\n", "whole"))
	got := f.call("/once/a?q=1")
	f.assertResponse(got, 200, "whole")
	f.Assert(got.Reason, qt.Equals, "Fine")
	f.Assert(got.Field("x-own"), qt.Equals, "1")
	f.Assert(platform.DecodeResponseHeaders(got.Status, got.Fields).Sealed, qt.IsTrue)
	sent := f.targets[0].Requests()[0]
	f.Assert(sent.Target, qt.Equals, "/once/a?q=1")
	f.Assert(string(sent.Body), qt.Equals, "hello")
	f.Assert(platformtest.DecodeForwarded(sent), qt.Equals, platformtest.ForwardedCall{Call: "c1", Workspace: "w", ExpectedTarget: "i-0"})
}

// After the loss of all VMs, callers reconnect before a router knows which targets
// have their prompts cached. Such calls must wait a short, bounded time.
func TestCallsWithPromptsWaitForCacheIndex(t *testing.T) {
	timeCall := func(f *fixture, path string) time.Duration {
		started := time.Now()
		f.assertResponse(f.send(platformtest.Request(path, platformtest.AuthorizationLine+platformtest.PromptLine, "")), 200, "x")
		return time.Since(started)
	}
	t.Run("until it is loaded", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		time.AfterFunc(40*time.Millisecond, f.cacheIndex.MarkRestored)
		first := timeCall(f, "/chat/a")
		f.Assert(first >= 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", first))
		f.Assert(timeCall(f, "/chat/a") < 40*time.Millisecond, qt.IsTrue)
	})
	t.Run("for a quarter of the latency objective at most", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		elapsed := timeCall(f, "/chat/a")
		f.Assert(elapsed >= 100*time.Millisecond && elapsed < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", elapsed))
	})
	t.Run("but not those without prompts", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		f.Assert(timeCall(f, "/once/a") < 100*time.Millisecond, qt.IsTrue)
	})
}

func TestRejectedCalls(t *testing.T) {
	f := newFixture(t, 1, always("200 OK", "", "x"))
	f.assertResponse(f.call("/nowhere/"), 404, "")
	f.assertResponse(f.send(platformtest.Request("/once/a", "", "")), 401, "")
	f.assertResponse(f.send(platformtest.Request("/once/a", "Authorization: Bearer other\r\n", "")), 401, "")
	f.Assert(f.targetRequests(), qt.Equals, 0)
	f.assertResponse(f.send(platformtest.Request("/open/a", "", "")), 200, "x")
	f.view.Store(&state.View{Targets: state.NewTargets(nil)})
	got := f.call("/once/a")
	f.assertResponse(got, 503, "")
	f.Assert(got.Field("retry-after"), qt.Not(qt.Equals), "")
}

func TestAtMostOnceCalls(t *testing.T) {
	t.Run("are not retried after a reset", func(t *testing.T) {
		f := newFixture(t, 3, reset)
		f.assertResponse(f.call("/once/a"), 502, "")
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("are retried after proof that they were not executed", func(t *testing.T) {
		f := newFixture(t, 3, func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.NotExecuted(r))
			return true
		})
		got := f.call("/once/a")
		f.assertResponse(got, 503, "")
		f.Assert(got.Field("retry-after"), qt.Not(qt.Equals), "")
		f.Assert(f.targetRequests(), qt.Equals, 3)
	})
	t.Run("get 502 in place of a target's 503 without that proof", func(t *testing.T) {
		f := newFixture(t, 3, always("503 Busy", "", "busy"))
		got := f.call("/once/a")
		f.assertResponse(got, 502, "")
		f.Assert(platform.DecodeResponseHeaders(got.Status, got.Fields).Sealed, qt.IsFalse)
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("get a target's error response", func(t *testing.T) {
		f := newFixture(t, 3, always("500 Oops", "", "oops"))
		f.assertResponse(f.call("/once/a"), 500, "oops")
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("time out", func(t *testing.T) {
		f := newFixture(t, 1, func(c net.Conn, _ rawserver.Request) bool {
			_, _ = c.Read(make([]byte, 1))
			return false
		})
		start := time.Now()
		f.assertResponse(f.call("/once/a"), 504, "")
		f.Assert(time.Since(start) < 650*time.Millisecond, qt.IsTrue)
	})
	t.Run("are rejected immediately without targets", func(t *testing.T) {
		f := newFixture(t, 0, reset)
		start := time.Now()
		f.assertResponse(f.call("/once/a"), 503, "")
		f.Assert(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
	})
}

func TestInvalidSuccessResponses(t *testing.T) {
	for name, script := range map[string]rawserver.Handler{
		"without the response seal": func(c net.Conn, r rawserver.Request) bool {
			_, err := io.WriteString(c, platformtest.UnsealedResponse(r, "200 OK", "", "x"))
			return err == nil
		},
		"truncated": func(c net.Conn, r rawserver.Request) bool {
			raw := platformtest.Response(r, "200 OK", "", "whole")
			_, _ = io.WriteString(c, raw[:len(raw)-2])
			return false
		},
		"to another call": func(c net.Conn, _ rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.ResponseToOtherCall())
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, script)
			f.assertResponse(f.call("/once/a"), 502, "")
			f.Assert(f.targetRequests(), qt.Equals, 1)
		})
	}
}

func TestIdempotentCalls(t *testing.T) {
	firstTarget := func(first rawserver.Handler) rawserver.Handler {
		return func(c net.Conn, r rawserver.Request) bool {
			if platformtest.DecodeForwarded(r).ExpectedTarget == "i-0" {
				return first(c, r)
			}
			return always("200 OK", "", "second")(c, r)
		}
	}
	for name, script := range map[string]rawserver.Handler{
		"reset":  reset,
		"failed": always("500 Oops", "", "oops"),
		"silent": func(c net.Conn, _ rawserver.Request) bool {
			_, _ = c.Read(make([]byte, 1))
			return false
		},
	} {
		t.Run("are retried on another target: "+name, func(t *testing.T) {
			f := newFixture(t, 2, firstTarget(script))
			for range 6 {
				f.assertResponse(f.call("/safe/a"), 200, "second")
			}
		})
	}
	t.Run("are sent to no more targets than the route allows", func(t *testing.T) {
		f := newFixture(t, 5, reset)
		f.assertResponse(f.call("/safe/a"), 502, "")
		f.Assert(f.targetRequests(), qt.Equals, 2)
	})
}

func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	disconnected := make(chan struct{})
	f := newFixture(t, 1, func(c net.Conn, _ rawserver.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(disconnected)
		return false
	})
	c, _ := f.dial()
	_, _ = io.WriteString(c, platformtest.Request("/resume/a", platformtest.AuthorizationLine, ""))
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	select {
	case <-disconnected:
	case <-time.After(500 * time.Millisecond):
		f.Fatal("the target's connection is still open after 500 ms")
	}
}

func TestCallerConnections(t *testing.T) {
	t.Run("are reused for many calls", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		c, r := f.dial()
		for range 3 {
			_, _ = io.WriteString(c, platformtest.Request("/once/a", platformtest.AuthorizationLine, "hello"))
			f.assertResponse(readResponse(r), 200, "x")
		}
	})
	t.Run("support pipelined calls", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		c, r := f.dial()
		one := platformtest.Request("/once/a", platformtest.AuthorizationLine, "hello")
		_, _ = io.WriteString(c, one+one)
		f.assertResponse(readResponse(r), 200, "x")
		f.assertResponse(readResponse(r), 200, "x")
	})
	t.Run("close after the response while the router drains", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		c, r := f.dial()
		f.server.Drain()
		_, _ = io.WriteString(c, platformtest.Request("/once/a", platformtest.AuthorizationLine, "hello"))
		got := readResponse(r)
		f.assertResponse(got, 200, "x")
		f.Assert(got.Close, qt.IsTrue)
		_, err := r.ReadByte()
		f.Assert(err, qt.Equals, io.EOF)
	})
	t.Run("close after a request smuggling attempt", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		hidden := "0\r\n\r\n" + platformtest.Request("/once/hidden", platformtest.AuthorizationLine, "")
		c, r := f.dial()
		_, _ = io.WriteString(c, fmt.Sprintf("POST /once/a HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n%s", platformtest.AuthorizationLine, len(hidden), hidden))
		f.assertResponse(readResponse(r), 400, "")
		_, err := r.ReadByte()
		f.Assert(err, qt.IsNotNil)
		f.Assert(f.targetRequests(), qt.Equals, 0)
	})
	t.Run("send 100 Continue to a caller that expects it", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		c, r := f.dial()
		_, _ = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\n"+platformtest.AuthorizationLine+"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		line, err := r.ReadString('\n')
		f.Assert(err, qt.IsNil)
		f.Assert(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, "hi")
		f.assertResponse(readResponse(r), 200, "x")
	})
}

func TestRetryUsesLatestTargets(t *testing.T) {
	var f *fixture
	f = newFixture(t, 3, func(c net.Conn, r rawserver.Request) bool {
		// All targets start to drain during the first attempt.
		draining := make([]*state.Target, 0, 3)
		for _, t := range f.view.Load().Targets.ByService["s"] {
			next := *t
			next.Draining = true
			draining = append(draining, &next)
		}
		f.view.Store(&state.View{Configuration: f.view.Load().Configuration, Targets: state.NewTargets(draining)})
		return reset(c, r)
	})
	f.call("/safe/a")
	f.Assert(f.targetRequests(), qt.Equals, 1)
}
