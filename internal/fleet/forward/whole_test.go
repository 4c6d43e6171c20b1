package forward_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

// sending returns a script that sends a head and bytes, and then closes the connection.
func sending(head func(rawserver.Request) string, bytes string) rawserver.Handler {
	return func(c net.Conn, r rawserver.Request) bool {
		_, _ = io.WriteString(c, head(r)+bytes)
		return false
	}
}

// assertBrokenOff checks that the caller sees that a response is incomplete.
func (f *fixture) assertBrokenOff(got response) {
	f.Helper()
	f.Assert(got.err != nil || got.Status == 502, qt.IsTrue, qt.Commentf("%+v", got))
}

// Guards against an event stream that ends inside an event and is passed on as complete
// because its route does not declare streams.
func TestEventStreamsOfOtherRoutesThatEndInsideAnEvent(t *testing.T) {
	for name, head := range map[string]func(rawserver.Request) string{
		"unframed": platformtest.UnframedStreamHead,
		"status 206": func(r rawserver.Request) string {
			return strings.Replace(platformtest.UnframedStreamHead(r), "200 OK", "206 Partial", 1)
		},
	} {
		for cut, bytes := range map[string]string{"inside an event": wholeStream(2) + "id: 3\nda", "before the first event": ""} {
			for _, path := range []string{"/once/a", "/safe/a", "/stream/a"} {
				t.Run(name+" "+cut+" on "+path, func(t *testing.T) {
					f := newFixture(t, 1, sending(head, bytes))
					f.assertBrokenOff(f.call(path))
				})
			}
		}
		t.Run(name+" after an event it is whole", func(t *testing.T) {
			f := newFixture(t, 1, sending(head, wholeStream(2)))
			got := f.call("/safe/a")
			f.Assert(got.err, qt.IsNil)
			f.Assert(got.body, qt.Equals, wholeStream(2))
		})
	}
}

// Guards against a stream that was cut at any byte and is passed on as complete, or with
// other bytes than those that the target has sent.
func TestStreamsThatEndAtAnyByte(t *testing.T) {
	streams := map[string]string{
		"LF":   "id: 1\ndata: a\n\nid: 23\ndata: b\n\n",
		"CRLF": "id: 1\r\ndata: a\r\n\r\nid: 23\r\ndata: b\r\n\r\n",
	}
	for name, stream := range streams {
		t.Run(name, func(t *testing.T) {
			var cut string
			f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
				return sending(platformtest.UnframedStreamHead, cut)(c, r)
			})
			ends := map[int]bool{len(stream): true, strings.Index(stream, "id: 23"): true}
			for n := range len(stream) + 1 {
				cut = stream[:n]
				got := f.call("/stream/a")
				f.Assert(strings.HasPrefix(cut, got.body), qt.IsTrue, qt.Commentf("%q became %q", cut, got.body))
				if !ends[n] {
					f.assertBrokenOff(got)
					continue
				}
				f.assertResponse(got, 200, cut)
			}
		})
	}
	t.Run("empty lines after the last event are passed on", func(t *testing.T) {
		stream := wholeStream(1) + "\n"
		f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk(wholeStream(1)))
			time.Sleep(20 * time.Millisecond) // The empty line arrives by itself.
			_, err := io.WriteString(c, chunk("\n")+"0\r\n\r\n")
			return err == nil
		})
		f.assertResponse(f.call("/stream/a"), 200, stream)
	})
	t.Run("a line end that is cut is not whole", func(t *testing.T) {
		f := newFixture(t, 1, sending(platformtest.UnframedStreamHead, wholeStream(1)+"\r"))
		f.assertBrokenOff(f.call("/stream/a"))
	})
}

// Guards against events that reach the caller twice: a stream whose last events have no
// ID cannot be resumed after them.
func TestStreamsWithoutIDsAreNotResumed(t *testing.T) {
	for name, events := range map[string]string{
		"no event has an ID":         "data: a\n\ndata: b\n\n",
		"the last event has no ID":   "id: 1\ndata: a\n\ndata: b\n\n",
		"the last event's is empty":  "id: 1\ndata: a\n\nid:\ndata: b\n\n",
		"the ID follows in the next": "data: a\n\nid: 2\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, sending(platformtest.StreamHead, chunk(events)))
			got := f.call("/resume/a")
			f.assertBrokenOff(got)
			f.Assert(f.targetRequests(), qt.Equals, 1)
			f.Assert(strings.Count(got.body, "data: a"), qt.Equals, 1)
		})
	}
	t.Run("a silent target is not left", func(t *testing.T) {
		f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk("data: a\n\n"))
			time.Sleep(time.Second + 200*time.Millisecond)
			_, err := io.WriteString(c, chunk("data: b\n\n")+"0\r\n\r\n")
			return err == nil
		})
		f.assertResponse(f.call("/resume/a"), 200, "data: a\n\ndata: b\n\n")
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("they are resumed after a later event with an ID", func(t *testing.T) {
		first := true
		f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
			script := eventScript(3, 0)
			if first {
				script, first = sending(platformtest.StreamHead, chunk("data: note\n\nid: 1\ndata: x\n\n")), false
			}
			return script(c, r)
		})
		f.assertResponse(f.call("/resume/a"), 200, "data: note\n\n"+wholeStream(3))
	})
}

// Guards against events that reach the caller twice: a target to which a stream is sent on
// does not resume it, but begins it again.
func TestStreamsThatBeginAgainAreNotJoined(t *testing.T) {
	again := func(events string) rawserver.Handler {
		return func(c net.Conn, r rawserver.Request) bool {
			if platformtest.DecodeForwarded(r).LastEventID == "" {
				return eventScript(9, 4)(c, r)
			}
			_, err := io.WriteString(c, platformtest.StreamHead(r)+chunk(events)+"0\r\n\r\n")
			return err == nil
		}
	}
	for name, events := range map[string]string{
		"from the first event":    wholeStream(9),
		"from the last event":     "id: 3\ndata: x\n\nid: 4\ndata: x\n\n",
		"after a comment":         ": note\n\n" + wholeStream(9),
		"with a later event next": "id: 2\ndata: x\n\nid: 9\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, again(events))
			got := f.call("/resume/a")
			f.assertBrokenOff(got)
			for i := 1; i <= 9; i++ {
				f.Assert(strings.Count(got.body, fmt.Sprintf("id: %d\n", i)) <= 1, qt.IsTrue, qt.Commentf("%q", got.body))
			}
			f.Assert(f.targetRequests(), qt.Equals, 2)
		})
	}
	t.Run("IDs that are no numbers say nothing", func(t *testing.T) {
		f := newFixture(t, 2, again("id: b\ndata: x\n\n"))
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(3)+"id: b\ndata: x\n\n")
	})
}

// Guards against body bytes after the head of a response to a HEAD request, which a
// caller would take for its next response.
func TestHeadRequestsOfStreamsHaveNoBody(t *testing.T) {
	f := newFixture(t, 1, sending(platformtest.StreamHead, ""))
	c, r := f.dial()
	_, err := io.WriteString(c, strings.Replace(platformtest.Request("/stream/a", platformtest.AuthorizationLine, ""), "POST", "HEAD", 1)+
		platformtest.Request("/missing/a", platformtest.AuthorizationLine, ""))
	f.Assert(err, qt.IsNil)
	for _, want := range []int{200, 404} {
		head, err := http1.ReadResponse(r, 16<<10, "HEAD")
		f.Assert(err, qt.IsNil)
		f.Assert(head.Status, qt.Equals, want)
	}
}

// Guards against an error that is replaced by 502, and repeated, because it has the type of a
// stream but no events.
func TestErrorsWithTheTypeOfAStreamAreRelayed(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for path, isAtMostOnce := range map[string]bool{"/once/a": true, "/stream/a": true, "/replay/a": false} {
		for _, status := range []int{400, 401, 404, 500, 503} {
			for framing, respond := range map[string]func(r rawserver.Request, status, lines, body string) string{
				"length": platformtest.Response, "chunks": chunkedResponse,
			} {
				t.Run(fmt.Sprint(status, " ", framing, " on ", path), func(t *testing.T) {
					f := newFixture(t, 2, answering(func(r rawserver.Request) string {
						return respond(r, fmt.Sprint(status, " Oops"), stream, "failed")
					}))
					if isAtMostOnce && promises(status) {
						f.assertResponse(f.call(path), 502, "") // The call may have run.
					} else {
						f.assertResponse(f.call(path), status, "failed")
					}
					if isAtMostOnce || status < 500 {
						f.Assert(f.targetRequests(), qt.Equals, 1)
					} else {
						f.Assert(f.targetRequests(), qt.Equals, 2)
					}
				})
			}
		}
		t.Run("cut on "+path, func(t *testing.T) {
			f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
				raw := platformtest.Response(r, "500 Oops", stream, "failed")
				_, _ = io.WriteString(c, raw[:len(raw)-2])
				return false
			})
			f.assertBrokenOff(f.call(path))
		})
	}
}
