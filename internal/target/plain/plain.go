// Package plain is a client for plain services, some of whose methods are at-most-once.
package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/target/transport"
)

const (
	// HeaderKey carries the idempotency key of a call; at-most-once calls require one.
	HeaderKey = "Idempotency-Key"
	// HeaderNotRun is set by a target on a 503 response to a call that it did not run.
	HeaderNotRun = "X-Not-Run"

	jsonType       = "application/json"
	maxDetailBytes = 256
)

type (
	// Client calls the methods of plain services.
	Client struct {
		opts Options
		pool *transport.Pool
	}

	// Call is a call of one method at one target.
	Call struct {
		// Address is the target's IP:port.
		Address string
		Method  string
		Key     string
		Body    []byte
		// AtMostOnce means that the call must never be retried.
		AtMostOnce bool
		// Timeout bounds the call. If it is 0, the client's own timeout applies.
		Timeout time.Duration
	}

	// Result is the response to a successful call.
	Result struct {
		Body        []byte
		ContentType string
	}

	// unseekableReader hides the concrete reader, so that net/http cannot rewind the body.
	unseekableReader struct{ io.Reader }
)

var errTooLarge = errors.New("response body exceeds the size limit")

// New returns a client and the function that closes its connections.
func New(opts ...Option) (*Client, func()) {
	o := newOptions(opts...)
	pool, stop := transport.New(o.Transport...)
	return &Client{opts: o, pool: pool}, stop
}

// Call makes one attempt and never retries it.
func (c *Client) Call(ctx context.Context, call Call) (*Result, *outcome.Failure) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.timeout(call), transport.ErrSilent)
	defer cancel()
	result, f := c.attempt(ctx, call)
	if f != nil && f.Reason == outcome.ReasonTargetSilent {
		c.pool.MarkSuspect(call.Address)
	}
	c.countCall(f)
	return result, f
}

func (c *Client) attempt(ctx context.Context, call Call) (*Result, *outcome.Failure) {
	req, err := newRequest(ctx, call)
	if err != nil {
		return nil, outcome.NewNotRun(outcome.ReasonInvalidRequest, "%v", err)
	}
	send := c.pool.Do
	if call.AtMostOnce {
		// On a connection of its own the call is never replayed and cannot hit a dead idle connection.
		send = c.pool.DoNewConn
	}
	resp, attempt, err := send(req)
	if err != nil {
		return nil, attempt.Failure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := readAll(resp.Body, c.opts.MaxResponseBytes)
	if f := responseFailure(resp, body, attempt.Reused()); f != nil {
		return nil, f
	}
	if errors.Is(err, errTooLarge) {
		return nil, outcome.NewUnknown(outcome.ReasonTargetFailed, "%v", err)
	}
	if err != nil {
		return nil, outcome.NewUnknown(transport.Reason(ctx, err), "response body truncated: %v", err)
	}
	return &Result{Body: body, ContentType: resp.Header.Get("Content-Type")}, nil
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: call.Address, Path: "/methods/" + call.Method}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", jsonType)
	if call.Key != "" {
		req.Header.Set(HeaderKey, call.Key)
	}
	if len(call.Body) == 0 {
		return req, nil
	}
	req.ContentLength = int64(len(call.Body))
	req.Body = io.NopCloser(unseekableReader{bytes.NewReader(call.Body)})
	if !call.AtMostOnce {
		// Lets net/http replay the request if the target has closed the idle connection.
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(call.Body)), nil }
	}
	return req, nil
}

// responseFailure converts a response outside 2xx to a failure. Responses do not say to which call
// they belong, so a refusal on a reused connection may be that of an earlier call.
func responseFailure(resp *http.Response, body []byte, reused bool) *outcome.Failure {
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return nil
	}
	detail := body[:min(len(body), maxDetailBytes)]
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" && !reused {
		return outcome.NewNotRun(outcome.ReasonTargetRefused, "target refused the call: %s", detail)
	}
	return outcome.NewUnknown(outcome.ReasonTargetFailed, "target responded with status %s: %s", resp.Status, detail)
}

func readAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, err
}

func (c *Client) timeout(call Call) time.Duration {
	switch {
	case call.Timeout > 0:
		return call.Timeout
	case call.AtMostOnce:
		return c.opts.AtMostOnceTimeout
	default:
		return c.opts.Timeout
	}
}
