package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/target/transport"
)

const (
	drainPath = "/drain"
	kvPath    = "/kv"
)

// Drain makes the engine refuse new requests and finish those in flight.
func (c *Client) Drain(ctx context.Context, address string) *outcome.Failure {
	return c.command(ctx, address, drainPath, nil)
}

// Conversations returns the number of cached tokens of each conversation in the engine's KV cache.
func (c *Client) Conversations(ctx context.Context, address string) (map[string]int, *outcome.Failure) {
	var tokens map[string]int
	f := c.doControl(ctx, http.MethodGet, address, kvPath, nil, &tokens)
	return tokens, f
}

// Move copies the KV cache of a conversation from one engine to another as a stream, without
// buffering it in memory.
func (c *Client) Move(ctx context.Context, from, to, conversation string) *outcome.Failure {
	ctx, cancel := context.WithTimeoutCause(ctx, c.opts.MoveTimeout, transport.ErrSilent)
	defer cancel()
	path := kvPath + "/" + url.PathEscape(conversation)
	source, f := c.roundTrip(ctx, http.MethodGet, c.url(from, path), nil)
	if f != nil {
		return f
	}
	defer func() { _ = source.Body.Close() }()
	target, f := c.roundTrip(ctx, http.MethodPost, c.url(to, path), source)
	if f != nil {
		return f
	}
	defer func() { _ = target.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(target.Body, maxControlBytes)); err != nil {
		return outcome.NewUnknown(transport.Reason(ctx, err), "answer of the engine that takes the cache truncated: %v", err)
	}
	return nil
}

// roundTrip sends one request on a connection of its own, on which the engine cannot repeat the
// cache of another conversation; if body is not nil, its body becomes the request body.
func (c *Client) roundTrip(ctx context.Context, method, target string, body *http.Response) (*http.Response, *outcome.Failure) {
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, outcome.NewNotRun(outcome.ReasonInvalidRequest, "%v", err)
	}
	if body != nil {
		req.Body, req.ContentLength = body.Body, body.ContentLength
		req.Header.Set("Content-Type", body.Header.Get("Content-Type"))
	}
	resp, attempt, err := c.pool.DoNewConn(req)
	if err != nil {
		return nil, attempt.Failure(ctx, err)
	}
	if resp.StatusCode == http.StatusNotFound {
		_ = resp.Body.Close()
		return nil, outcome.NewNotRun(outcome.ReasonNotFound, "conversation not found on the engine")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer func() { _ = resp.Body.Close() }()
		return nil, responseFailure(resp)
	}
	return resp, nil
}
