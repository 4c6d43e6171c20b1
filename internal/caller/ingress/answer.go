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
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// retryAfterBase and retryAfterSpread say when a refused caller should come
	// back: soon, since callers wait for a third of their time at most, and spread.
	retryAfterBase   = 100 * time.Millisecond
	retryAfterSpread = 200 * time.Millisecond
)

// RetryLater returns the header that tells a refused caller when to come back.
func RetryLater() http1.Field {
	after := retryAfterBase + rand.N(retryAfterSpread)
	return http1.NewField("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// Answer writes the answer to one call.
type Answer struct {
	conn     net.Conn
	method   string
	closing  bool
	draining *atomic.Bool
	begun    bool
	whole    bool
	failed   bool
	buffer   []byte
}

// Begun reports whether the caller has been sent a part of the answer.
func (a *Answer) Begun() bool { return a.begun }

// Whole sends a complete answer.
func (a *Answer) Whole(status int, reason string, fields []http1.Field, body []byte) {
	a.begin()
	b := http1.AppendResponse(nil, status, reason, fields, int64(len(body)), a.closing)
	if a.method != "HEAD" && status != 204 && status != 304 {
		b = append(b, body...)
	}
	a.write(b)
	a.whole = true
}

// Start sends the head of an answer in chunks.
func (a *Answer) Start(status int, reason string, fields []http1.Field) {
	a.begin()
	a.buffer = http1.AppendResponse(a.buffer[:0], status, reason, fields, http1.Chunked, a.closing)
}

// Chunk sends a part of the body at once, with the head before it.
func (a *Answer) Chunk(data []byte) {
	if len(data) == 0 {
		return
	}
	a.buffer = strconv.AppendInt(a.buffer, int64(len(data)), 16)
	a.buffer = append(a.buffer, "\r\n"...)
	a.buffer = append(a.buffer, data...)
	a.buffer = append(a.buffer, "\r\n"...)
	a.write(a.buffer)
	a.buffer = a.buffer[:0]
}

// End marks the body as complete.
func (a *Answer) End() {
	a.write(append(a.buffer, "0\r\n\r\n"...))
	a.whole = true
}

// Abort ends the connection so that the answer looks incomplete.
func (a *Answer) Abort() {
	a.failed = true
	if tcp, ok := a.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = a.conn.Close() // The reset is what the caller sees.
}

// Failed reports whether the caller could not be written to.
func (a *Answer) Failed() bool { return a.failed }

func (a *Answer) begin() {
	a.begun = true
	if a.draining != nil && a.draining.Load() {
		a.closing = true
	}
}

func (a *Answer) write(b []byte) {
	if a.failed {
		return
	}
	_ = a.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.conn.Write(b); err != nil {
		a.failed = true
	}
}

// reusable reports whether the connection may carry another call.
func (a *Answer) reusable() bool {
	return a.whole && !a.failed && !a.closing
}
