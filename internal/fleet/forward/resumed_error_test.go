package forward_test

import (
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

const errorText = "upstream failed\n\nsee the log\n\n"

// breakOffs are the ways in which a target breaks off a stream after three events.
var breakOffs = map[string]rawserver.Handler{
	"closed inside an event": sending(platformtest.StreamHead, chunk(wholeStream(3)+"id: 4\nda")),
	"closed inside a chunk":  sending(platformtest.StreamHead, "ff\r\n"+wholeStream(3)+"id: 4\n"),
	"closed after an event":  sending(platformtest.StreamHead, chunk(wholeStream(3))),
	"ended inside an event":  sending(platformtest.StreamHead, chunk(wholeStream(3)+"id: 4\nda")+"0\r\n\r\n"),
	"without a length":       sending(platformtest.UnframedStreamHead, wholeStream(3)+"id: 4\nda"),
}

func breakOff(c net.Conn, r rawserver.Request) bool {
	return breakOffs["closed inside an event"](c, r)
}

// silentAfterEvents sends three events and nothing more until the router closes the connection.
func silentAfterEvents(c net.Conn, r rawserver.Request) bool {
	_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk(wholeStream(3)))
	_, _ = c.Read(make([]byte, 1))
	return false
}

// chunkedResponse is platformtest.Response in chunks.
func chunkedResponse(r rawserver.Request, status, lines, body string) string {
	return unsealedChunks(r, status, platformtest.SealLine+lines, body)
}

// unsealedChunks is platformtest.UnsealedResponse in chunks.
func unsealedChunks(r rawserver.Request, status, lines, body string) string {
	head := platformtest.UnsealedResponse(r, status, lines, "")
	return strings.Replace(head, "Content-Length: 0", "Transfer-Encoding: chunked", 1) + chunk(body) + "0\r\n\r\n"
}

// unframedResponse is platformtest.Response with a body that ends with its connection.
func unframedResponse(r rawserver.Request, status, lines, body string) string {
	return strings.Replace(platformtest.Response(r, status, lines, ""), "Content-Length: 0\r\n", "", 1) + body
}

// answering returns a script that sends a response and keeps the connection open.
func answering(response func(rawserver.Request) string) rawserver.Handler {
	return func(c net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(c, response(r))
		return err == nil
	}
}

// nonEmptyChunk is chunk, or nothing for no bytes: an empty chunk would end the body.
func nonEmptyChunk(s string) string {
	if s == "" {
		return ""
	}
	return chunk(s)
}

// streaming returns a script that sends a whole stream in one chunk.
func streaming(events string) rawserver.Handler {
	return answering(func(r rawserver.Request) string {
		return platformtest.StreamHead(r) + nonEmptyChunk(events) + "0\r\n\r\n"
	})
}

// streamingAs returns a script that sends a whole stream with another media type and
// additional header lines.
func streamingAs(mediaType, lines, body string) rawserver.Handler {
	return answering(func(r rawserver.Request) string {
		head := strings.Replace(platformtest.StreamHeadWith(r, lines), "Content-Type: text/event-stream\r\n", mediaType, 1)
		return head + nonEmptyChunk(body) + "0\r\n\r\n"
	})
}

// assertCut checks that the caller sees that a stream is incomplete, and that it got the
// first of the stream's events and nothing else.
func (f *fixture) assertCut(got response) {
	f.Helper()
	f.Assert(got.err, qt.IsNotNil, qt.Commentf("%q", got.body))
	f.Assert(got.Response, qt.IsNotNil)
	f.Assert(got.Status, qt.Equals, 200)
	f.Assert(platform.DecodeResponseHeaders(got.Status, got.Fields).Sealed, qt.IsTrue)
	f.Assert(got.body, qt.Equals, wholeStream(3))
}

// assertCutAfter checks that a stream that was broken off after three events and sent on to
// another target, which runs next, is cut for the caller.
func assertCutAfter(t *testing.T, next rawserver.Handler) {
	t.Helper()
	for _, path := range []string{"/resume/a", "/talk/a"} {
		f := newFixture(t, 2, firstCall(breakOff, next))
		f.assertCut(f.call(path))
		f.Assert(f.targetRequests(), qt.Equals, 2)
	}
}

// Guards against an error response whose text or head follows the events of a stream.
func TestStreamsThatGoOnWithAnErrorStatus(t *testing.T) {
	framings := map[string]func(r rawserver.Request, status, lines, body string) string{
		"length": platformtest.Response, "chunks": chunkedResponse, "until close": unframedResponse,
		"unsealed": platformtest.UnsealedResponse,
	}
	for framing, respond := range framings {
		for _, status := range []string{"500 Oops", "502 Oops", "503 Oops", "400 Oops", "401 Oops", "404 Oops", "206 Partial", "201 Created"} {
			t.Run(status+" "+framing, func(t *testing.T) {
				assertCutAfter(t, func(c net.Conn, r rawserver.Request) bool {
					_, _ = io.WriteString(c, respond(r, status, "Content-Type: text/event-stream\r\n", wholeStream(9)))
					return false
				})
			})
		}
	}
	t.Run("204", func(t *testing.T) { assertCutAfter(t, always("204 None", "", "")) })
	t.Run("after an interim head", func(t *testing.T) {
		assertCutAfter(t, answering(func(r rawserver.Request) string {
			return "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + platformtest.Response(r, "500 Oops", "", errorText)
		}))
	})
	for name, first := range breakOffs {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, firstCall(first, always("500 Oops", "", errorText)))
			f.assertCut(f.call("/resume/a"))
		})
	}
	t.Run("after a silence", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(silentAfterEvents, always("500 Oops", "", errorText)))
		f.assertCut(f.call("/resume/a"))
	})
	t.Run("a stream that may not be sent on is cut", func(t *testing.T) {
		for _, path := range []string{"/stream/a", "/replay/a"} {
			f := newFixture(t, 2, firstCall(breakOff, always("500 Oops", "", errorText)))
			f.assertCut(f.call(path))
			f.Assert(f.targetRequests(), qt.Equals, 1)
		}
	})
	t.Run("after a refusal it goes to a third target", func(t *testing.T) {
		f := newFixture(t, 3, firstCall(breakOff, firstCall(answering(platformtest.NotExecuted), eventScript(9, 0))))
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(9))
	})
	for name, refusal := range map[string]func(rawserver.Request) string{
		"busy": platformtest.NotExecuted, "replaced": platformtest.Misdirected,
	} {
		t.Run("a refusal by all others: "+name, func(t *testing.T) { assertCutAfter(t, answering(refusal)) })
	}
	t.Run("before the first event it is passed on as it is", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(sending(platformtest.StreamHead, chunk("id: 1\nda")), always("500 Oops", "X-Own: 1\r\n", errorText)))
		got := f.call("/resume/a")
		f.assertResponse(got, 500, errorText)
		f.Assert(got.Field("x-own"), qt.Equals, "1")
		f.Assert(platform.DecodeResponseHeaders(got.Status, got.Fields).Sealed, qt.IsTrue)
	})
}

// Guards against an error's text that follows the events of a stream because it comes with
// status 200 and has empty lines.
func TestStreamsThatGoOnAsAnotherType(t *testing.T) {
	const (
		plain = "Content-Type: text/plain\r\n"
		html  = "Content-Type: text/html; charset=utf-8\r\n"
		json  = "Content-Type: application/json\r\n"
		other = "Content-Type: text/event-stream-error\r\n"
	)
	for name, mediaType := range map[string]string{"text": plain, "HTML": html, "JSON": json, "no type": "", "a similar type": other} {
		for kind, body := range map[string]string{
			"text": errorText, "data": "data: x\n\n", "nothing": "", "numbered events": "id: 4\ndata: x\n\n",
		} {
			t.Run(name+" with "+kind, func(t *testing.T) { assertCutAfter(t, streamingAs(mediaType, "", body)) })
		}
	}
	t.Run("an encoded body", func(t *testing.T) {
		assertCutAfter(t, streamingAs("Content-Type: text/event-stream\r\n", "Content-Encoding: gzip\r\n", "id: 4\ndata: x\n\n"))
	})
	t.Run("a parameter or another case is the same type", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(breakOff, streamingAs("Content-Type: Text/Event-Stream; charset=utf-8\r\n",
			"Content-Encoding: identity\r\n", "id: 4\ndata: x\n\n")))
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(4))
	})
	t.Run("a stream without a type goes on without one", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(streamingAs("", "", wholeStream(3)+"id: 4\nda"), streamingAs("", "", "id: 4\ndata: x\n\n")))
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(4))
	})
}

// Guards against a response of another type that is taken for a stream because its route
// declares streams: it would be cut at its last empty line.
func TestOtherTypesOnStreamingRoutesAreWhole(t *testing.T) {
	const body = "first\n\nlast"
	t.Run("whole", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "Content-Type: text/plain\r\n", body))
		f.assertResponse(f.call("/stream/a"), 200, body)
	})
	t.Run("cut", func(t *testing.T) {
		f := newFixture(t, 1, sending(func(r rawserver.Request) string {
			return strings.Replace(platformtest.StreamHead(r), "text/event-stream", "text/plain", 1)
		}, chunk(body)))
		f.assertResponse(f.call("/stream/a"), 502, "")
	})
	t.Run("encoded events that nothing shows to be whole", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n", body))
		f.assertResponse(f.call("/stream/a"), 502, "")
	})
}

// Guards against a stream that was broken off and ends as if it were complete because the
// next target sends no event.
func TestStreamsThatGoOnWithoutAnEvent(t *testing.T) {
	for name, next := range map[string]rawserver.Handler{
		"in chunks":   answering(func(r rawserver.Request) string { return platformtest.StreamHead(r) + "0\r\n\r\n" }),
		"empty lines": streaming("\n\n"),
		"a comment":   streaming(": heartbeat\n\n"),
		"with a length": answering(func(r rawserver.Request) string {
			return platformtest.Response(r, "200 OK", "Content-Type: text/event-stream\r\n", "")
		}),
		"until close": sending(platformtest.UnframedStreamHead, ""),
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/resume/a", "/talk/a"} {
				f := newFixture(t, 2, firstCall(breakOff, next))
				got := f.call(path)
				f.Assert(got.err, qt.IsNotNil)
				f.Assert(strings.TrimRight(strings.TrimSuffix(got.body, ": heartbeat\n\n"), "\n")+"\n\n", qt.Equals, wholeStream(3))
				f.Assert(f.targetRequests(), qt.Equals, 2)
			}
		})
	}
	for name, first := range map[string]rawserver.Handler{
		"closed": breakOffs["closed after an event"], "silent": silentAfterEvents,
	} {
		t.Run("the stream may have lacked only its end: "+name, func(t *testing.T) {
			f := newFixture(t, 2, firstCall(first, streaming("")))
			f.assertResponse(f.call("/resume/a"), 200, wholeStream(3))
			f.Assert(f.targetRequests(), qt.Equals, 2)
		})
	}
	t.Run("an event that must not be relayed came before", func(t *testing.T) {
		first := sending(platformtest.StreamHead, chunk(wholeStream(3)+"HTTP/1.1 500 Oops\r\n\r\n"))
		f := newFixture(t, 2, firstCall(first, streaming("")))
		f.assertCut(f.call("/resume/a"))
	})
	t.Run("the caller's own resumption is its own to judge", func(t *testing.T) {
		f := newFixture(t, 1, streaming(""))
		f.assertResponse(f.send(platformtest.Request("/resume/a", platformtest.AuthorizationLine+"Last-Event-Id: 3\r\n", "")), 200, "")
	})
	t.Run("a stream that ends with its connection after a comment", func(t *testing.T) {
		f := newFixture(t, 1, sending(platformtest.UnframedStreamHead, ": heartbeat\n\n"))
		f.assertBrokenOff(f.call("/stream/a"))
	})
	t.Run("nothing has been relayed", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(sending(platformtest.StreamHead, chunk("id: 1\nda")), streaming("")))
		f.assertResponse(f.call("/resume/a"), 200, "")
	})
}

// Guards against an error that follows the events of a stream as another event, and against
// events of another stream.
func TestStreamsThatGoOnWithForeignEvents(t *testing.T) {
	for name, events := range map[string]string{
		"an error event":                             "event: error\ndata: upstream failed\n\n",
		"an error event with the next ID":            "id: 4\nevent: error\ndata: upstream failed\n\n",
		"an error event with its ID last":            "event:error\r\ndata: upstream failed\r\nid:4\r\n\r\n",
		"an event without an ID":                     "data: upstream failed\n\n",
		"an event with an empty ID":                  "id:\ndata: upstream failed\n\n",
		"an event without an ID before the next":     "data: upstream failed\n\nid: 4\ndata: x\n\n",
		"the last event":                             "id: 3\ndata: x\n\n",
		"the first events":                           "id: 1\ndata: x\n\nid: 2\ndata: x\n\n",
		"an ID that only repeats in the second line": "data: x\nid: 2\n\n",
	} {
		t.Run(name, func(t *testing.T) { assertCutAfter(t, streaming(events)) })
	}
	for name, events := range map[string]string{
		"an error event":          "event: error\ndata: upstream failed\n\n",
		"an event without an ID":  "data: upstream failed\n\n",
		"the same event":          "id: 4\ndata: x\n\n",
		"an earlier event":        "id: 2\ndata: x\n\n",
		"an event with two IDs":   "id: 5\nid: 3\ndata: x\n\n",
		"an error event with one": "id: 5\nevent: error\ndata: x\n\n",
	} {
		t.Run("after a true one: "+name, func(t *testing.T) {
			f := newFixture(t, 2, firstCall(breakOff, streaming("id: 4\ndata: x\n\n"+events)))
			got := f.call("/resume/a")
			f.Assert(got.err, qt.IsNotNil, qt.Commentf("%q", got.body))
			f.Assert(got.body, qt.Equals, wholeStream(4))
		})
	}
	t.Run("an error event after a comment", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(breakOff, streaming("\n\r\n: note\n\nevent: error\ndata: x\n\n")))
		got := f.call("/resume/a")
		f.Assert(got.err, qt.IsNotNil)
		f.Assert(got.body, qt.Equals, wholeStream(3)+"\n\r\n: note\n\n")
	})
	t.Run("comments and retry delays are passed on", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(breakOff, streaming(": note\n\nretry: 100\n\nid: 4\ndata: x\n\n")))
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(3)+": note\n\nretry: 100\n\nid: 4\ndata: x\n\n")
	})
	t.Run("a stream that has events without IDs goes on with them", func(t *testing.T) {
		begun := "id: 1\ndata: a\n\ndata: note\n\nid: 2\ndata: a\n\n"
		f := newFixture(t, 2, firstCall(sending(platformtest.StreamHead, chunk(begun)), streaming("data: note\n\nid: 3\ndata: a\n\n")))
		f.assertResponse(f.call("/resume/a"), 200, begun+"data: note\n\nid: 3\ndata: a\n\n")
	})
	t.Run("a target's own error event is passed on", func(t *testing.T) {
		events := wholeStream(2) + "event: error\ndata: upstream failed\n\n"
		f := newFixture(t, 1, streaming(events))
		f.assertResponse(f.call("/stream/a"), 200, events)
	})
}

// Guards against a stream that misses events because the next target does not resume it right
// after the last one.
func TestStreamsThatGoOnAfterAGap(t *testing.T) {
	numbered := func(ids ...int) (events string) {
		for _, id := range ids {
			events += fmt.Sprintf("id: %d\ndata: x\n\n", id)
		}
		return events
	}
	steps := func(from, step, count int) (events string) {
		for i := range count {
			events += numbered(from + i*step)
		}
		return events
	}
	for name, c := range map[string]struct {
		begun, next string
		gap         bool
	}{
		"by one, one is missing":          {steps(1, 1, 20), numbered(22), true},
		"by one, many are missing":        {steps(1, 1, 20), numbered(900), true},
		"by ten, one is missing":          {steps(10, 10, 20), numbered(220), true},
		"by one after the caller's own":   {steps(41, 1, 20), numbered(62), true},
		"by one, none is missing":         {steps(1, 1, 20), numbered(21, 22), false},
		"by ten, none is missing":         {steps(10, 10, 20), numbered(210), false},
		"by several":                      {numbered(1, 3) + steps(4, 1, 20), numbered(25), false},
		"too few to tell":                 {steps(1, 1, 5), numbered(7), false},
		"a later gap is the target's own": {steps(1, 1, 20), numbered(21, 30), false},
		"the largest IDs":                 {steps(math.MaxInt-19, 1, 20), "id: 18446744073709551615\ndata: x\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, firstCall(sending(platformtest.StreamHead, chunk(c.begun)), streaming(c.next)))
			got := f.call("/resume/a")
			f.Assert(f.targetRequests(), qt.Equals, 2)
			if !c.gap {
				f.assertResponse(got, 200, c.begun+c.next)
				return
			}
			f.Assert(got.err, qt.IsNotNil)
			f.Assert(got.body, qt.Equals, c.begun)
		})
	}
}

// Guards against a resumed stream whose caller gets a part of the second head.
func TestResumedStreamsKeepTheirHead(t *testing.T) {
	head := func(lines string) func(rawserver.Request) string {
		return func(r rawserver.Request) string { return platformtest.StreamHeadWith(r, lines) }
	}
	first := sending(head("X-Own: first\r\n"), chunk(wholeStream(3)+"id: 4\nda"))
	rest := strings.TrimPrefix(wholeStream(9), wholeStream(3))
	for name, next := range map[string]rawserver.Handler{
		"in chunks": answering(func(r rawserver.Request) string {
			return head("X-Own: second\r\nX-More: 1\r\n")(r) + chunk(rest) + "0\r\n\r\n"
		}),
		"with a length": answering(func(r rawserver.Request) string {
			return platformtest.Response(r, "200 OK", "X-Own: second\r\nContent-Type: text/event-stream\r\n", rest)
		}),
		"until close": sending(platformtest.UnframedStreamHead, rest),
		"after an interim head": answering(func(r rawserver.Request) string {
			return "HTTP/1.1 103 Early\r\nX-Own: second\r\n\r\n" + platformtest.StreamHead(r) + chunk(rest) + "0\r\n\r\n"
		}),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, firstCall(first, next))
			got := f.call("/resume/a")
			f.assertResponse(got, 200, wholeStream(9))
			f.Assert(got.Field("x-own"), qt.Equals, "first")
			f.Assert(got.Field("x-more"), qt.Equals, "")
		})
	}
	t.Run("with a length that is too long", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(first, func(c net.Conn, r rawserver.Request) bool {
			raw := platformtest.Response(r, "200 OK", "Content-Type: text/event-stream\r\n", rest+"id: 10\n")
			_, _ = io.WriteString(c, strings.TrimSuffix(raw, "id: 10\n"))
			return false
		}))
		got := f.call("/resume/a")
		f.Assert(got.err, qt.IsNotNil)
		f.Assert(got.body, qt.Equals, wholeStream(9))
	})
	t.Run("after a reset", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk(wholeStream(3)))
			return reset(c, r)
		}, always("500 Oops", "", errorText)))
		got := f.call("/resume/a") // The reset may overtake the events.
		f.Assert(got.err != nil || (got.Status == 500 && got.body == errorText), qt.IsTrue, qt.Commentf("%+v", got))
		f.Assert(got.err == nil || strings.HasPrefix(wholeStream(3), got.body), qt.IsTrue, qt.Commentf("%+v", got))
	})
}
