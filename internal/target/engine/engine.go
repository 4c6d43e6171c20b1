// Package engine is a client for model engines: chats, streams, load reports and KV caches.
package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/target/transport"
)

const (
	// HeaderRequestID carries the ID under which the engine keeps the stream of a request.
	HeaderRequestID = "X-Request-Id"
	// HeaderConversation carries the conversation ID of a request.
	HeaderConversation = "X-Conversation-Id"
	// HeaderNotRun is set by an engine when it refuses a request without running it.
	HeaderNotRun = "X-Not-Run"

	chatPath       = "/v1/chat/completions"
	streamsPath    = "/v1/streams/"
	jsonType       = "application/json"
	maxDetailBytes = 256
)

type (
	// Client sends requests to the engines of a service.
	Client struct {
		opts Options
		pool *transport.Pool
	}

	// Request is a chat request to one engine.
	Request struct {
		// Address is the engine's IP:port.
		Address string
		// ID identifies the stream at the engine and must be unique.
		ID           string
		Conversation string
		// Body is the chat request in OpenAI format.
		Body []byte
		// EventTimeout bounds the wait for each event. If it is 0, the client's own timeouts apply.
		EventTimeout time.Duration
	}

	// Completion is a non-streaming response.
	Completion struct {
		Body []byte
	}
)

// New returns a client and the function that closes its connections.
func New(opts ...Option) (*Client, func()) {
	o := newOptions(opts...)
	pool, stop := transport.New(o.Transport...)
	return &Client{opts: o, pool: pool}, stop
}

// Chat requests a non-streaming response. It is built from a stream, so that lost and silent
// connections are detected and the response is resumed in the same way.
func (c *Client) Chat(ctx context.Context, req Request) (*Completion, *outcome.Failure) {
	body, err := streamBody(req.Body)
	if err != nil {
		return nil, outcome.NewNotRun(outcome.ReasonInvalidRequest, "%v", err)
	}
	req.Body = body
	s, f := c.Stream(ctx, req)
	if f != nil {
		return nil, f
	}
	defer s.Close()
	return readCompletion(s, c.opts.MaxResponseBytes)
}

func readCompletion(s *Stream, limit int) (*Completion, *outcome.Failure) {
	var b completionBuilder
	size := 0
	for s.Next() {
		size += len(s.Event().Data)
		if size > limit {
			return nil, outcome.NewUnknown(outcome.ReasonTargetFailed, "response exceeds the size limit")
		}
		if err := b.add(s.Event().Data); err != nil {
			return nil, outcome.NewUnknown(outcome.ReasonTargetFailed, "%v", err)
		}
	}
	if f := s.Failure(); f != nil {
		return nil, f
	}
	body, err := b.build()
	if err != nil {
		return nil, outcome.NewUnknown(outcome.ReasonTargetFailed, "%v", err)
	}
	return &Completion{Body: body}, nil
}

// Stream requests a streaming response; the caller must close it. A failure means that no stream
// was established.
func (c *Client) Stream(ctx context.Context, req Request) (*Stream, *outcome.Failure) {
	s := newStream(ctx, c, req, 0)
	if f := s.open(); f != nil {
		s.stop()
		if f.Status == outcome.Unknown {
			c.cancel(ctx, req)
		}
		c.countRequest(f)
		return nil, f
	}
	return s, nil
}

// Resume continues a stream started by any client, after the event with the given ID.
func (c *Client) Resume(ctx context.Context, req Request, after int) (*Stream, *outcome.Failure) {
	s := newStream(ctx, c, req, after)
	if f := s.reopen(); f != nil {
		s.stop()
		c.countRequest(f)
		return nil, f
	}
	return s, nil
}

// post sends a chat on a connection of its own: a pooled one may be dead, which takes long to detect.
func (c *Client) post(ctx context.Context, r Request) (*http.Response, *transport.Attempt, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(r.Address, chatPath), bytes.NewReader(r.Body))
	if err != nil {
		return nil, new(transport.Attempt), err
	}
	// Without GetBody, net/http cannot replay the request.
	req.GetBody = nil
	req.Header.Set("Content-Type", jsonType)
	req.Header.Set(HeaderRequestID, r.ID)
	if r.Conversation != "" {
		req.Header.Set(HeaderConversation, r.Conversation)
	}
	return c.pool.DoNewConn(req)
}

func (c *Client) getStream(ctx context.Context, r Request, after int) (*http.Response, *transport.Attempt, error) {
	target := c.url(r.Address, streamsPath+url.PathEscape(r.ID))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, new(transport.Attempt), err
	}
	req.Header.Set(sse.HeaderLastEventID, strconv.Itoa(after))
	return c.pool.DoNewConn(req)
}

// cancel tells the engine in the background that the response is no longer needed.
func (c *Client) cancel(ctx context.Context, r Request) {
	go func() {
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), c.opts.ControlTimeout)
		defer stop()
		target := c.url(r.Address, streamsPath+url.PathEscape(r.ID))
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
		if err != nil {
			return
		}
		resp, _, err := c.pool.DoNewConn(req)
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		c.opts.Metrics.GetOrCreateCounter("hickoryrock_engine_cancels_total").Inc()
	}()
}

func (c *Client) url(address, path string) string {
	return "http://" + address + path
}

// responseFailure converts a response other than 200 OK to a failure.
func responseFailure(resp *http.Response) *outcome.Failure {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	if resp.Header.Get(HeaderNotRun) == "true" {
		f := outcome.NewNotRun(outcome.ReasonTargetRefused, "engine refused the request: %s", detail)
		return f.WithRetryAfter(retryAfter(resp))
	}
	return outcome.NewUnknown(outcome.ReasonTargetFailed, "engine responded with status %s: %s", resp.Status, detail)
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return time.Duration(max(0, seconds)) * time.Second
}
