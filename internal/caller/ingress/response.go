package ingress

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hickoryrock/internal/wire/http1"
)

const (
	// writeTimeout bounds the time in which a caller takes nothing, stopWriteTimeout the
	// writes that are in progress or begin when the server has stopped.
	writeTimeout     = 5 * time.Second
	stopWriteTimeout = 50 * time.Millisecond
	// retryAfterBase and retryAfterJitter determine the Retry-After of a rejected
	// call. The delay is short, since callers spend at most a third of their time
	// budget waiting, and randomized to spread the retries.
	retryAfterBase   = 100 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
	retryAfterHeader = "Retry-After"
	// maxCopiedBytes bounds the data that is copied behind its head, to be written at once.
	maxCopiedBytes = 4 << 10
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

const (
	notStarted responseState = iota
	// inChunks means that a chunked response has been started and not ended.
	inChunks
	complete
)

type (
	// ResponseWriter writes the response to one call. It must not be used concurrently but for the
	// methods that say so. It
	// writes one response at most: an operation out of order is logged and counted, nothing of
	// it reaches the caller, and the connection is not used again. A response that is not
	// complete by then is aborted.
	ResponseWriter struct {
		conn       *conn
		log        *zerolog.Logger
		method     string
		sequence   int
		closeAfter bool
		draining   *atomic.Bool
		state      responseState
		misused    bool
		// chunked is set when the response is written in parts, which are kept for a slow caller.
		chunked     bool
		writeFailed atomic.Bool
		buf         []byte
		// slowCaller is nil if writes wait for the caller, backlog if it has always kept up.
		slowCaller SlowCaller
		backlog    *backlog
	}

	responseState uint8
)

// Started reports whether the response has been started.
func (w *ResponseWriter) Started() bool { return w.state != notStarted }

// Sequence returns the position of the call among those of its connection, from 1.
func (w *ResponseWriter) Sequence() int { return w.sequence }

// Respond sends a complete response with a Content-Length.
func (w *ResponseWriter) Respond(status int, reason string, fields []http1.Field, body []byte) {
	if !w.advance(notStarted, complete) {
		return
	}
	b := http1.AppendResponse(nil, status, reason, fields, int64(len(body)), w.closeAfter)
	if w.method == "HEAD" || status == 204 || status == 304 {
		body = nil
	}
	w.writeParts(b, body)
}

// StartChunked begins a chunked response. Its head is buffered and sent with the first
// chunk.
func (w *ResponseWriter) StartChunked(status int, reason string, fields []http1.Field) {
	if !w.advance(notStarted, inChunks) {
		return
	}
	w.chunked = true
	w.buf = http1.AppendResponse(w.buf[:0], status, reason, fields, http1.Chunked, w.closeAfter)
}

// WriteChunk sends a part of the body immediately, preceded by the head if that is
// still buffered.
func (w *ResponseWriter) WriteChunk(data []byte) {
	if len(data) == 0 || !w.advance(inChunks, inChunks) {
		return
	}
	w.buf = strconv.AppendInt(w.buf, int64(len(data)), 16)
	w.buf = append(w.buf, "\r\n"...)
	if len(data) <= maxCopiedBytes {
		w.buf = append(append(w.buf, data...), "\r\n"...)
		w.write(w.buf)
	} else {
		w.writeParts(w.buf, data, []byte("\r\n"))
	}
	w.buf = w.buf[:0]
}

// writeParts writes several parts at once without copying them, unless the caller is slow.
func (w *ResponseWriter) writeParts(parts ...[]byte) {
	if w.writeFailed.Load() {
		return
	}
	if w.slowCaller != nil {
		w.writeOrKeep(parts)
		return
	}
	w.conn.limitWrite(writeTimeout)
	buffers := net.Buffers(parts)
	if _, err := buffers.WriteTo(w.conn.Conn); err != nil {
		w.writeFailed.Store(true)
	}
}

// EndChunked sends the final chunk of a chunked response.
func (w *ResponseWriter) EndChunked() {
	if w.advance(inChunks, complete) {
		w.write(append(w.buf, "0\r\n\r\n"...))
	}
}

// advance changes the state for an operation that is allowed in the state from, and reports
// whether it is.
func (w *ResponseWriter) advance(from, to responseState) bool {
	if w.misused || w.state != from {
		w.refuse(to)
		return false
	}
	w.state = to
	if from == notStarted && w.draining != nil && w.draining.Load() {
		w.closeAfter = true
	}
	return true
}

// refuse keeps an operation out of order from reaching the caller, which would take it for a
// part of the response.
func (w *ResponseWriter) refuse(to responseState) {
	if w.misused {
		return
	}
	w.misused, w.closeAfter = true, true
	metrics.GetOrCreateCounter(`hickoryrock_responses_out_of_order_total`).Inc()
	w.log.Error().Int("connection-call", w.sequence).Uint8("state", uint8(w.state)).Uint8("next-state", uint8(to)).
		Msg("response out of order, not sent")
	if w.state != complete {
		w.Abort()
	}
}

// Abort resets the connection, so that the caller sees an incomplete response.
func (w *ResponseWriter) Abort() {
	w.writeFailed.Store(true)
	if tcp, ok := w.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = w.conn.Close() // The error does not matter: the caller sees a reset.
}

// WriteFailed reports whether a write to the caller failed or the response was aborted.
func (w *ResponseWriter) WriteFailed() bool { return w.writeFailed.Load() }

func (w *ResponseWriter) write(b []byte) {
	if w.slowCaller == nil || w.writeFailed.Load() || w.IsBehind() {
		w.writeParts(b)
		return
	}
	if n := w.conn.writeNow(b, nil); n < len(b) {
		w.awaitOrKeep([][]byte{b[n:]})
	}
}

// limitWrite sets the write deadline of the next write, or of the one in progress, which is earlier
// than timeout if the server has stopped, and past if the response was abandoned.
func (c *conn) limitWrite(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return
	}
	if c.server.stopped.Err() != nil {
		timeout = min(timeout, stopWriteTimeout)
	}
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
}

// reusable reports whether the connection may be kept open for another call.
func (w *ResponseWriter) reusable() bool {
	return w.state == complete && !w.writeFailed.Load() && !w.closeAfter
}
