// Package ingress accepts callers over HTTP/1.1 and hands each call to a handler.
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
	// bodyTimeout bounds the time to read a body of a caller that states no deadline.
	bodyTimeout = 10 * time.Second
	// readBufferBytes holds the head of an ordinary call.
	readBufferBytes = 4 << 10
	// lingerTimeout bounds the reading of what a refused caller still sends:
	// closing with unread bytes would reset the connection before the answer is read.
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
	// defaultBodyMemory is what all bodies may take up together when no limit is set.
	defaultBodyMemory = 64 << 20
	// pieceBytes is the step in which memory for a body of unknown length is taken.
	pieceBytes = 64 << 10
)

// ErrGone is the cause of a call whose caller closed its connection.
var ErrGone = errors.New("the caller has closed the connection")

type (
	// Handler answers one call. It must write a whole answer or abort it.
	Handler interface {
		ServeCall(ctx context.Context, a *Answer, r *http1.Request, body []byte)
	}

	// Server accepts connections of callers.
	Server struct {
		handler Handler
		limits  func() state.Limits
		log     zerolog.Logger
		// bodies is the memory for bodies, in bytes.
		bodies *semaphore.Weighted

		draining atomic.Bool
		// lastAccept is when a connection was accepted last, in Unix nanoseconds.
		lastAccept atomic.Int64
		active     atomic.Int64

		mu    sync.Mutex
		conns map[*conn]struct{}
	}

	conn struct {
		net.Conn
		server *Server
		reader *bufio.Reader
		// idle is set while no call is being read or served.
		idle atomic.Bool
	}
)

// New returns a server that asks limits for the limits in force.
func New(handler Handler, limits func() state.Limits, log zerolog.Logger, opts ...Option) *Server {
	s := &Server{
		handler: handler, limits: limits, log: log, conns: make(map[*conn]struct{}),
		bodies: semaphore.NewWeighted(defaultBodyMemory),
	}
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
			time.Sleep(5 * time.Millisecond) // Out of descriptors: let calls end.
			continue
		}
		s.lastAccept.Store(time.Now().UnixNano())
		go s.serve(&conn{Conn: c, server: s, reader: bufio.NewReaderSize(c, readBufferBytes)})
	}
}

// Drain makes every answer from now on the last of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of calls that are being read or served.
func (s *Server) Active() int64 { return s.active.Load() }

// SinceAccept returns the time since a caller connected last.
func (s *Server) SinceAccept() time.Duration {
	return time.Since(time.Unix(0, s.lastAccept.Load()))
}

// CloseIdle closes the connections without a call.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle.Load() {
			_ = c.Close() // Nothing is lost on an idle connection.
		}
	}
}

func (s *Server) serve(c *conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close() // The answer is complete or aborted.
	}()
	for s.serveOne(c) {
	}
}

// serveOne serves one call and reports whether the connection may carry another.
func (s *Server) serveOne(c *conn) bool {
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
		s.refuse(c, err)
		return false
	}
	answer := &Answer{conn: c.Conn, closing: req.Close || s.draining.Load(), method: req.Method, draining: &s.draining}
	body, held, err := s.readBody(c, req, limits.BodyBytes)
	if err != nil {
		s.bodies.Release(held) // Refusing takes its time.
		s.refuse(c, err)
		return false
	}
	defer s.bodies.Release(held)
	ctx, stop := s.watch(c)
	s.handler.ServeCall(ctx, answer, req, body)
	stop()
	return answer.reusable() && ctx.Err() == nil
}

// watch ends the returned context when the caller closes its connection.
func (s *Server) watch(c *conn) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	done := make(chan struct{})
	var stopping atomic.Bool
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		if _, err := c.reader.Peek(1); err != nil && !stopping.Load() {
			cancel(ErrGone)
		}
	}()
	return ctx, func() {
		stopping.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // Ends the Peek.
		<-done
	}
}

// readBody reads a body whole, since a call may have to be sent again, and
// returns the memory that it holds.
func (s *Server) readBody(c *conn, req *http1.Request, limit int64) (body []byte, held int64, err error) {
	if req.Length == 0 {
		return nil, 0, nil
	}
	if req.Length > limit {
		return nil, 0, errBodyTooLarge
	}
	first := max(req.Length, 0)
	if req.Length < 0 {
		first = min(pieceBytes, limit+1)
	}
	if !s.bodies.TryAcquire(first) {
		return nil, 0, errNoMemory
	}
	if req.Continue {
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, first, eris.Wrap(err, "ask for the body")
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	reader := http1.Body(c.reader, req.Length)
	if req.Length > 0 {
		body = make([]byte, req.Length)
		_, err = io.ReadFull(reader, body)
		return body, first, err
	}
	return s.readPieces(reader, limit, first)
}

// readPieces reads a body of unknown length for which held bytes are taken already.
func (s *Server) readPieces(reader io.Reader, limit, held int64) ([]byte, int64, error) {
	body := make([]byte, 0, held)
	for {
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, held, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, held, nil
		case err != nil && !isNetwork(err) && !errors.Is(err, io.ErrUnexpectedEOF):
			return nil, held, eris.Wrapf(http1.ErrMalformed, "body: %v", err)
		case err != nil:
			return nil, held, err
		}
		if len(body) < cap(body) {
			continue
		}
		// Twice as much, so that large bodies are copied seldom; one byte over the limit shows that it is passed.
		more := min(held, limit+1-held)
		if !s.bodies.TryAcquire(more) {
			return nil, held, errNoMemory
		}
		held += more
		body = append(make([]byte, 0, held), body...)
	}
}

var (
	errBodyTooLarge = errors.New("the body is too large")
	errNoMemory     = errors.New("bodies of other calls take up the memory for bodies")
)

func isNetwork(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// refuse answers a call that could not be read; the connection ends with it.
func (s *Server) refuse(c *conn, err error) {
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
	case errors.Is(err, errNoMemory):
		status = http.StatusServiceUnavailable
		fields = append(fields, RetryLater())
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	}
	metrics.GetOrCreateCounter(`hickoryrock_unreadable_calls_total`).Inc()
	s.log.Info().Str("caller", c.RemoteAddr().String()).Int("status", status).Err(err).Msg("call could not be read")
	if status == 0 {
		return
	}
	a := &Answer{conn: c.Conn, closing: true}
	a.Whole(status, http.StatusText(status), fields, nil)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.reader, lingerBytes)
	}
}
