package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/target/transport"
)

const (
	loadPath        = "/load"
	maxControlBytes = 1 << 20
)

type (
	// Load is an engine's report of its load. It lags behind the actual load.
	Load struct {
		Name          string            `json:"name"`
		InFlight      int               `json:"in-flight"`
		Queued        int               `json:"queued"`
		Slots         int               `json:"slots"`
		CachePressure float64           `json:"cache-pressure"`
		Draining      bool              `json:"draining"`
		Role          string            `json:"role"`
		Models        map[string]string `json:"models"`
		Fencing       uint64            `json:"fencing"`
	}
)

// Load requests the load report of the engine at address.
func (c *Client) Load(ctx context.Context, address string) (Load, *outcome.Failure) {
	var l Load
	f := c.doControl(ctx, http.MethodGet, address, loadPath, nil, &l)
	return l, f
}

// doControl sends one control request and decodes its response into v, if v is not nil.
func (c *Client) doControl(
	ctx context.Context, method, address, path string, body io.Reader, v any,
) *outcome.Failure {
	return c.sendControl(ctx, c.pool.Do, method, address, path, body, v)
}

// command sends a control request that changes the engine's state. It does so on a connection
// of its own: on a kept one an earlier answer that the engine repeats could be taken for its own.
func (c *Client) command(ctx context.Context, address, path string, body io.Reader) *outcome.Failure {
	return c.sendControl(ctx, c.pool.DoNewConn, http.MethodPost, address, path, body, nil)
}

func (c *Client) sendControl(
	ctx context.Context, send func(*http.Request) (*http.Response, *transport.Attempt, error),
	method, address, path string, body io.Reader, v any,
) *outcome.Failure {
	ctx, cancel := context.WithTimeoutCause(ctx, c.opts.ControlTimeout, transport.ErrSilent)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.url(address, path), body)
	if err != nil {
		return outcome.NewNotRun(outcome.ReasonInvalidRequest, "%v", err)
	}
	resp, attempt, err := send(req)
	if err != nil {
		f := attempt.Failure(ctx, err)
		if f.Reason == outcome.ReasonTargetSilent {
			c.pool.MarkSuspect(address)
		}
		return f
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return responseFailure(resp)
	}
	// Read to the end, or the connection cannot be reused.
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return outcome.NewUnknown(transport.Reason(ctx, err), "response body truncated: %v", err)
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(response, v); err != nil {
		return outcome.NewUnknown(outcome.ReasonTargetFailed, "%v", eris.Wrap(err, "decode response"))
	}
	return nil
}
