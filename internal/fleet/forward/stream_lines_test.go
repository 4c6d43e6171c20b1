package forward_test

import (
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// foreignBytes are bytes of an error response inside a stream, after three whole events or
// after a part of the fourth.
var foreignBytes = map[string]string{
	"a response head":                    "HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed",
	"a whole response":                   "HTTP/1.1 500 Oops\r\nContent-Length: 8\r\n\r\nfailed\n\n",
	"a response in lower case":           "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
	"a response head and an event":       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 4\ndata: x\n\n",
	"a response head without a line end": "HTTP/1.1 500 Oops\nContent-Length: 0\n\n",
	"text":                               "upstream failed\n\n",
	"text with a colon":                  "error: upstream failed\n\n",
	"JSON":                               `{"error": "upstream failed"}` + "\n\n",
	"HTML":                               "<html><body>\n<p>upstream failed</p>\n\n</html>\n",
	"a part of an event and a response":  "id: 4\ndata: xHTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\n\r\nfailed",
	"a line and a response":              "id: 4\nHTTP/1.1 500 Oops\r\ncontent-type: text/plain\r\n\r\nfailed",
	"a name and a response":              "id: 4\ndaHTTP/1.1 500 Oops\r\n\r\nfailed",
	"a line and text":                    "id: 4\nupstream failed\n\n",
}

// Guards against the head or the text of an error in the middle of a stream: a target breaks
// off its stream and writes an error into the same body.
func TestStreamsWithBytesThatAreNoEvent(t *testing.T) {
	for name, bytes := range foreignBytes {
		for kind, first := range map[string]rawserver.Handler{
			"in chunks that end": streaming(wholeStream(3) + bytes),
			"in a chunk of its own": answering(func(r rawserver.Request) string {
				return platformtest.StreamHead(r) + chunk(wholeStream(3)) + chunk(bytes) + "0\r\n\r\n"
			}),
			"until close": sending(platformtest.UnframedStreamHead, wholeStream(3)+bytes),
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				f := newFixture(t, 1, first)
				f.assertCut(f.call("/stream/a"))
				f = newFixture(t, 2, firstCall(first, eventScript(9, 0)))
				f.assertResponse(f.call("/resume/a"), 200, wholeStream(9))
			})
		}
		t.Run(name+" after a resumption", func(t *testing.T) { assertCutAfter(t, streaming(bytes)) })
		t.Run(name+" before the first event", func(t *testing.T) {
			f := newFixture(t, 1, streaming(bytes))
			f.assertResponse(f.call("/stream/a"), 502, "")
		})
	}
}

// Guards against sound streams that are cut because their lines are not all of the usual form.
func TestStreamsWithUnusualLinesAreWhole(t *testing.T) {
	for name, events := range map[string]string{
		"a line of the platform":   platformtest.VersionLine(3) + "id: 1\ndata: x\n\n",
		"and CRLF":                 strings.ReplaceAll(platformtest.VersionLine(3)+"id: 1\ndata: x\n\n", "\n", "\r\n"),
		"the same within an event": "id: 1\n" + platformtest.VersionLine(3) + "data: x\n\n",
		"no space after the colon": "id:1\ndata:x\n\n",
		"names without a colon":    "id\ndata\n\n",
		"comments":                 ":\n\n: HTTP/1.1 500 Oops\n\n:x\nid: 1\n: y\ndata: x\n\n",
		"an event name":            "event: token\nid: 1\ndata: x\n\n",
		"several data lines":       "id: 1\ndata: HTTP/1.1 500 Oops\ndata: Content-Length: 0\ndata:\ndata: x\n\n",
		"a retry delay":            "retry: 100\n\nid: 1\ndata: x\n\n",
		"data of any bytes":        "id: 1\ndata: \x00\xff\t{\"a\": 1}\n\n",
		"a byte order mark":        "\ufeffid: 1\ndata: x\n\n",
		"empty lines before":       "\n\r\n\nid: 1\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/stream/a", "/resume/a"} {
				f := newFixture(t, 1, streaming(events))
				f.assertResponse(f.call(path), 200, events)
				f = newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
					bytewise := platformtest.StreamHead(r)
					for i := range len(events) {
						bytewise += chunk(events[i : i+1])
					}
					return answering(func(rawserver.Request) string { return bytewise + "0\r\n\r\n" })(c, r)
				})
				f.assertResponse(f.call(path), 200, events)
				f.Assert(f.targetRequests(), qt.Equals, 1)
			}
		})
	}
}
