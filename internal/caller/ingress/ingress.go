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
	"golang.org/x/sync/semaphore"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/wire/http1"
)

const (
	// bodyTimeout bounds the time to read a request body.
	bodyTimeout = 10 * time.Second
	// readBufferBytes is large enough for the request head of an ordinary call.
	readBufferBytes = 4 << 10
	// lingerTimeout and lingerBytes bound how long and how much is read from a
	// rejected caller before its connection is closed. Closing with unread bytes
	// would reset the connection before the caller has read the response.
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
	// defaultCloseDelay is the default time in which a request that is under way to an
	// idle connection is still read before the connection is closed.
	defaultCloseDelay = 50 * time.Millisecond
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
		// bodyMemory limits the memory of all request bodies together, in bytes.
		bodyMemory *semaphore.Weighted
		closeDelay time.Duration

		draining atomic.Bool
		// stopped is cancelled, with ErrStopped, when calls in progress must end.
		stopped context.Context //nolint:containedctx // Ends the calls of the whole server.
		stop    context.CancelCauseFunc
		// lastAccept is the time of the last accepted connection, in Unix nanoseconds.
		lastAccept atomic.Int64
		active     atomic.Int64

		mu    sync.Mutex
		conns map[*conn]struct{}
	}

	conn struct {
		net.Conn
		server *Server
		reader *bufio.Reader
		// idle is true while no call is being read or served.
		idle atomic.Bool
		// calls is the number of calls so far.
		calls int
	}
)

// New returns a server. It calls limits for the current limits before each call.
func New(handler Handler, limits func() state.Limits, log zerolog.Logger, opts ...Option) *Server {
	s := &Server{
		handler: handler, limits: limits, log: log, conns: make(map[*conn]struct{}),
		bodyMemory: semaphore.NewWeighted(defaultBodyMemory), closeDelay: defaultCloseDelay,
	}
	s.stopped, s.stop = context.WithCancelCause(context.Background())
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			metrics.GetOrCreateCounter(`hickoryrock_accept_errors_total`).Inc()
			time.Sleep(5 * time.Millisecond) // Probably out of file descriptors: wait for calls to end.
			continue
		}
		s.lastAccept.Store(time.Now().UnixNano())
		go s.serveConn(&conn{Conn: c, server: s, reader: bufio.NewReaderSize(c, readBufferBytes)})
	}
}

// Drain disables keep-alive: each connection is closed after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of calls that are being read or served.
func (s *Server) Active() int64 { return s.active.Load() }

// Stop ends the calls in progress. Their handlers see ErrStopped as the cause.
func (s *Server) Stop() { s.stop(ErrStopped) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// SinceAccept returns the time since the last connection was accepted.
func (s *Server) SinceAccept() time.Duration {
	return time.Since(time.Unix(0, s.lastAccept.Load()))
}

// CloseIdle closes the connections on which no request arrives within a short time,
// which it returns. A request that has arrived already is still served.
func (s *Server) CloseIdle() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle.Load() {
			_ = c.SetReadDeadline(time.Now().Add(s.closeDelay))
		}
	}
	return 2 * s.closeDelay
}

func (s *Server) serveConn(c *conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close() // The response is complete or aborted.
	}()
	for s.serveRequest(c) {
	}
}

// serveRequest serves one call and reports whether the connection may be kept
// open for another.
func (s *Server) serveRequest(c *conn) bool {
	limits := s.limits()
	c.idle.Store(true)
	_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.idle.Store(false)
	s.active.Add(1)
	defer s.active.Add(-1)
	limits = s.limits()
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http1.ReadRequest(c.reader, limits.HeaderBytes)
	if err != nil {
		s.reject(c, err)
		return false
	}
	c.calls++
	response := &ResponseWriter{
		conn: c.Conn, closeAfter: req.Close || s.draining.Load(), method: req.Method, draining: &s.draining, sequence: c.calls,
	}
	body, reserved, err := s.readBody(c, req, limits.BodyBytes)
	if err != nil {
		s.bodyMemory.Release(reserved) // Before reject, which may linger on the connection.
		s.reject(c, err)
		return false
	}
	defer s.bodyMemory.Release(reserved)
	ctx, stop := s.watchDisconnect(c)
	s.handler.ServeCall(ctx, response, req, body)
	stop()
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
		if _, err := c.reader.Peek(1); err != nil && !stopping.Load() {
			cancel(ErrCallerClosed)
		}
	}()
	return ctx, func() {
		stopping.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // Unblocks the Peek.
		<-done
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
	if !s.bodyMemory.TryAcquire(initial) {
		return nil, 0, errBodyMemory
	}
	if req.ExpectContinue {
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
		if !s.bodyMemory.TryAcquire(more) {
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
	case errors.Is(err, errBodyMemory):
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
	response := &ResponseWriter{conn: c.Conn, closeAfter: true}
	response.Respond(status, http.StatusText(status), fields, nil)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.reader, lingerBytes)
	}
}
