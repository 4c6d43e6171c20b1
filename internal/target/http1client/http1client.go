// Package http1client sends one call to one target over HTTP/1.1. It never retries,
// and distinguishes a call that was not sent from one whose outcome is unknown.
package http1client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/wire/http1"
	"hickoryrock/internal/wire/tcp"
)

const (
	// NotSent means that no byte of the call was sent, so it has not run.
	NotSent CallStatus = iota
	// Unknown means that the call may have run.
	Unknown

	// StageConnect is the stage of a call without a connection.
	StageConnect Stage = "connect"
	// StageSend is the stage of a call that is being sent.
	StageSend Stage = "send"
	// StageWait is the stage of a call of whose response nothing has arrived.
	StageWait Stage = "wait"
	// StageHead is the stage of a call of whose response the head has arrived in part.
	StageHead Stage = "head"

	// ReasonRefused is the reason when the target refuses the connection.
	ReasonRefused = "connection-refused"
	// ReasonNoMemory is the reason when there is no memory for the head of the response.
	ReasonNoMemory = "response-memory"
	// ReasonNoConnection is the reason when dialing fails in another way, such as a timeout.
	ReasonNoConnection = "no-connection"

	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the status line and headers of a response.
	maxHeadBytes = 64 << 10
	// maxStaleResponses is how many responses to earlier calls are skipped on a connection.
	maxStaleResponses = 2
	// maxStaleBodyBytes bounds the body of a skipped response.
	maxStaleBodyBytes = 1 << 20
	// maxInlineWriteBytes is the largest call that is written completely before the
	// response is read. A larger one could deadlock if the target responds before it
	// has read the call.
	maxInlineWriteBytes = 2 << 10
	// drainTimeout and maxDrainBytes bound the body that is read only to reuse the
	// connection.
	drainTimeout  = 100 * time.Millisecond
	maxDrainBytes = 64 << 10
)

// ErrBodyTooLarge means that a response body exceeds the limit.
var ErrBodyTooLarge = errors.New("response body exceeds the size limit")

type (
	// CallStatus says whether a failed call may have run.
	CallStatus uint8

	// Stage is how far a call had come when it failed, in kebab case.
	Stage string

	// Failure is why a call has no response.
	Failure struct {
		Status CallStatus
		Stage  Stage
		// Reason is a stable error code in kebab case.
		Reason string
		// IsCut is set if the connection ended, or was given up, during the call. It is not set
		// if the target sent bytes that are no response to the call.
		IsCut bool
		Err   error
	}

	// Endpoint is one instance of a target.
	Endpoint struct {
		Address string
		// Key identifies the instance; it changes when the target at Address restarts.
		Key string
	}

	// Call is a request to a target.
	Call struct {
		Method string
		// Target is the request target in the request line, such as a path.
		Target string
		Fields []http1.Field
		Body   []byte
		// Match reports from the response's header fields whether it belongs to this call.
		Match func(fields []http1.Field) ResponseMatch
		// NewConnection is set when the call must not be sent on a kept connection, such as
		// one whose response cannot be told from those to earlier calls.
		NewConnection bool
		// ReserveHead reports whether there is memory for a head that occupies a number of bytes.
		// Nil means that there is.
		ReserveHead func(bytes int) bool
	}

	// ResponseMatch says which call a response belongs to.
	ResponseMatch uint8

	// Response is a response whose body has not been read yet.
	Response struct {
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
		*tcp.Conn
		key     string
		reader  *bufio.Reader
		expires time.Time
		reused  bool
		// written receives the result of writing the call.
		written    chan error
		stopCancel func() bool
	}
)

const (
	// MatchThisCall means that the response belongs to this call.
	MatchThisCall ResponseMatch = iota
	// MatchOtherCall means that the response belongs to another call.
	MatchOtherCall
	// MatchUnknown means that the response does not identify its call.
	MatchUnknown
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
	return p, p.closeAllIdle
}

// Do sends a call. After use, the caller must release or discard the response through the pool.
// Cancelling ctx aborts the call and closes its connection.
func (p *Pool) Do(ctx context.Context, e Endpoint, c Call) (*Response, *Failure) {
	cn, failure := p.connection(ctx, e, c.NewConnection)
	if failure != nil {
		return nil, failure
	}
	cn.stopCancel = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if err := cn.send(c); err != nil {
		cn.discard()
		return nil, err
	}
	head, stage, err := cn.readHead(c)
	if err != nil {
		cn.discard()
		return nil, &Failure{Status: Unknown, Stage: stage, Reason: failureReason(err), IsCut: isCut(err), Err: err}
	}
	return &Response{Head: head, Body: http1.Body(cn.reader, head.Length), Reused: cn.reused, conn: cn}, nil
}

// Release returns the connection to the pool after the body was read completely.
func (p *Pool) Release(resp *Response) {
	c := resp.conn
	if !c.stopCancel() || resp.Head.Close || c.reader.Buffered() > 0 {
		c.discard()
		return
	}
	select {
	case err := <-c.written:
		if err != nil {
			c.discard()
			return
		}
	default:
		// The target responded without reading the whole request body.
		c.discard()
		return
	}
	idleTimeout := p.opts.IdleTimeout
	if advertised, ok := keepAliveTimeout(resp.Head.Field("keep-alive")); ok {
		// The target's timeout starts at its own last byte, so this side closes earlier.
		idleTimeout = min(idleTimeout, advertised*4/5)
	}
	c.expires = time.Now().Add(idleTimeout)
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= p.opts.IdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Drain reads and discards the body in the background, so that the connection can be
// reused. It gives up after drainTimeout or maxDrainBytes.
func (p *Pool) Drain(resp *Response) {
	c := resp.conn
	if resp.Head.Length == http1.UntilClose || !c.stopCancel() {
		c.discard()
		return
	}
	c.stopCancel = func() bool { return true } // The end of the call no longer aborts the read.
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
	if resp.Head.Length >= 0 && resp.Head.Length <= int64(c.reader.Buffered()) {
		p.drain(resp)
		return
	}
	go p.drain(resp)
}

func (p *Pool) drain(resp *Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	if err != nil || n == maxDrainBytes {
		resp.conn.discard()
		return
	}
	_ = resp.conn.SetReadDeadline(time.Time{})
	p.Release(resp)
}

// Discard closes the connection of a response that was not read completely.
func (p *Pool) Discard(resp *Response) { resp.conn.discard() }

// connection returns an idle connection that is open and has no unread data, or a new one if
// there is none or onlyNew is set.
func (p *Pool) connection(ctx context.Context, e Endpoint, onlyNew bool) (*conn, *Failure) {
	for !onlyNew {
		c := p.popIdle(e.Key)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.isIdle() {
			c.written = make(chan error, 1)
			return c, nil
		}
		_ = c.Close()
	}
	metrics.GetOrCreateCounter(`hickoryrock_target_connections_total`).Inc()
	n, failure := p.dial(ctx, e)
	if failure != nil {
		return nil, failure
	}
	return &conn{
		Conn: n, key: e.Key, reader: bufio.NewReaderSize(n, readBufferBytes), written: make(chan error, 1),
	}, nil
}

// send writes the call; a large one is written in the background while the response is read.
func (c *conn) send(call Call) *Failure {
	b := http1.AppendRequest(make([]byte, 0, 1024+min(len(call.Body), maxInlineWriteBytes)), call.Method, call.Target,
		call.Fields, int64(len(call.Body)))
	if len(b)+len(call.Body) > maxInlineWriteBytes {
		// A copy of the body would double its memory while the target reads it slowly.
		parts := net.Buffers{b, call.Body}
		go func() {
			_, err := c.WriteBuffers(parts)
			c.written <- err
		}()
		return nil
	}
	b = append(b, call.Body...)
	n, err := c.Write(b)
	c.written <- err
	if err == nil {
		return nil
	}
	status := Unknown
	if n == 0 {
		status = NotSent
	}
	return &Failure{Status: status, Stage: StageSend, Reason: "send-failed", IsCut: status == Unknown, Err: err}
}

// readHead reads the head of the response to this call and skips responses to earlier calls.
func (c *conn) readHead(call Call) (*http1.Response, Stage, error) {
	for range maxStaleResponses + 1 {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, StageWait, err
		}
		head, err := http1.ReadResponseReserving(c.reader, maxHeadBytes, call.Method, call.ReserveHead)
		if err != nil {
			return nil, StageHead, err
		}
		match := call.Match(head.Fields)
		if match == MatchThisCall || (match == MatchUnknown && !c.reused) {
			return head, StageHead, nil
		}
		metrics.GetOrCreateCounter(`hickoryrock_stale_answers_total`).Inc()
		if head.Length == http1.UntilClose {
			break
		}
		body := http1.Body(c.reader, head.Length)
		n, err := io.Copy(io.Discard, io.LimitReader(body, maxStaleBodyBytes))
		if err != nil {
			return nil, StageWait, err
		}
		if n == maxStaleBodyBytes {
			break
		}
	}
	return nil, StageWait, errOtherCall
}

var errOtherCall = errors.New("response belongs to another call")

func (c *conn) discard() {
	if c.stopCancel != nil {
		c.stopCancel()
	}
	_ = c.Close() // Anything the target still sends is discarded.
}

// isCut reports whether a response could not be read because the connection ended.
func isCut(err error) bool {
	return !errors.Is(err, http1.ErrMalformed) && !errors.Is(err, http1.ErrTooLarge) && !errors.Is(err, http1.ErrNoMemory) &&
		!errors.Is(err, errOtherCall)
}

func failureReason(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, errOtherCall):
		return "other-call"
	case errors.Is(err, http1.ErrNoMemory):
		return ReasonNoMemory
	case errors.Is(err, http1.ErrMalformed), errors.Is(err, http1.ErrTooLarge):
		return "malformed-answer"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	}
	return "connection-lost"
}

func keepAliveTimeout(value string) (time.Duration, bool) {
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
