package ingress

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"hickoryrock/internal/wire/http1"
)

const (
	// writeTimeout bounds each write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// retryAfterBase and retryAfterJitter determine the Retry-After of a rejected
	// call. The delay is short, since callers spend at most a third of their time
	// budget waiting, and randomized to spread the retries.
	retryAfterBase   = 100 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
	retryAfterHeader = "Retry-After"
)

// RetryAfterField returns a Retry-After header, in fractional seconds with jitter, for a
// rejected call that would be rejected again before atLeast.
func RetryAfterField(atLeast time.Duration) http1.Field {
	// Callers that wait longer return spread over a longer time.
	after := max(retryAfterBase, atLeast) + rand.N(retryAfterJitter+atLeast)
	return http1.NewField(retryAfterHeader, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// RetryNowField returns a Retry-After header for a rejected call that another router serves.
func RetryNowField() http1.Field { return http1.NewField(retryAfterHeader, "0") }

// ResponseWriter writes the response to one call. It must not be used concurrently.
type ResponseWriter struct {
	conn        net.Conn
	method      string
	sequence    int
	closeAfter  bool
	draining    *atomic.Bool
	started     bool
	complete    bool
	writeFailed bool
	buf         []byte
}

// Started reports whether the response has been started.
func (w *ResponseWriter) Started() bool { return w.started }

// Sequence returns the position of the call among those of its connection, from 1.
func (w *ResponseWriter) Sequence() int { return w.sequence }

// Respond sends a complete response with a Content-Length.
func (w *ResponseWriter) Respond(status int, reason string, fields []http1.Field, body []byte) {
	w.markStarted()
	b := http1.AppendResponse(nil, status, reason, fields, int64(len(body)), w.closeAfter)
	if w.method != "HEAD" && status != 204 && status != 304 {
		b = append(b, body...)
	}
	w.write(b)
	w.complete = true
}

// StartChunked begins a chunked response. Its head is buffered and sent with the first
// chunk.
func (w *ResponseWriter) StartChunked(status int, reason string, fields []http1.Field) {
	w.markStarted()
	w.buf = http1.AppendResponse(w.buf[:0], status, reason, fields, http1.Chunked, w.closeAfter)
}

// WriteChunk sends a part of the body immediately, preceded by the head if that is
// still buffered.
func (w *ResponseWriter) WriteChunk(data []byte) {
	if len(data) == 0 {
		return
	}
	w.buf = strconv.AppendInt(w.buf, int64(len(data)), 16)
	w.buf = append(w.buf, "\r\n"...)
	w.buf = append(w.buf, data...)
	w.buf = append(w.buf, "\r\n"...)
	w.write(w.buf)
	w.buf = w.buf[:0]
}

// EndChunked sends the final chunk of a chunked response.
func (w *ResponseWriter) EndChunked() {
	w.write(append(w.buf, "0\r\n\r\n"...))
	w.complete = true
}

// Abort resets the connection, so that the caller sees an incomplete response.
func (w *ResponseWriter) Abort() {
	w.writeFailed = true
	if tcp, ok := w.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = w.conn.Close() // The error does not matter: the caller sees a reset.
}

// WriteFailed reports whether a write to the caller failed or the response was aborted.
func (w *ResponseWriter) WriteFailed() bool { return w.writeFailed }

func (w *ResponseWriter) markStarted() {
	w.started = true
	if w.draining != nil && w.draining.Load() {
		w.closeAfter = true
	}
}

func (w *ResponseWriter) write(b []byte) {
	if w.writeFailed {
		return
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.conn.Write(b); err != nil {
		w.writeFailed = true
	}
}

// reusable reports whether the connection may be kept open for another call.
func (w *ResponseWriter) reusable() bool {
	return w.complete && !w.writeFailed && !w.closeAfter
}
