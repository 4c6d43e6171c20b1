package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// Guards against slots that stay occupied until the call's deadline, or that are counted as free
// twice, whatever the end of an attempt.
func TestEachGrantEndsOnce(t *testing.T) {
	hang := func(c net.Conn, _ rawserver.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	for name, tc := range map[string]struct {
		script rawserver.Handler
		status int // 0 if the connection ends.
		refuse bool
	}{
		"200":                    {script: always("200 OK", "", "x"), status: 200},
		"404":                    {script: always("404 Not Found", "", "x"), status: 404},
		"500":                    {script: always("500 Error", "", "x"), status: 500},
		"503 with proof":         {script: write(platformtest.NotExecuted), status: 503, refuse: true},
		"503 without proof":      {script: always("503 Busy", "", ""), status: 502},
		"421":                    {script: write(platformtest.Misdirected), status: 503, refuse: true},
		"reset":                  {script: reset, status: 502},
		"malformed":              {script: write(func(rawserver.Request) string { return "nonsense\r\n\r\n" }), status: 502},
		"answer of another call": {script: write(func(rawserver.Request) string { return platformtest.ResponseToOtherCall() }), status: 504},
		"cut": {script: func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.ResponseHead(r, 9))
			return false
		}, status: 502},
		"timeout": {script: hang, status: 504},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSlotFixture(t, 1, tc.script)
			got := f.call("/once/a")
			f.Assert(got.err, qt.IsNil)
			f.Assert(got.Status, qt.Equals, tc.status)
			f.awaitEnds(1, 0)
			f.Assert(f.slots.results[0].Refused, qt.Equals, tc.refuse)
			f.Assert(f.slots.results[0].Succeeded, qt.Equals, tc.status == 200)
		})
	}
	t.Run("unreachable", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		f.stops[0]()
		f.assertResponse(f.call("/once/a"), 503, "")
		f.awaitEnds(1, 0)
	})
	t.Run("the caller leaves while the target answers", func(t *testing.T) {
		f := newSlotFixture(t, 1, hang)
		c, _ := f.dial()
		_, err := io.WriteString(c, platformtest.Request("/safe/a", platformtest.AuthorizationLine, "x"))
		f.Assert(err, qt.IsNil)
		f.awaitRequests(1)
		_ = c.Close()
		f.awaitEnds(1, 0)
	})
	t.Run("the router stops", func(t *testing.T) {
		f := newSlotFixture(t, 1, hang)
		got := make(chan response, 1)
		go func() { got <- f.call("/safe/a") }()
		f.awaitRequests(1)
		f.server.Stop()
		f.assertResponse(<-got, 502, "")
		f.awaitEnds(1, 0)
	})
}

// Guards against calls that wait for a slot longer than someone waits for them, or that are then
// sent all the same.
func TestWaitForASlotEnds(t *testing.T) {
	wait := func(f *slotFixture) chan struct{} {
		ended := make(chan struct{})
		f.slots.assign = func(ctx context.Context, r slotgrant.Request) (uint64, error) {
			ctx, cancel := context.WithDeadline(ctx, r.Deadline)
			defer cancel()
			<-ctx.Done()
			close(ended)
			return 0, fmt.Errorf("wait for a slot: %w", ctx.Err())
		}
		return ended
	}
	t.Run("at the deadline", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		wait(f)
		started := time.Now()
		got := f.call("/once/a")
		f.assertResponse(got, 503, "")
		f.Assert(got.Field("retry-after"), qt.Not(qt.Equals), "")
		f.Assert(time.Since(started) < 800*time.Millisecond, qt.IsTrue)
		f.Assert(f.targetRequests(), qt.Equals, 0)
	})
	t.Run("when the deadline of the request ends first", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		f.fail(fmt.Errorf("wait for a slot: %w", context.DeadlineExceeded))
		f.assertResponse(f.call("/once/a"), 503, "")
		f.Assert(f.targetRequests(), qt.Equals, 0)
	})
	t.Run("when the caller leaves", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		ended := wait(f)
		c, _ := f.dial()
		_, err := io.WriteString(c, platformtest.Request("/safe/a", platformtest.AuthorizationLine, "x"))
		f.Assert(err, qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		left := time.Now()
		_ = c.Close()
		f.Assert(<-ended, qt.IsNotNil)
		f.Assert(time.Since(left) < 400*time.Millisecond, qt.IsTrue)
		f.Assert(f.line()["reason"], qt.Equals, "caller-gone")
		f.Assert(f.targetRequests(), qt.Equals, 0)
	})
	t.Run("when the router stops", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		ended := wait(f)
		got := make(chan response, 1)
		go func() { got <- f.call("/safe/a") }()
		time.Sleep(50 * time.Millisecond)
		f.server.Stop()
		f.Assert(<-ended, qt.IsNotNil)
		f.assertResponse(<-got, 503, "")
		f.Assert(f.targetRequests(), qt.Equals, 0)
		f.Assert(f.line()["reason"], qt.Equals, "router-stopping")
	})
	t.Run("a grant just before the deadline is not used", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		f.slots.assign = func(_ context.Context, r slotgrant.Request) (uint64, error) {
			time.Sleep(time.Until(r.Deadline) - time.Millisecond)
			return f.hash(0), nil
		}
		f.assertResponse(f.call("/once/a"), 503, "")
		f.Assert(f.targetRequests(), qt.Equals, 0)
		f.awaitEnds(0, 1)
	})
	t.Run("a stop that begins while the call waits", func(t *testing.T) {
		var shutdown forward.Shutdown
		isStopping := make(chan struct{})
		f := newSlotFixture(t, 1, always("200 OK", "", "x"), func(c *forward.Config) {
			c.Shutdown = func() *forward.Shutdown {
				select {
				case <-isStopping:
					return &shutdown
				default:
					return nil
				}
			}
		})
		f.slots.assign = func(context.Context, slotgrant.Request) (uint64, error) {
			shutdown = forward.Shutdown{Since: time.Now(), End: time.Now().Add(300 * time.Millisecond)}
			close(isStopping)
			return f.hash(0), nil
		}
		got := f.call("/once/a")
		f.assertResponse(got, 503, "")
		f.Assert(got.Field("retry-after"), qt.Not(qt.Equals), "")
		f.Assert(f.targetRequests(), qt.Equals, 0)
		f.awaitEnds(0, 1)
	})
}
