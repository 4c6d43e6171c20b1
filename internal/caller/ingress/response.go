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
)

// RetryAfterField returns a Retry-After header, in fractional seconds with jitter,
// for a rejected call.
func RetryAfterField() http1.Field {
	after := retryAfterBase + rand.N(retryAfterJitter)
	return http1.NewField("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// ResponseWriter writes the response to one call. It must not be used concurrently.
type ResponseWriter struct {
	conn        net.Conn
	method      string
	closeAfter  bool
	draining    *atomic.Bool
	started     bool
	complete    bool
	writeFailed bool
	buf         []byte
}

// Started reports whether the response has been started.
func (a *ResponseWriter) Started() bool { return a.started }

// Respond sends a complete response with a Content-Length.
func (a *ResponseWriter) Respond(status int, reason string, fields []http1.Field, body []byte) {
	a.markStarted()
	b := http1.AppendResponse(nil, status, reason, fields, int64(len(body)), a.closeAfter)
	if a.method != "HEAD" && status != 204 && status != 304 {
		b = append(b, body...)
	}
	a.write(b)
	a.complete = true
}

// StartChunked begins a chunked response. Its head is buffered and sent with the first
// chunk.
func (a *ResponseWriter) StartChunked(status int, reason string, fields []http1.Field) {
	a.markStarted()
	a.buf = http1.AppendResponse(a.buf[:0], status, reason, fields, http1.Chunked, a.closeAfter)
}

// WriteChunk sends a part of the body immediately, preceded by the head if that is
// still buffered.
func (a *ResponseWriter) WriteChunk(data []byte) {
	if len(data) == 0 {
		return
	}
	a.buf = strconv.AppendInt(a.buf, int64(len(data)), 16)
	a.buf = append(a.buf, "\r\n"...)
	a.buf = append(a.buf, data...)
	a.buf = append(a.buf, "\r\n"...)
	a.write(a.buf)
	a.buf = a.buf[:0]
}

// EndChunked sends the final chunk of a chunked response.
func (a *ResponseWriter) EndChunked() {
	a.write(append(a.buf, "0\r\n\r\n"...))
	a.complete = true
}

// Abort resets the connection, so that the caller sees an incomplete response.
func (a *ResponseWriter) Abort() {
	a.writeFailed = true
	if tcp, ok := a.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = a.conn.Close() // The error does not matter: the caller sees a reset.
}

// WriteFailed reports whether a write to the caller failed or the response was aborted.
func (a *ResponseWriter) WriteFailed() bool { return a.writeFailed }

func (a *ResponseWriter) markStarted() {
	a.started = true
	if a.draining != nil && a.draining.Load() {
		a.closeAfter = true
	}
}

func (a *ResponseWriter) write(b []byte) {
	if a.writeFailed {
		return
	}
	_ = a.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.conn.Write(b); err != nil {
		a.writeFailed = true
	}
}

// reusable reports whether the connection may be kept open for another call.
func (a *ResponseWriter) reusable() bool {
	return a.complete && !a.writeFailed && !a.closeAfter
}
