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
	"hickoryrock/internal/policy/standing"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/target/exchange"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

type fixture struct {
	*qt.C
	view    atomic.Pointer[state.View]
	front   net.Listener
	server  *ingress.Server
	targets []*rawserver.Server
	parts   *affinity.Map
	budgets *retries.Budgets
}

type reply struct {
	*http1.Response
	body string
	err  error
}

func routes() []state.Route {
	shares := []state.Share{{Service: "s", Weight: 1}}
	return []state.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Timeout: 400 * time.Millisecond, MaxAttempts: 1, Shares: shares},
		{
			Name: "safe", Host: "h", Prefix: "/safe/", Timeout: time.Second, Objective: 100 * time.Millisecond,
			MaxAttempts: 2, Repeatable: true, Shares: shares,
		},
		{Name: "stream", Host: "h", Prefix: "/stream/", Timeout: time.Second, MaxAttempts: 1, Streaming: true, Shares: shares},
		{
			Name: "resume", Host: "h", Prefix: "/resume/", Timeout: 2 * time.Second, Objective: 300 * time.Millisecond,
			EventGap: 250 * time.Millisecond, MaxAttempts: 2, Streaming: true, Resumable: true, Shares: shares,
		},
		{
			Name: "chat", Host: "h", Prefix: "/chat/", Timeout: time.Second, Objective: 400 * time.Millisecond,
			MaxAttempts: 1, Sticky: true, Shares: shares,
		},
		{Name: "open", Host: "h", Prefix: "/open/", Timeout: time.Second, MaxAttempts: 1, Public: true, Shares: shares},
	}
}

// newFixture starts a router before targets that all follow a script.
func newFixture(t *testing.T, targets int, script rawserver.Script) *fixture {
	f := &fixture{C: qt.New(t), parts: affinity.NewMap(), budgets: retries.NewBudgets()}
	var list []*state.Target
	for i := range targets {
		server, stop, err := rawserver.New(script)
		f.Assert(err, qt.IsNil)
		t.Cleanup(stop)
		f.targets = append(f.targets, server)
		list = append(list, &state.Target{ID: fmt.Sprint("i-", i), Service: "s", Address: server.Address()})
	}
	configuration := &state.Configuration{
		Version: 1, Routes: routes(), Limits: platform.DefaultLimits(),
		Workspaces: map[string]state.Workspace{"key": {Name: "w"}},
	}
	configuration.Index()
	f.view.Store(&state.View{Configuration: configuration, Targets: state.NewTargets(list)})
	pool, closePool := exchange.New()
	t.Cleanup(closePool)
	handler := forward.New(forward.Parts{
		View: f.view.Load, Pool: pool, Book: standing.NewBook(func(standing.Change) {}),
		Map: f.parts, Budgets: f.budgets, LoadFactor: 2, Log: zerolog.Nop(),
	})
	f.server = ingress.New(handler, platform.DefaultLimits, zerolog.Nop())
	var err error
	f.front, err = net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = f.front.Close() })
	go f.server.Serve(f.front)
	return f
}

func (f *fixture) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp4", f.front.Addr().String())
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

func (f *fixture) call(path string) reply {
	return f.send(platformtest.Request(path, platformtest.Key, "hello"))
}

func (f *fixture) send(raw string) reply {
	c, r := f.dial()
	_, err := io.WriteString(c, raw)
	f.Assert(err, qt.IsNil)
	return readReply(r)
}

func readReply(r *bufio.Reader) reply {
	head, err := http1.ReadResponse(r, 16<<10, "POST")
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(http1.Body(r, head.Length))
	return reply{Response: head, body: string(body), err: err}
}

func (f *fixture) arrivals() int {
	n := 0
	for _, t := range f.targets {
		n += len(t.Requests())
	}
	return n
}

func (f *fixture) assertReply(got reply, status int, body string) {
	f.Helper()
	f.Assert(got.err, qt.IsNil)
	f.Assert(got.Status, qt.Equals, status)
	f.Assert(got.body, qt.Equals, body)
}

func always(status, lines, body string) rawserver.Script {
	return func(c net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(c, platformtest.Answer(r, status, lines, body))
		return err == nil
	}
}

func reset(c net.Conn, _ rawserver.Request) bool {
	rawserver.Reset(c)
	return false
}

func TestAnswersArePassedOnUnchanged(t *testing.T) {
	f := newFixture(t, 1, always("200 Fine", "X-Own: 1\r\n", "whole"))
	got := f.call("/once/a?q=1")
	f.assertReply(got, 200, "whole")
	f.Assert(got.Reason, qt.Equals, "Fine")
	f.Assert(got.Field("x-own"), qt.Equals, "1")
	f.Assert(platform.DecodeVerdict(got.Status, got.Fields).Sealed, qt.IsTrue)
	sent := f.targets[0].Requests()[0]
	f.Assert(sent.Target, qt.Equals, "/once/a?q=1")
	f.Assert(string(sent.Body), qt.Equals, "hello")
	f.Assert(platformtest.DecodeSent(sent), qt.Equals, platformtest.Sent{Call: "c1", Workspace: "w", Expected: "i-0"})
}

// Pattern: callers return right after a loss of all VMs, before a router knows
// which targets hold their prompts.
func TestCallsWithPromptsWaitForTheRecallOfCaches(t *testing.T) {
	took := func(f *fixture, path string) time.Duration {
		begun := time.Now()
		f.assertReply(f.send(platformtest.Request(path, platformtest.Key+platformtest.Prompt, "")), 200, "x")
		return time.Since(begun)
	}
	t.Run("until it is done", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		time.AfterFunc(40*time.Millisecond, f.parts.Complete)
		first := took(f, "/chat/a")
		f.Assert(first >= 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", first))
		f.Assert(took(f, "/chat/a") < 40*time.Millisecond, qt.IsTrue)
	})
	t.Run("for a quarter of their objective at most", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		held := took(f, "/chat/a")
		f.Assert(held >= 100*time.Millisecond && held < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", held))
	})
	t.Run("but not those without prompts", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		f.Assert(took(f, "/once/a") < 100*time.Millisecond, qt.IsTrue)
	})
}

func TestCallsThatTheConfigurationDoesNotAllow(t *testing.T) {
	f := newFixture(t, 1, always("200 OK", "", "x"))
	f.assertReply(f.call("/nowhere/"), 404, "")
	f.assertReply(f.send(platformtest.Request("/once/a", "", "")), 401, "")
	f.assertReply(f.send(platformtest.Request("/once/a", "Authorization: Bearer other\r\n", "")), 401, "")
	f.Assert(f.arrivals(), qt.Equals, 0)
	f.assertReply(f.send(platformtest.Request("/open/a", "", "")), 200, "x")
	f.view.Store(&state.View{Targets: state.NewTargets(nil)})
	got := f.call("/once/a")
	f.assertReply(got, 503, "")
	f.Assert(got.Field("retry-after"), qt.Not(qt.Equals), "")
}

func TestACallThatRunsOnce(t *testing.T) {
	t.Run("is not sent again after a reset", func(t *testing.T) {
		f := newFixture(t, 3, reset)
		f.assertReply(f.call("/once/a"), 502, "")
		f.Assert(f.arrivals(), qt.Equals, 1)
	})
	t.Run("goes to another target after proof that it has not run", func(t *testing.T) {
		f := newFixture(t, 3, func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.NotRun(r))
			return true
		})
		got := f.call("/once/a")
		f.assertReply(got, 503, "")
		f.Assert(got.Field("retry-after"), qt.Not(qt.Equals), "")
		f.Assert(f.arrivals(), qt.Equals, 3)
	})
	t.Run("is not refused as not run by a target's plain 503", func(t *testing.T) {
		f := newFixture(t, 3, always("503 Busy", "", "busy"))
		got := f.call("/once/a")
		f.assertReply(got, 503, "busy")
		f.Assert(platform.DecodeVerdict(got.Status, got.Fields).Sealed, qt.IsTrue)
		f.Assert(f.arrivals(), qt.Equals, 1)
	})
	t.Run("passes a target's failure on", func(t *testing.T) {
		f := newFixture(t, 3, always("500 Oops", "", "oops"))
		f.assertReply(f.call("/once/a"), 500, "oops")
		f.Assert(f.arrivals(), qt.Equals, 1)
	})
	t.Run("is answered when its time is over", func(t *testing.T) {
		f := newFixture(t, 1, func(c net.Conn, _ rawserver.Request) bool {
			_, _ = c.Read(make([]byte, 1))
			return false
		})
		start := time.Now()
		f.assertReply(f.call("/once/a"), 504, "")
		f.Assert(time.Since(start) < 650*time.Millisecond, qt.IsTrue)
	})
	t.Run("is refused at once without targets", func(t *testing.T) {
		f := newFixture(t, 0, reset)
		start := time.Now()
		f.assertReply(f.call("/once/a"), 503, "")
		f.Assert(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
	})
}

func TestSuccessesThatCannotBeTrusted(t *testing.T) {
	for name, script := range map[string]rawserver.Script{
		"without a seal": func(c net.Conn, r rawserver.Request) bool {
			_, err := io.WriteString(c, platformtest.Unsealed(r, "200 OK", "", "x"))
			return err == nil
		},
		"cut": func(c net.Conn, r rawserver.Request) bool {
			raw := platformtest.Answer(r, "200 OK", "", "whole")
			_, _ = io.WriteString(c, raw[:len(raw)-2])
			return false
		},
		"of another call": func(c net.Conn, _ rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.OfAnotherCall())
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, script)
			f.assertReply(f.call("/once/a"), 502, "")
			f.Assert(f.arrivals(), qt.Equals, 1)
		})
	}
}

func TestARepeatableCall(t *testing.T) {
	fails := func(first rawserver.Script) rawserver.Script {
		return func(c net.Conn, r rawserver.Request) bool {
			if platformtest.DecodeSent(r).Expected == "i-0" {
				return first(c, r)
			}
			return always("200 OK", "", "second")(c, r)
		}
	}
	for name, script := range map[string]rawserver.Script{
		"reset":  reset,
		"failed": always("500 Oops", "", "oops"),
		"silent": func(c net.Conn, _ rawserver.Request) bool {
			_, _ = c.Read(make([]byte, 1))
			return false
		},
	} {
		t.Run("goes to another target: "+name, func(t *testing.T) {
			f := newFixture(t, 2, fails(script))
			for range 6 {
				f.assertReply(f.call("/safe/a"), 200, "second")
			}
		})
	}
	t.Run("is run by no more targets than the route allows", func(t *testing.T) {
		f := newFixture(t, 5, reset)
		f.assertReply(f.call("/safe/a"), 502, "")
		f.Assert(f.arrivals(), qt.Equals, 2)
	})
}

func TestATargetHearsThatTheCallerHasLeft(t *testing.T) {
	left := make(chan struct{})
	f := newFixture(t, 1, func(c net.Conn, _ rawserver.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(left)
		return false
	})
	c, _ := f.dial()
	_, _ = io.WriteString(c, platformtest.Request("/resume/a", platformtest.Key, ""))
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		f.Fatal("the target is still at work half a second later")
	}
}

func TestConnectionsOfCallers(t *testing.T) {
	t.Run("carry many calls", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		c, r := f.dial()
		for range 3 {
			_, _ = io.WriteString(c, platformtest.Request("/once/a", platformtest.Key, "hello"))
			f.assertReply(readReply(r), 200, "x")
		}
	})
	t.Run("keep calls apart that arrive together", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		c, r := f.dial()
		one := platformtest.Request("/once/a", platformtest.Key, "hello")
		_, _ = io.WriteString(c, one+one)
		f.assertReply(readReply(r), 200, "x")
		f.assertReply(readReply(r), 200, "x")
	})
	t.Run("end with the answer while the router leaves", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		c, r := f.dial()
		f.server.Drain()
		_, _ = io.WriteString(c, platformtest.Request("/once/a", platformtest.Key, "hello"))
		got := readReply(r)
		f.assertReply(got, 200, "x")
		f.Assert(got.Close, qt.IsTrue)
		_, err := r.ReadByte()
		f.Assert(err, qt.Equals, io.EOF)
	})
	t.Run("end when a call could hide another", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		hidden := "0\r\n\r\n" + platformtest.Request("/once/hidden", platformtest.Key, "")
		c, r := f.dial()
		_, _ = io.WriteString(c, fmt.Sprintf("POST /once/a HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n%s", platformtest.Key, len(hidden), hidden))
		f.assertReply(readReply(r), 400, "")
		_, err := r.ReadByte()
		f.Assert(err, qt.IsNotNil)
		f.Assert(f.arrivals(), qt.Equals, 0)
	})
	t.Run("get 100 Continue before a body that waits for it", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"))
		c, r := f.dial()
		_, _ = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\n"+platformtest.Key+"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		line, err := r.ReadString('\n')
		f.Assert(err, qt.IsNil)
		f.Assert(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, "hi")
		f.assertReply(readReply(r), 200, "x")
	})
}

func TestALaterAttemptGoesByTheNewestTargets(t *testing.T) {
	var f *fixture
	f = newFixture(t, 3, func(c net.Conn, r rawserver.Request) bool {
		// While the first attempt runs, all other targets begin to leave.
		leaving := make([]*state.Target, 0, 3)
		for _, t := range f.view.Load().Targets.ByService["s"] {
			next := *t
			next.Leaving = true
			leaving = append(leaving, &next)
		}
		f.view.Store(&state.View{Configuration: f.view.Load().Configuration, Targets: state.NewTargets(leaving)})
		return reset(c, r)
	})
	f.call("/safe/a")
	f.Assert(f.arrivals(), qt.Equals, 1)
}
