// Package ingress serves HTTP/1.1 connections of callers and passes each call to
// a handler.
package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/wire/http1"
)

const (
	// bodyTimeout bounds the time to read a request body.
	bodyTimeout = 10 * time.Second
	// readBufferBytes is large enough for the request head of an ordinary call.
	readBufferBytes = 4 << 10
	// lingerTimeout and lingerBytes bound how long and how much is read from a
	// caller after its last response before its connection is closed. Closing with unread
	// bytes would reset the connection before the caller has read the response.
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
	// defaultCloseDelay is the default time in which a request that is under way to an
	// idle connection is still read before the connection is closed.
	defaultCloseDelay = 50 * time.Millisecond
	// firstCallDelay is that time on a connection that has carried no call yet.
	firstCallDelay = 500 * time.Millisecond
	// defaultBodyMemory is the default limit of the memory of all request bodies
	// together, in bytes.
	defaultBodyMemory = 64 << 20
	// bodyChunkBytes is the initial reservation for a body of unknown length.
	bodyChunkBytes = 64 << 10
)

var (
	// ErrCallerClosed is the cancellation cause of a call's context when the caller closes
	// its connection.
	ErrCallerClosed = errors.New("the caller closed the connection")
	// ErrStopped is the cancellation cause of a call's context when the server stops.
	ErrStopped = errors.New("the server has stopped")
)

type (
	// Handler handles calls. ServeCall must send a complete response or abort it.
	// The memory of body is accounted for only until ServeCall returns.
	Handler interface {
		ServeCall(ctx context.Context, w *ResponseWriter, r *http1.Request, body []byte)
	}

	// Server accepts and serves connections of callers.
	Server struct {
		handler Handler
		limits  func() state.Limits
		log     zerolog.Logger
		// bodyMemory limits the memory of all request bodies and large heads together, in bytes.
		bodyMemory memoryBound
		closeDelay time.Duration

		draining atomic.Bool
		// closing is set when idle connections are closed.
		closing atomic.Bool
		// stopped is cancelled, with ErrStopped, when calls in progress must end.
		stopped context.Context
		stop    context.CancelCauseFunc
		// lastAccept is the time of the last accepted connection, or of the server's creation.
		lastAccept atomic.Pointer[time.Time]
		active     atomic.Int64

		mu    sync.Mutex
		conns map[*conn]struct{}
		// serving holds, for each listener, what is closed when Serve returns.
		serving map[net.Listener]chan struct{}
	}

	conn struct {
		net.Conn
		server *Server
		reader *bufio.Reader
		// sock is nil until the first response is written.
		sock *socket

		// mu guards idle and calls, the write deadline, and the read deadline while idle is true.
		mu sync.Mutex
		// idle is true while no call is being read or served.
		idle bool
		// calls is the number of calls so far.
		calls int
		// abandoned is set when the response must not be written further, which is the last one of
		// the connection. It is guarded by mu.
		abandoned bool
		// lingers is set when the caller may still have to receive the end of a response.
		lingers bool
	}
)

// New returns a server. It calls limits for the current limits before each call.
func New(handler Handler, limits func() state.Limits, log zerolog.Logger, opts ...Option) *Server {
	s := &Server{
		handler: handler, limits: limits, log: log, conns: make(map[*conn]struct{}),
		serving:    make(map[net.Listener]chan struct{}),
		closeDelay: defaultCloseDelay,
	}
	s.bodyMemory.limit = defaultBodyMemory
	now := time.Now()
	s.lastAccept.Store(&now)
	s.stopped, s.stop = context.WithCancelCause(context.Background())
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Drain disables keep-alive: each connection is closed after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of calls that are being read or served.
func (s *Server) Active() int64 { return s.active.Load() }

// Stop ends the calls in progress. Their handlers see ErrStopped as the cause; writes to callers
// that do not read fail soon.
func (s *Server) Stop() {
	s.stop(ErrStopped)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.limitWrite(writeTimeout)
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// SinceAccept returns the time since the last connection was accepted, by the steady clock.
func (s *Server) SinceAccept() time.Duration {
	return time.Since(*s.lastAccept.Load())
}

// CloseIdle closes each connection, now and when its call ends, on which no request arrives
// within a short time. A request that has arrived already is still served.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// closeIfIdle lets an idle connection be closed unless a request arrives soon.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.SetReadDeadline(time.Now().Add(c.closeDelay()))
	}
}

// closeDelay returns the time in which a request that is under way to the idle connection is
// still read before it is closed.
func (c *conn) closeDelay() time.Duration {
	if c.calls == 0 {
		return max(firstCallDelay, c.server.closeDelay)
	}
	return c.server.closeDelay
}

// setIdle marks the connection as idle until a call begins, or for timeout at most.
func (c *conn) setIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	if c.server.closing.Load() {
		timeout = min(timeout, c.closeDelay())
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

// beginCall marks the connection as busy with a call whose head must arrive within timeout.
func (c *conn) beginCall(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.calls++
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

func (s *Server) serveConn(c *conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close() // The response is complete or aborted.
	}()
	for s.serveRequest(c) {
	}
	if c.lingers {
		c.linger()
	}
}

// serveRequest serves one call and reports whether the connection may be kept
// open for another.
func (s *Server) serveRequest(c *conn) bool {
	c.lingers = false // A request that crosses the close of an idle connection stays unread.
	c.setIdle(s.limits().IdleTimeout)
	if c.awaitRequest() != nil {
		return false
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	limits := s.limits()
	c.beginCall(limits.HeaderTimeout)
	head := headMemory{total: &s.bodyMemory}
	defer head.release()
	req, err := http1.ReadRequestReserving(c.reader, limits.HeaderBytes, head.hold)
	if err != nil {
		head.release() // Before reject, which may linger on the connection.
		s.reject(c, err)
		return false
	}
	response := &ResponseWriter{
		conn: c, log: &s.log, closeAfter: req.Close || s.draining.Load(), method: req.Method, draining: &s.draining, sequence: c.calls,
	}
	body, reserved, err := s.readBody(c, req, limits.BodyBytes)
	if err != nil {
		s.bodyMemory.release(reserved) // Before reject, which may linger on the connection.
		s.reject(c, err)
		return false
	}
	defer s.bodyMemory.release(reserved)
	ctx, stop := s.watchDisconnect(c)
	s.handler.ServeCall(ctx, response, req, body)
	response.Flush(ctx)
	stop()
	c.lingers = response.state == complete && !response.writeFailed.Load()
	return response.reusable() && ctx.Err() == nil
}

// watchDisconnect returns a context that is cancelled with ErrCallerClosed when the
// caller closes its connection, and a function that stops watching.
func (s *Server) watchDisconnect(c *conn) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(s.stopped)
	done := make(chan struct{})
	var stopping atomic.Bool
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		if err := c.awaitEnd(); err != nil && !stopping.Load() {
			cancel(ErrCallerClosed)
		}
	}()
	return ctx, func() {
		stopping.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // Unblocks the Peek.
		<-done
	}
}

// awaitEnd returns the error with which reading from the caller ends. What the caller sends
// until then stays in the buffer; it returns nil if that is full.
func (c *conn) awaitEnd() error {
	for {
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readBody reads the complete body, since a call may have to be retried. It also
// returns the reserved bytes of bodyMemory, which the caller must release.
func (s *Server) readBody(c *conn, req *http1.Request, limit int64) (body []byte, reserved int64, err error) {
	if req.Length == 0 {
		return nil, 0, nil
	}
	if req.Length > limit {
		return nil, 0, errBodyTooLarge
	}
	initial := max(req.Length, 0)
	if req.Length < 0 {
		initial = min(bodyChunkBytes-1, limit) + 1 // The limit may be the largest integer.
	}
	if !s.bodyMemory.tryAcquire(initial) {
		return nil, 0, errBodyMemory
	}
	if req.ExpectContinue {
		c.limitWrite(writeTimeout) // The deadline of an earlier response may have passed.
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, initial, eris.Wrap(err, "send 100 Continue")
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	reader := http1.Body(c.reader, req.Length)
	if req.Length > 0 {
		body = make([]byte, req.Length)
		_, err = io.ReadFull(reader, body)
		return body, initial, err
	}
	return s.readUnsizedBody(reader, limit, initial)
}

// readUnsizedBody reads a body of unknown length, for which some bytes of
// bodyMemory are already reserved. It returns the total reservation.
func (s *Server) readUnsizedBody(reader io.Reader, limit, reserved int64) ([]byte, int64, error) {
	body := make([]byte, 0, reserved)
	for {
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, reserved, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, reserved, nil
		case err != nil && !isNetError(err) && !errors.Is(err, io.ErrUnexpectedEOF):
			return nil, reserved, eris.Wrapf(http1.ErrMalformed, "body: %v", err)
		case err != nil:
			return nil, reserved, err
		}
		if len(body) < cap(body) {
			continue
		}
		// Double the buffer, so that large bodies are copied rarely, up to one byte over the limit,
		// which shows that the body exceeds it.
		more := min(reserved-1, limit-reserved) + 1
		if !s.bodyMemory.tryAcquire(more) {
			return nil, reserved, errBodyMemory
		}
		reserved += more
		body = append(make([]byte, 0, reserved), body...)
	}
}

var (
	errBodyTooLarge = errors.New("request body too large")
	errBodyMemory   = errors.New("memory limit of request bodies reached")
)

func isNetError(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// reject responds to a request that could not be read, after which the
// connection must be closed. It sends nothing when the connection itself failed.
func (s *Server) reject(c *conn, err error) {
	status := 0
	var fields []http1.Field
	var timeout net.Error
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, http1.ErrMalformed):
		status = http.StatusBadRequest
	case errors.Is(err, errBodyMemory), errors.Is(err, http1.ErrNoMemory):
		status = http.StatusServiceUnavailable
		fields = append(fields, RetryAfterField(0))
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	}
	metrics.GetOrCreateCounter(`hickoryrock_unreadable_calls_total`).Inc()
	s.log.Info().Str("caller", c.RemoteAddr().String()).Int("status", status).Err(err).Msg("failed to read request")
	if status == 0 {
		return
	}
	response := &ResponseWriter{conn: c, log: &s.log, closeAfter: true}
	response.Respond(status, http.StatusText(status), fields, nil)
	c.lingers = true
}

// linger ends the connection on this side and discards what the caller still sends, until it
// ends the connection as well.
func (c *conn) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.reader, lingerBytes)
	}
}
