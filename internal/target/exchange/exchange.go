// Package exchange sends one call to one target over HTTP/1.1. It repeats
// nothing, and tells a call that was never sent from one whose fate is unknown.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"hickoryrock/internal/wire/http1"
)

const (
	// NotSent means that no byte of the call has left: it has not run.
	NotSent Certainty = iota
	// Unknown means that the call may have run.
	Unknown

	// ReasonRefused is the reason of a call to a target that accepts no connection.
	ReasonRefused = "connection-refused"
	// ReasonNoConnection is the reason of a call to a target that does not answer to a connection.
	ReasonNoConnection = "no-connection"

	readBufferBytes = 4 << 10
	// headLimit bounds the head of a target's answer.
	headLimit = 64 << 10
	// staleAnswers is how many answers to earlier calls are passed over on a connection.
	staleAnswers = 2
	// staleAnswerBytes bounds the body of an answer that is passed over.
	staleAnswerBytes = 1 << 20
	// inlineBytes is the most that is written before the answer is read: more
	// could block both ends when the target answers before it reads.
	inlineBytes = 2 << 10
)

type (
	// Certainty says what is known of a failed call.
	Certainty uint8

	// Failure is why a call has no answer.
	Failure struct {
		Certainty Certainty
		// Reason is a stable code in kebab case.
		Reason string
		Err    error
	}

	// Endpoint is one incarnation of a target.
	Endpoint struct {
		Address string
		// Key differs for each incarnation at an address.
		Key string
	}

	// Call is what is sent.
	Call struct {
		Method string
		Target string
		Fields []http1.Field
		Body   []byte
		// Owns reports whether an answer's head belongs to this call.
		Owns func(fields []http1.Field) Ownership
	}

	// Ownership says whose an answer is.
	Ownership uint8

	// Answer is a target's answer whose body is still to be read.
	Answer struct {
		Head   *http1.Response
		Body   io.Reader
		Reused bool

		conn *conn
	}

	// Pool keeps idle connections to targets.
	Pool struct {
		opts Options
		mu   sync.Mutex
		idle map[string][]*conn
	}

	conn struct {
		net.Conn
		key     string
		reader  *bufio.Reader
		expires time.Time
		used    bool
		// written ends when the call's bytes have left.
		written  chan error
		stopWait func() bool
	}
)

const (
	// Own answers belong to the call.
	Own Ownership = iota
	// Earlier answers belong to another call.
	Earlier
	// Unnamed answers say nothing of their call.
	Unnamed
)

// Error implements error.
func (f *Failure) Error() string {
	if f == nil {
		return "none"
	}
	return f.Reason + ": " + f.Err.Error()
}

// New returns a pool and the function that closes its idle connections.
func New(opts ...Option) (*Pool, func()) {
	p := &Pool{opts: newOptions(opts), idle: make(map[string][]*conn)}
	return p, p.closeIdle
}

// Do sends a call. The caller must end the answer with Done or Drop.
// The end of ctx ends the exchange and closes its connection.
func (p *Pool) Do(ctx context.Context, e Endpoint, c Call) (*Answer, *Failure) {
	cn, failure := p.connection(ctx, e)
	if failure != nil {
		return nil, failure
	}
	cn.stopWait = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if err := cn.send(c); err != nil {
		cn.drop()
		return nil, err
	}
	head, err := cn.readHead(c)
	if err != nil {
		cn.drop()
		return nil, &Failure{Certainty: Unknown, Reason: reason(err), Err: err}
	}
	return &Answer{Head: head, Body: http1.Body(cn.reader, head.Length), Reused: cn.used, conn: cn}, nil
}

// Forget closes the idle connections to an endpoint.
func (p *Pool) Forget(e Endpoint) {
	p.mu.Lock()
	list := p.idle[e.Key]
	delete(p.idle, e.Key)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // Idle: nothing is lost.
	}
}

// Done gives the connection back after a complete body.
func (p *Pool) Done(a *Answer) {
	c := a.conn
	if !c.stopWait() || a.Head.Close || c.reader.Buffered() > 0 {
		c.drop()
		return
	}
	select {
	case err := <-c.written:
		if err != nil {
			c.drop()
			return
		}
	default:
		// The target answered without reading the whole body.
		c.drop()
		return
	}
	keep := p.opts.IdleTimeout
	if told, ok := keepAlive(a.Head.Field("keep-alive")); ok {
		// The target counts from its own last byte, so this side stops sooner.
		keep = min(keep, told*4/5)
	}
	c.expires = time.Now().Add(keep)
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= p.opts.IdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Drop closes the connection of an answer that is not read to its end.
func (p *Pool) Drop(a *Answer) { a.conn.drop() }

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, key)
	}
}

// connection returns an idle connection that is still open and silent, or a new one.
func (p *Pool) connection(ctx context.Context, e Endpoint) (*conn, *Failure) {
	for {
		c := p.take(e.Key)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.quiet() {
			c.written = make(chan error, 1)
			return c, nil
		}
		_ = c.Close()
	}
	metrics.GetOrCreateCounter(`hickoryrock_target_connections_total`).Inc()
	dialer := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1}
	n, err := dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		why := ReasonNoConnection
		if errors.Is(err, syscall.ECONNREFUSED) {
			why = ReasonRefused
		}
		return nil, &Failure{Certainty: NotSent, Reason: why, Err: err}
	}
	return &conn{
		Conn: n, key: e.Key, reader: bufio.NewReaderSize(n, readBufferBytes), written: make(chan error, 1),
	}, nil
}

// take returns the connection that was used last.
func (p *Pool) take(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// quiet reports whether an idle connection is open and has nothing to read:
// bytes that nobody asked for belong to no call.
func (c *conn) quiet() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// send writes the call; a long one is written while the answer is read.
func (c *conn) send(call Call) *Failure {
	b := http1.AppendRequest(make([]byte, 0, 1024+len(call.Body)), call.Method, call.Target, call.Fields,
		int64(len(call.Body)))
	b = append(b, call.Body...)
	if len(b) > inlineBytes {
		go func() {
			_, err := c.Write(b)
			c.written <- err
		}()
		return nil
	}
	n, err := c.Write(b)
	c.written <- err
	if err == nil {
		return nil
	}
	certainty := Unknown
	if n == 0 {
		certainty = NotSent
	}
	return &Failure{Certainty: certainty, Reason: "send-failed", Err: err}
}

// readHead reads the head of the call's own answer, past answers to earlier calls.
func (c *conn) readHead(call Call) (*http1.Response, error) {
	for range staleAnswers + 1 {
		head, err := http1.ReadResponse(c.reader, headLimit, call.Method)
		if err != nil {
			return nil, err
		}
		whose := call.Owns(head.Fields)
		if whose == Own || (whose == Unnamed && !c.used) {
			return head, nil
		}
		metrics.GetOrCreateCounter(`hickoryrock_stale_answers_total`).Inc()
		if head.Length == http1.UntilClose {
			break
		}
		body := http1.Body(c.reader, head.Length)
		if n, err := io.Copy(io.Discard, io.LimitReader(body, staleAnswerBytes)); err != nil || n == staleAnswerBytes {
			break
		}
	}
	return nil, errOtherCall
}

var errOtherCall = errors.New("the answer belongs to another call")

func (c *conn) drop() {
	if c.stopWait != nil {
		c.stopWait()
	}
	_ = c.Close() // What the target still sends belongs to nobody.
}

func reason(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, errOtherCall):
		return "other-call"
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, http1.ErrTooLarge):
		return "malformed-answer"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	}
	return "connection-lost"
}

// ReadWhole reads a body of at most limit bytes to its end.
func ReadWhole(a *Answer, limit int64) ([]byte, error) {
	if a.Head.Length >= 0 && a.Head.Length <= limit {
		body := make([]byte, a.Head.Length)
		_, err := io.ReadFull(a.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return body, eris.Errorf("the answer is larger than %d bytes", limit)
	}
	return body, err
}

func keepAlive(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(number)
		return time.Duration(n) * time.Second, err == nil
	}
	return 0, false
}
