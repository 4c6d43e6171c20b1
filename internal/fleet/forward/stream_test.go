package forward_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/retries"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// eventScript returns a script that streams the events after Last-Event-Id up to last.
// Without that header, it closes the connection in the middle of event cut.
func eventScript(last, cut int) rawserver.Handler {
	return func(c net.Conn, r rawserver.Request) bool {
		from := 0
		_, _ = fmt.Sscan(platformtest.DecodeForwarded(r).LastEventID, &from)
		_, _ = io.WriteString(c, platformtest.StreamHead(r))
		for i := from + 1; i <= last; i++ {
			if i == cut && from == 0 {
				_, _ = io.WriteString(c, chunk(fmt.Sprintf("id: %d\nda", i)))
				return false
			}
			_, _ = io.WriteString(c, chunk(fmt.Sprintf("id: %d\ndata: x\n\n", i)))
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

func wholeStream(last int) string {
	var b strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// pausing returns a script that streams two events with a pause between them.
func pausing(pause time.Duration) rawserver.Handler {
	return func(c net.Conn, r rawserver.Request) bool {
		_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk("id: 1\ndata: x\n\n"))
		time.Sleep(pause)
		_, err := io.WriteString(c, chunk("id: 2\ndata: x\n\n")+"0\r\n\r\n")
		return err == nil
	}
}

// spendBudget uses up the retry budget.
func (f *fixture) spendBudget() {
	for f.budgets.Retry(time.Now(), "", "s") == retries.Allowed {
	}
	f.budgets.SetBurst(0)
}

// Guards against a failure found by seed 206 of the soak test: a healthy target
// pauses after failures have used up the retry budget. Its call must not be
// cancelled when it cannot be retried.
func TestSilentTargetIsAbandonedOnlyForAnother(t *testing.T) {
	t.Run("not within the event gap that the route allows", func(t *testing.T) {
		f := newFixture(t, 2, pausing(200*time.Millisecond))
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(2))
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("not a stream without budget", func(t *testing.T) {
		f := newFixture(t, 2, pausing(600*time.Millisecond))
		f.spendBudget()
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(2))
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("not a stream without another target", func(t *testing.T) {
		f := newFixture(t, 1, pausing(600*time.Millisecond))
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(2))
	})
	slow := func(c net.Conn, r rawserver.Request) bool {
		time.Sleep(150 * time.Millisecond)
		return always("200 OK", "", "late")(c, r)
	}
	t.Run("not a call without budget", func(t *testing.T) {
		f := newFixture(t, 2, slow)
		f.spendBudget()
		f.assertResponse(f.call("/safe/a"), 200, "late")
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("not a call without another target", func(t *testing.T) {
		f := newFixture(t, 1, slow)
		f.assertResponse(f.call("/safe/a"), 200, "late")
	})
}

func TestStreams(t *testing.T) {
	t.Run("are relayed completely", func(t *testing.T) {
		f := newFixture(t, 1, eventScript(9, 0))
		f.assertResponse(f.call("/stream/a"), 200, wholeStream(9))
	})
	t.Run("are aborted when the target's stream is cut", func(t *testing.T) {
		f := newFixture(t, 2, eventScript(9, 4))
		got := f.call("/stream/a")
		f.Assert(got.err, qt.IsNotNil)
		f.Assert(strings.HasPrefix(wholeStream(9), got.body), qt.IsTrue)
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("are resumed on another target if the route allows it", func(t *testing.T) {
		f := newFixture(t, 2, eventScript(9, 4))
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(9))
		f.Assert(f.targetRequests(), qt.Equals, 2)
	})
	t.Run("are resumed when the target stops sending", func(t *testing.T) {
		f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
			if platformtest.DecodeForwarded(r).LastEventID != "" {
				return eventScript(5, 0)(c, r)
			}
			_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk("id: 1\ndata: x\n\n"))
			_, _ = c.Read(make([]byte, 1))
			return false
		})
		start := time.Now()
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(5))
		f.Assert(time.Since(start) < time.Second, qt.IsTrue)
	})
	t.Run("are relayed event by event", func(t *testing.T) {
		more := make(chan struct{})
		f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk("id: 1\ndata: x\n\n"))
			<-more
			_, _ = io.WriteString(c, chunk("id: 2\ndata: x\n\n")+"0\r\n\r\n")
			return true
		})
		c, r := f.dial()
		_, _ = io.WriteString(c, platformtest.Request("/stream/a", platformtest.AuthorizationLine, ""))
		head, err := http1.ReadResponse(r, 16<<10, "POST")
		f.Assert(err, qt.IsNil)
		body := http1.Body(r, head.Length)
		first := make([]byte, 15)
		_, err = io.ReadFull(body, first)
		f.Assert(err, qt.IsNil)
		close(more)
		rest, err := io.ReadAll(body)
		f.Assert(err, qt.IsNil)
		f.Assert(string(first)+string(rest), qt.Equals, wholeStream(2))
	})
}

// unframed returns a script that streams three events, those after Last-Event-Id, with
// neither a length nor chunks. Without that header, it ends the stream after the bytes cut.
func unframed(cut string) rawserver.Handler {
	return func(c net.Conn, r rawserver.Request) bool {
		_, _ = io.WriteString(c, platformtest.UnframedStreamHead(r))
		from := 0
		if _, err := fmt.Sscan(platformtest.DecodeForwarded(r).LastEventID, &from); err != nil && r.Sequence == 1 && cut != "whole" {
			_, _ = io.WriteString(c, cut)
			return false
		}
		_, _ = io.WriteString(c, strings.TrimPrefix(wholeStream(3), wholeStream(from)))
		return false
	}
}

// Guards against a stream that ends inside an event and is passed on as complete. Without
// a length or chunks, only its events show that.
func TestStreamsThatEndInsideAnEvent(t *testing.T) {
	t.Run("a stream that ends with its connection after an event is whole", func(t *testing.T) {
		f := newFixture(t, 1, unframed("whole"))
		f.assertResponse(f.call("/stream/a"), 200, wholeStream(3))
	})
	cuts := map[string]string{"inside an event": wholeStream(1) + "id: 2\nda", "before the first event": ""}
	for name, cut := range cuts {
		t.Run(name+" it is resumed", func(t *testing.T) {
			first := true
			f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
				script := unframed("whole")
				if first {
					script, first = unframed(cut), false
				}
				return script(c, r)
			})
			f.assertResponse(f.call("/resume/a"), 200, wholeStream(3))
		})
		t.Run(name+" it is aborted if it may be executed once", func(t *testing.T) {
			f := newFixture(t, 1, unframed(cut))
			got := f.call("/stream/a")
			f.Assert(got.err != nil || got.Status == 502, qt.IsTrue, qt.Commentf("%+v", got))
			f.Assert(strings.Contains(got.body, "id: 2"), qt.IsFalse)
		})
	}
	t.Run("a stream in chunks that ends inside an event is aborted", func(t *testing.T) {
		f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
			_, err := io.WriteString(c, platformtest.StreamHead(r)+chunk(wholeStream(1)+"id: 2\nda")+"0\r\n\r\n")
			return err == nil
		})
		f.Assert(f.call("/stream/a").err, qt.IsNotNil)
	})
}
