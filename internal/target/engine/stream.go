package engine

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/target/transport"
)

type (
	// Stream yields the events of one response, each once and in order, over as many connections
	// as needed. It is not safe for concurrent use.
	//
	//	for s.Next() {
	//		use(s.Event())
	//	}
	//	failure := s.Failure()
	Stream struct {
		client *Client
		req    Request
		ctx    context.Context
		stop   context.CancelFunc

		conn     *connection
		sequence *sse.Sequence
		event    sse.Event
		failure  *outcome.Failure
		// failedConnections counts the connections that failed since the last event.
		failedConnections int
	}

	// connection is one HTTP response; its timer runs only while waiting for an event.
	connection struct {
		ctx           context.Context
		cancel        context.CancelCauseFunc
		timer         *time.Timer
		body          io.ReadCloser
		reader        *sse.Reader
		release       func()
		receivedEvent bool
	}

	sendFunc func(context.Context) (*http.Response, *transport.Attempt, error)
)

var (
	errMissingEvent = errors.New("gap in event ids")
	errForeignEvent = errors.New("error event, or event without an id after others with one")
)

func newStream(ctx context.Context, c *Client, req Request, after int) *Stream {
	ctx, stop := context.WithCancel(ctx)
	return &Stream{client: c, req: req, ctx: ctx, stop: stop, sequence: sse.NewSequence(after)}
}

// Next advances to the next event and reports whether there is one.
func (s *Stream) Next() bool {
	for s.failure == nil && !s.sequence.Complete() {
		err := s.read()
		if err != nil {
			s.reconnect(err)
			continue
		}
		if !s.sequence.Complete() {
			return true
		}
		s.closeConnection()
		s.client.countRequest(nil)
	}
	return false
}

// Event returns the current event; its data is valid until the next call of Next.
func (s *Stream) Event() sse.Event {
	return s.event
}

// Failure returns why the response was interrupted, or nil.
func (s *Stream) Failure() *outcome.Failure {
	return s.failure
}

// Complete reports whether the response was read completely.
func (s *Stream) Complete() bool {
	return s.sequence.Complete()
}

// Close ends the stream and cancels an unfinished response at the engine.
func (s *Stream) Close() {
	s.closeConnection()
	if !s.sequence.Finished() {
		s.client.cancel(s.ctx, s.req)
	}
	s.stop()
}

// Detach ends the stream without cancelling the response at the engine, so that another router can
// resume it.
func (s *Stream) Detach() {
	s.closeConnection()
	s.stop()
}

// read advances to the next event on the open connection, or to the end of the response.
func (s *Stream) read() error {
	for {
		e, err := s.conn.next(s.eventTimeout())
		if err != nil {
			return err
		}
		switch s.sequence.Accept(e) {
		case sse.Deliver:
			s.failedConnections = 0
			s.event = e
			s.event.ID = s.sequence.Last()
			return nil
		case sse.Duplicate:
			if e.ID < s.sequence.Last() {
				s.client.countRetry(reasonRepeatedEvent)
			}
		case sse.Gap:
			return errMissingEvent
		case sse.Truncated:
			return sse.ErrTruncated
		case sse.Foreign:
			return errForeignEvent
		case sse.Complete:
			return nil
		case sse.Skip:
		}
	}
}

// eventTimeout returns the timeout for the next event.
func (s *Stream) eventTimeout() time.Duration {
	switch {
	case s.req.EventTimeout > 0:
		return s.req.EventTimeout
	case s.conn == nil || !s.conn.receivedEvent:
		return s.client.opts.FirstEventTimeout
	default:
		return s.client.opts.EventTimeout
	}
}

// next waits for an event; the timeout does not run between calls.
func (c *connection) next(timeout time.Duration) (sse.Event, error) {
	c.timer.Reset(timeout)
	e, err := c.reader.Next()
	c.timer.Stop()
	c.receivedEvent = c.receivedEvent || e.Kind == sse.Data
	return e, err
}

// reconnect replaces a lost or silent connection, or fails the stream.
func (s *Stream) reconnect(err error) {
	reason := transport.Reason(s.conn.ctx, err)
	s.closeConnection()
	if reason == outcome.ReasonTargetSilent {
		s.client.pool.MarkSuspect(s.req.Address)
	}
	if s.ctx.Err() != nil {
		s.fail(outcome.NewUnknown(outcome.ReasonCancelled, "caller disconnected: %v", err))
		return
	}
	if !s.sequence.Resumable() {
		s.fail(outcome.NewUnknown(reason, "stream interrupted, cannot resume without event ids: %v", err))
		return
	}
	s.client.countRetry(string(reason))
	if f := s.reopen(); f != nil {
		s.fail(outcome.NewUnknown(f.Reason, "stream interrupted after event %d: %v; %s", s.sequence.Last(), err, f.Detail))
	}
}

func (s *Stream) fail(f *outcome.Failure) {
	s.failure = f
	s.client.countRequest(f)
}

// open sends the chat. If the connection is lost or silent, it asks the engine on a new connection
// whether the request has arrived, and sends it again only if the engine has no such request.
func (s *Stream) open() *outcome.Failure {
	f := s.connect(func(ctx context.Context) (*http.Response, *transport.Attempt, error) {
		return s.client.post(ctx, s.req)
	})
	if !isConnectionFailure(f) || s.ctx.Err() != nil {
		return f
	}
	s.client.countRetry(string(f.Reason))
	f = s.reopen()
	if f != nil && f.Reason == outcome.ReasonNotFound {
		f = s.connect(func(ctx context.Context) (*http.Response, *transport.Attempt, error) {
			return s.client.post(ctx, s.req)
		})
	}
	if f != nil {
		// The first attempt may still arrive at the engine.
		f.Status = outcome.Unknown
	}
	return f
}

// isConnectionFailure reports whether an attempt failed because of its connection rather than the
// engine.
func isConnectionFailure(f *outcome.Failure) bool {
	if f == nil || f.Status != outcome.Unknown {
		return false
	}
	return f.Reason == outcome.ReasonConnectionLost || f.Reason == outcome.ReasonTargetSilent
}

// reopen resumes the stream on a new connection; attempts are counted since the last event.
func (s *Stream) reopen() *outcome.Failure {
	f := outcome.NewUnknown(outcome.ReasonConnectionLost, "no resume attempts left")
	for s.failedConnections < s.client.opts.MaxResumes {
		s.backoff()
		s.failedConnections++
		f = s.connect(func(ctx context.Context) (*http.Response, *transport.Attempt, error) {
			return s.client.getStream(ctx, s.req, s.sequence.ResumeAfter())
		})
		if f == nil || f.Reason == outcome.ReasonNotFound || s.ctx.Err() != nil {
			return f
		}
		s.client.countRetry(string(f.Reason))
	}
	return f
}

func (s *Stream) backoff() {
	t := time.NewTimer(s.client.opts.Backoff * time.Duration(s.failedConnections*s.failedConnections))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// connect makes one attempt to open the event stream.
func (s *Stream) connect(send sendFunc) *outcome.Failure {
	ctx, cancel := context.WithCancelCause(s.ctx)
	timer := time.AfterFunc(s.eventTimeout(), func() { cancel(transport.ErrSilent) })
	abandon := func(f *outcome.Failure) *outcome.Failure {
		timer.Stop()
		cancel(nil)
		if f.Reason == outcome.ReasonTargetSilent {
			s.client.pool.MarkSuspect(s.req.Address)
		}
		return f
	}
	resp, attempt, err := send(ctx)
	if err != nil {
		return abandon(attempt.Failure(ctx, err))
	}
	if resp.StatusCode == http.StatusNotFound {
		_ = resp.Body.Close()
		return abandon(outcome.NewNotRun(outcome.ReasonNotFound, "stream not found on the engine"))
	}
	f := responseFailure(resp)
	if f == nil {
		f = typeFailure(resp)
	}
	if f != nil {
		_ = resp.Body.Close()
		return abandon(f)
	}
	timer.Stop()
	reader, release := sse.NewReader(resp.Body)
	s.conn = &connection{ctx: ctx, cancel: cancel, timer: timer, body: resp.Body, reader: reader, release: release}
	return nil
}

// typeFailure converts a response that is no event stream to a failure. One that names no type
// is taken for a stream.
func typeFailure(resp *http.Response) *outcome.Failure {
	contentType := resp.Header.Get("Content-Type")
	if mediaType, _, _ := mime.ParseMediaType(contentType); contentType == "" || mediaType == sse.ContentType {
		return nil
	}
	return outcome.NewUnknown(outcome.ReasonTargetFailed, "engine responded with type %q in place of a stream", contentType)
}

func (s *Stream) closeConnection() {
	if s.conn == nil {
		return
	}
	s.conn.close()
	s.conn = nil
}

func (c *connection) close() {
	c.timer.Stop()
	_ = c.body.Close()
	c.cancel(nil)
	c.release()
}
