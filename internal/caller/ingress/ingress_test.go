package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
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

const (
	bodyMemory = 200 << 10
	bodyLimit  = 150 << 10
)

// blockingHandler reports the body length of each call on received and waits for
// proceed before it responds. It aborts the response when the call's context ends.
type blockingHandler struct {
	received chan int
	proceed  chan struct{}
}

func (h blockingHandler) ServeCall(ctx context.Context, w *ingress.ResponseWriter, _ *http1.Request, body []byte) {
	h.received <- len(body)
	select {
	case <-h.proceed:
		w.Respond(200, "OK", nil, nil)
	case <-ctx.Done():
		w.Abort()
	}
}

type fixture struct {
	*qt.C
	blockingHandler
	server  *ingress.Server
	address string
	// bodyBytes and headerBytes are the limits of a request's body and head, headerTimeout that of
	// the time to read the head.
	bodyBytes     int64
	headerBytes   int
	headerTimeout time.Duration
}

func (f *fixture) limits() state.Limits {
	return state.Limits{HeaderBytes: f.headerBytes, BodyBytes: f.bodyBytes, HeaderTimeout: f.headerTimeout, IdleTimeout: time.Second}
}

func newFixture(t *testing.T, opts ...ingress.Option) *fixture {
	return newFixtureWithLimit(t, bodyLimit, opts...)
}

func newFixtureWithLimit(t *testing.T, bodyBytes int64, opts ...ingress.Option) *fixture {
	return newFixtureWithLimits(t, bodyBytes, 1<<10, time.Second, opts...)
}

func newFixtureWithLimits(t *testing.T, bodyBytes int64, headerBytes int, headerTimeout time.Duration, opts ...ingress.Option) *fixture {
	f := &fixture{
		C: qt.New(t), blockingHandler: blockingHandler{make(chan int, 10), make(chan struct{}, 10)}, bodyBytes: bodyBytes,
		headerBytes: headerBytes, headerTimeout: headerTimeout,
	}
	f.serveWith(f.blockingHandler, opts...)
	return f
}

// serveWith starts a server whose calls a handler serves.
func (f *fixture) serveWith(handler ingress.Handler, opts ...ingress.Option) {
	f.server = ingress.New(handler, f.limits, zerolog.Nop(), append(opts, ingress.WithBodyMemory(bodyMemory))...)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = l.Close() })
	go f.server.Serve(l)
	f.address = l.Addr().String()
}

func sizedRequest(bytes int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", bytes))
}

func chunkedRequest(bytes int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		bytes, strings.Repeat("x", bytes))
}

func (f *fixture) send(raw string) *bufio.Reader {
	c, err := net.Dial("tcp4", f.address)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(c, raw)
	f.Assert(err, qt.IsNil)
	return bufio.NewReader(c)
}

func (f *fixture) assertStatus(r *bufio.Reader, want int) *http1.Response {
	f.Helper()
	head, err := http1.ReadResponse(r, 1<<10, "POST")
	f.Assert(err, qt.IsNil)
	f.Assert(head.Status, qt.Equals, want)
	return head
}

// TestBodyMemoryLimit sends large bodies concurrently. Without a common limit,
// the router would run out of memory and be killed with all calls that it serves.
func TestBodyMemoryLimit(t *testing.T) {
	for name, request := range map[string]func(int) string{"sized": sizedRequest, "chunked": chunkedRequest} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			first := f.send(request(100 << 10))
			f.Assert(<-f.received, qt.Equals, 100<<10)
			rejected := f.assertStatus(f.send(request(140<<10)), 503)
			f.Assert(rejected.Field("retry-after"), qt.Not(qt.Equals), "")
			f.Assert(rejected.Close, qt.IsTrue)
			f.proceed <- struct{}{}
			f.assertStatus(first, 200)
			// The memory of both the served and the rejected call is free right after the response.
			time.Sleep(50 * time.Millisecond)
			f.proceed <- struct{}{}
			f.assertStatus(f.send(request(100<<10)), 200)
			f.Assert(<-f.received, qt.Equals, 100<<10)
		})
	}
}

func TestBodyTooLarge(t *testing.T) {
	for name, request := range map[string]func(int) string{"sized": sizedRequest, "chunked": chunkedRequest} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.assertStatus(f.send(request(bodyLimit+1)), 413)
			f.Assert(f.received, qt.HasLen, 0)
		})
	}
}

// A request may be on its way to an idle connection when a stopping router closes it.
// It must be answered; connections without a request are closed.
func TestRequestOnClosingIdleConnectionIsAnswered(t *testing.T) {
	f := newFixture(t, ingress.WithCloseDelay(time.Second))
	connect := func() (net.Conn, *bufio.Reader) {
		f.proceed <- struct{}{}
		c, err := net.Dial("tcp4", f.address)
		f.Assert(err, qt.IsNil)
		f.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = io.WriteString(c, sizedRequest(1))
		f.Assert(err, qt.IsNil)
		r := bufio.NewReader(c)
		f.assertStatus(r, 200)
		<-f.received
		return c, r
	}
	used, usedReader := connect()
	_, unusedReader := connect()
	for f.server.Active() > 0 {
		time.Sleep(time.Millisecond) // Until both connections are idle.
	}
	f.server.Drain()
	f.server.CloseIdle()
	f.proceed <- struct{}{}
	_, err := io.WriteString(used, sizedRequest(1))
	f.Assert(err, qt.IsNil)
	f.Assert(f.assertStatus(usedReader, 200).Close, qt.IsTrue)
	_, err = unusedReader.ReadByte()
	f.Assert(err, qt.Equals, io.EOF)
}

// lateDeadlineConn is a connection on which a call begins between the decision to set a short
// read deadline and its setting.
type lateDeadlineConn struct {
	net.Conn
	short   time.Duration
	waiting chan struct{}
	proceed chan struct{}
}

func (c *lateDeadlineConn) SetReadDeadline(t time.Time) error {
	if left := time.Until(t); left > 0 && left <= c.short {
		c.waiting <- struct{}{}
		<-c.proceed
		t = time.Now().Add(c.short)
	}
	return c.Conn.SetReadDeadline(t)
}

type lateDeadlineListener struct {
	net.Listener
	lateDeadlineConn
}

func (l lateDeadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	late := l.lateDeadlineConn
	late.Conn = c
	return &late, nil
}

// Guards against a stop that takes the caller of a call for gone which began while its
// connection was being closed as idle.
func TestCallThatBeginsWhileItsConnectionIsClosedIsAnswered(t *testing.T) {
	const closeDelay = 50 * time.Millisecond
	f := newFixture(t, ingress.WithCloseDelay(closeDelay))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = l.Close() })
	late := lateDeadlineConn{short: closeDelay, waiting: make(chan struct{}), proceed: make(chan struct{})}
	go f.server.Serve(lateDeadlineListener{l, late})
	f.address = l.Addr().String()
	c, err := net.Dial("tcp4", f.address)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	r := bufio.NewReader(c)
	call := func() {
		_, err := io.WriteString(c, sizedRequest(1))
		f.Assert(err, qt.IsNil)
	}
	call()
	f.proceed <- struct{}{}
	<-f.received
	f.assertStatus(r, 200)
	for f.server.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
	go f.server.CloseIdle()
	<-late.waiting
	call()
	select {
	case <-f.received:
	case <-time.After(100 * time.Millisecond): // The call does not begin before the deadline is set.
	}
	close(late.proceed)
	time.Sleep(2 * closeDelay)
	f.proceed <- struct{}{}
	f.assertStatus(r, 200)
}

// Guards against a stopping router that leaves a connection open on which a stream began before
// the stop, so that its caller uses it until the process ends.
func TestConnectionThatBecomesIdleWhileClosingIsClosed(t *testing.T) {
	f := newFixture(t, ingress.WithCloseDelay(20*time.Millisecond))
	r := f.send(sizedRequest(1))
	<-f.received
	f.server.CloseIdle()
	f.proceed <- struct{}{}
	f.Assert(f.assertStatus(r, 200).Close, qt.IsFalse)
	answered := time.Now()
	_, err := r.ReadByte()
	f.Assert(err, qt.Equals, io.EOF)
	f.Assert(time.Since(answered) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("closed after %v", time.Since(answered)))
}

// Guards against a stop that resets connections which callers have established before it but
// which the router, waiting for a processor, has not accepted.
func TestPendingConnectionsAreAcceptedBeforeTheListenerIsClosed(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0") // Nothing accepts its connections.
	f.Assert(err, qt.IsNil)
	f.address = l.Addr().String()
	var readers []*bufio.Reader
	for range 5 {
		readers = append(readers, f.send(sizedRequest(1)))
		f.proceed <- struct{}{}
	}
	f.Assert(f.server.CloseListener(l), qt.IsNil)
	f.server.CloseIdle()
	for _, r := range readers {
		f.assertStatus(r, 200)
	}
	_, err = net.Dial("tcp4", f.address)
	f.Assert(err, qt.ErrorMatches, ".*connection refused")
}

// Guards against a configuration whose limit for bodies ends the process at the first chunked
// request.
func TestLargestBodyLimit(t *testing.T) {
	f := newFixtureWithLimit(t, math.MaxInt64)
	f.proceed <- struct{}{}
	f.assertStatus(f.send(chunkedRequest(100<<10)), 200)
	f.Assert(<-f.received, qt.Equals, 100<<10)
}
