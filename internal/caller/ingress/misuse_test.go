package ingress_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/wire/http1"
)

// responding is a handler that runs a function.
type responding func(*ingress.ResponseWriter)

func (h responding) ServeCall(_ context.Context, w *ingress.ResponseWriter, _ *http1.Request, _ []byte) {
	h(w)
}

// exchange sends two requests to a server whose handler runs respond, and returns all bytes
// that the caller gets and the server's log.
func exchange(t *testing.T, respond responding) (received, log string, err error) {
	var buffer bytes.Buffer
	limits := func() state.Limits {
		return state.Limits{HeaderBytes: 1 << 10, BodyBytes: bodyLimit, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}
	server := ingress.New(respond, limits, zerolog.New(&buffer))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go server.Serve(l)
	c, err := net.Dial("tcp4", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(c, sizedRequest(1)+sizedRequest(1))
	qt.Assert(t, err, qt.IsNil)
	data, err := io.ReadAll(c)
	for deadline := time.Now().Add(time.Second); server.Connections() > 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	return string(data), buffer.String(), err
}

// Guards against a second head that is written into a response that has begun, or after it.
func TestResponsesCannotBeMixed(t *testing.T) {
	start := func(w *ingress.ResponseWriter) {
		w.StartChunked(200, "OK", nil)
		w.WriteChunk([]byte("first"))
	}
	fail := func(w *ingress.ResponseWriter) { w.Respond(502, "Bad Gateway", nil, []byte("failed")) }
	for name, second := range map[string]responding{
		"a response": fail,
		"another stream": func(w *ingress.ResponseWriter) {
			w.StartChunked(502, "Bad Gateway", nil)
			w.WriteChunk([]byte("failed"))
		},
		"and its own end":   func(w *ingress.ResponseWriter) { fail(w); w.WriteChunk([]byte("failed")); w.EndChunked() },
		"after it is ended": func(w *ingress.ResponseWriter) { w.Abort(); fail(w) },
	} {
		t.Run("after the start of a stream: "+name, func(t *testing.T) {
			received, log, err := exchange(t, func(w *ingress.ResponseWriter) { start(w); second(w) })
			qt.Assert(t, strings.Count(received, "HTTP/1.1") <= 1, qt.IsTrue, qt.Commentf("%q", received))
			qt.Assert(t, strings.Contains(received, "failed"), qt.IsFalse, qt.Commentf("%q", received))
			qt.Assert(t, err != nil || !strings.HasSuffix(received, "0\r\n\r\n"), qt.IsTrue, qt.Commentf("%q", received))
			qt.Assert(t, strings.Contains(log, "response out of order"), qt.IsTrue, qt.Commentf("%q", log))
		})
	}
	for name, second := range map[string]responding{
		"a response":   fail,
		"a stream":     start,
		"a chunk":      func(w *ingress.ResponseWriter) { w.WriteChunk([]byte("first")) },
		"a last chunk": func(w *ingress.ResponseWriter) { w.EndChunked() },
	} {
		t.Run("after a whole response: "+name, func(t *testing.T) {
			received, log, err := exchange(t, func(w *ingress.ResponseWriter) { w.Respond(200, "OK", nil, []byte("whole")); second(w) })
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, strings.HasSuffix(received, "\r\n\r\nwhole"), qt.IsTrue, qt.Commentf("%q", received))
			qt.Assert(t, strings.Count(received, "HTTP/1.1"), qt.Equals, 1)
			qt.Assert(t, strings.Contains(log, "response out of order"), qt.IsTrue, qt.Commentf("%q", log))
		})
	}
	for name, misuse := range map[string]responding{
		"a chunk": func(w *ingress.ResponseWriter) { w.WriteChunk([]byte("first")) },
		"an end":  func(w *ingress.ResponseWriter) { w.EndChunked() },
	} {
		t.Run("without a head: "+name, func(t *testing.T) {
			received, log, _ := exchange(t, misuse)
			qt.Assert(t, received, qt.Equals, "")
			qt.Assert(t, strings.Contains(log, "response out of order"), qt.IsTrue, qt.Commentf("%q", log))
		})
	}
}
