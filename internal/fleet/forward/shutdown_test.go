package forward_test

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

func TestShutdownAdmits(t *testing.T) {
	start := time.Unix(1000, 0)
	s := forward.Shutdown{Since: start, End: start.Add(7600 * time.Millisecond), HeldUntil: start.Add(2500 * time.Millisecond)}
	for _, tc := range []struct {
		name                       string
		arrived, timeout, expected time.Duration
		want                       bool
	}{
		{"ends in time by its timeout", time.Second, 6 * time.Second, 0, true},
		{"may outlast the router, nothing known", time.Second, 15 * time.Second, 0, false},
		{"is expected to end in time", time.Second, 15 * time.Second, 5 * time.Second, true},
		{"is expected to outlast the router", time.Second, 15 * time.Second, 7 * time.Second, false},
		{"is expected to end in time, but callers know other routers", 3 * time.Second, 15 * time.Second, time.Second, false},
		{"ends in time by its timeout, late", 5500 * time.Millisecond, 1500 * time.Millisecond, 0, true},
		{"may end with the router", 6 * time.Second, 1500 * time.Millisecond, 0, false},
		{"after the end", 8 * time.Second, time.Millisecond, time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(s.Admits(start.Add(tc.arrived), tc.timeout, tc.expected), qt.Equals, tc.want)
		})
	}
}

// Guards against a stopping router that takes calls it has to cut, or that says of a call which
// it has sent on that it was not run.
func TestCallsThatMayOutlastTheRouterAreRefused(t *testing.T) {
	var shutdown atomic.Pointer[forward.Shutdown]
	f := newFixture(t, 1, always("200 OK", "", "hi"), func(c *forward.Config) {
		c.Shutdown = shutdown.Load
	})
	now := time.Now()
	t.Run("one that may outlast it", func(*testing.T) {
		shutdown.Store(&forward.Shutdown{Since: now, End: now.Add(600 * time.Millisecond), HeldUntil: now})
		got := f.call("/safe/a")
		f.assertResponse(got, 503, "")
		f.Assert(got.Field("retry-after"), qt.Equals, "0")
		f.Assert(f.targetRequests(), qt.Equals, 0)
	})
	t.Run("one that ends before it", func(*testing.T) {
		shutdown.Store(&forward.Shutdown{Since: now, End: now.Add(10 * time.Second), HeldUntil: now})
		f.assertResponse(f.call("/safe/a"), 200, "hi")
	})
	t.Run("one that usually ends before it", func(*testing.T) {
		for range 20 {
			f.assertResponse(f.call("/open/a"), 200, "hi")
		}
		now := time.Now()
		shutdown.Store(&forward.Shutdown{Since: now, End: now.Add(900 * time.Millisecond), HeldUntil: now.Add(time.Minute)})
		f.assertResponse(f.call("/open/a"), 200, "hi")
		f.assertResponse(f.call("/safe/a"), 503, "")
	})
}

// Guards against a stopping router that leaves the callers of unfinished calls without any
// answer, sends their calls on once more, or completes a stream that it cuts.
func TestCallsInProgressEndVisiblyWhenTheRouterStops(t *testing.T) {
	f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
		if r.Target == "/resume/a" {
			const event = "id: 1\ndata: x\n\n"
			_, _ = fmt.Fprintf(c, "%s%x\r\n%s\r\n", platformtest.StreamHead(r), len(event), event)
		}
		_, _ = io.Copy(io.Discard, c) // Until the router closes the connection.
		return false
	})
	done := make(chan response, 2)
	for _, path := range []string{"/safe/a", "/resume/a"} {
		go func() { done <- f.call(path) }()
	}
	f.awaitRequests(2)
	time.Sleep(20 * time.Millisecond) // The stream's first event is relayed.
	f.server.Stop()
	for range 2 {
		got := <-done
		if got.err == nil {
			f.Assert(got.Status, qt.Equals, 502)
			continue
		}
		f.Assert(got.body, qt.Equals, "id: 1\ndata: x\n\n")
	}
	f.Assert(f.targetRequests(), qt.Equals, 2)
}

// Guards against a stopping router that sends on a call which may outlast it, because the stop
// began while the call waited or while its first target refused it.
func TestCallsThatAreNotExecutedYetWhenTheStopBeginsAreRefused(t *testing.T) {
	var shutdown atomic.Pointer[forward.Shutdown]
	stop := func(left time.Duration) {
		now := time.Now()
		shutdown.Store(&forward.Shutdown{Since: now, End: now.Add(left), HeldUntil: now.Add(time.Minute)})
	}
	withShutdown := func(c *forward.Config) { c.Shutdown = shutdown.Load }
	assertRefused := func(f *fixture, got response, targetRequests int) {
		f.Helper()
		f.assertResponse(got, 503, "")
		f.Assert(got.Field("retry-after"), qt.Equals, "0")
		f.Assert(f.targetRequests(), qt.Equals, targetRequests)
	}
	t.Run("while it waits", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "hi"), withShutdown)
		c, r := f.dial()
		_, err := io.WriteString(c, platformtest.Request("/chat/a", platformtest.AuthorizationLine+platformtest.PromptLine, "x"))
		f.Assert(err, qt.IsNil)
		time.Sleep(20 * time.Millisecond) // The call waits until it is known which targets hold its prompt.
		stop(600 * time.Millisecond)
		assertRefused(f, readResponse(r), 0)
	})
	refuseAfter := func(left time.Duration) rawserver.Handler {
		var refused atomic.Bool
		return func(c net.Conn, r rawserver.Request) bool {
			if r.Target == "/safe/refused" && !refused.Swap(true) {
				stop(left)
				_, _ = io.WriteString(c, platformtest.NotExecuted(r))
				return false
			}
			return always("200 OK", "", "hi")(c, r)
		}
	}
	t.Run("while its target refuses it", func(t *testing.T) {
		shutdown.Store(nil)
		f := newFixture(t, 2, refuseAfter(600*time.Millisecond), withShutdown)
		assertRefused(f, f.call("/safe/refused"), 1)
	})
	t.Run("unless it usually ends in time", func(t *testing.T) {
		shutdown.Store(nil)
		f := newFixture(t, 2, refuseAfter(900*time.Millisecond), withShutdown)
		for range 20 {
			f.assertResponse(f.call("/safe/a"), 200, "hi")
		}
		f.assertResponse(f.call("/safe/refused"), 200, "hi")
	})
}

// Guards against callers that repeat a refused call at once, again and again, because no other
// router serves.
func TestRefusalOfTheLastRouterAsksForAPause(t *testing.T) {
	now := time.Now()
	for name, others := range map[string]bool{"others serve": true, "no other serves": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, always("200 OK", "", "hi"), func(c *forward.Config) {
				c.Shutdown = func() *forward.Shutdown { return &forward.Shutdown{Since: now, End: now, HeldUntil: now} }
				c.OthersServe = func() bool { return others }
			})
			got := f.call("/safe/a")
			f.assertResponse(got, 503, "")
			f.Assert(got.Field("retry-after") == "0", qt.Equals, others)
		})
	}
}
