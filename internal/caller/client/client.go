// Package client calls services through a fleet of routers. It asks the fleet
// which router to use, caches that address and fails over to another router.
package client

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/api/caller/callerapi"
	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/wire/httptransport"
)

const (
	addressTimeout  = 2 * time.Second
	dialTimeout     = 30 * time.Second
	idleConnTimeout = 90 * time.Second
	minBackoff      = 200 * time.Millisecond
	// maxBackoff bounds the Retry-After of a rejection.
	maxBackoff = 2 * time.Second
)

type (
	// Client calls a fleet of routers on behalf of one workspace.
	Client struct {
		opts Options
		http *http.Client

		mu           sync.Mutex
		address      string
		expires      time.Time
		alternatives []string
	}

	tokenSource string
)

// New returns a client and a function that closes its idle connections.
func New(opts ...Option) (*Client, func()) {
	c := &Client{opts: newOptions(opts...)}
	transport := httptransport.New(dialTimeout)
	transport.Proxy, transport.IdleConnTimeout = http.ProxyFromEnvironment, idleConnTimeout
	transport.ResponseHeaderTimeout = c.opts.ResponseHeaderTimeout
	c.http = &http.Client{Transport: noReplayTransport{transport}, CheckRedirect: noRedirect}
	return c, transport.CloseIdleConnections
}

// WorkspaceToken implements callerapi.SecuritySource.
func (t tokenSource) WorkspaceToken(context.Context, callerapi.OperationName) (callerapi.WorkspaceToken, error) {
	return callerapi.WorkspaceToken{Token: string(t)}, nil
}

// Address returns the router to use, as IP:port. It asks the fleet when no
// address is cached or the cached one has expired.
func (c *Client) Address(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address != "" && c.opts.Now().Before(c.expires) {
		return c.address, nil
	}
	var lastErr error
	for _, router := range append(append([]string{}, c.alternatives...), c.opts.Routers...) {
		if lastErr = c.fetchAddress(ctx, router); lastErr == nil {
			return c.address, nil
		}
	}
	return "", eris.Wrap(lastErr, "no router is reachable")
}

// fetchAddress asks one router for the address to use and caches it. The lock
// must be held.
func (c *Client) fetchAddress(ctx context.Context, router string) error {
	api, err := c.apiClient(router)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	a, err := api.GetAddress(ctx, callerapi.GetAddressParams{})
	if err != nil {
		return err
	}
	c.address = a.Address
	c.alternatives = a.Alternatives
	c.expires = c.opts.Now().Add(time.Duration(a.KeepMinusSeconds) * time.Second)
	return nil
}

// dropAddress removes an address that failed from the cache and the
// alternatives, so that the next call asks the fleet again.
func (c *Client) dropAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == address {
		c.address = ""
	}
	kept := c.alternatives[:0]
	for _, alternative := range c.alternatives {
		if alternative != address {
			kept = append(kept, alternative)
		}
	}
	c.alternatives = kept
}

func (c *Client) apiClient(router string) (*callerapi.Client, error) {
	return callerapi.NewClient("http://"+router, tokenSource(c.opts.Token), callerapi.WithClient(c.http))
}

// Call calls a method of a plain service and retries it at the same or another
// router. key, the Idempotency-Key, makes that safe.
func (c *Client) Call(ctx context.Context, service, method, key string, body []byte) (*callerapi.CallResult, error) {
	params := callerapi.CallMethodParams{Service: service, Method: method}
	if key != "" {
		params.IdempotencyKey = callerapi.NewOptString(key)
	}
	var lastErr error
	for attempt := range c.opts.MaxAttempts {
		params.IdempotencyAttempt = callerapi.NewOptInt(attempt + 1)
		result, err := c.callOnce(ctx, params, body)
		if err == nil {
			return result, nil
		}
		lastErr = err
		if !isRetryable(err) || ctx.Err() != nil {
			return nil, err
		}
		backOff(ctx, err)
	}
	return nil, lastErr
}

func (c *Client) callOnce(ctx context.Context, params callerapi.CallMethodParams, body []byte) (*callerapi.CallResult, error) {
	address, err := c.Address(ctx)
	if err != nil {
		return nil, err
	}
	api, err := c.apiClient(address)
	if err != nil {
		return nil, err
	}
	result, err := api.CallMethod(ctx, callerapi.Payload(body), params)
	if err == nil {
		return result, nil
	}
	err = toFailure(err)
	if shouldSwitchRouter(err) {
		c.dropAddress(address)
	}
	return nil, err
}

// toFailure converts a problem document to an *outcome.Failure and returns other
// errors unchanged.
func toFailure(err error) error {
	var p *callerapi.ProblemStatusCodeWithHeaders
	if !errors.As(err, &p) {
		return err
	}
	return &outcome.Failure{
		Status:     outcome.Status(p.Response.Outcome),
		Reason:     outcome.Reason(p.Response.Reason),
		Detail:     p.Response.Detail.Or(""),
		RetryAfter: time.Duration(p.RetryAfter.Or(0)) * time.Second,
		Address:    p.Response.Address.Or(""),
	}
}

// shouldSwitchRouter reports whether the next attempt should use another router:
// this one is unreachable or accepts no work.
func shouldSwitchRouter(err error) bool {
	var f *outcome.Failure
	if !errors.As(err, &f) {
		return true
	}
	switch f.Reason {
	case outcome.ReasonLeaving, outcome.ReasonNotReady, outcome.ReasonIsolated:
		return true
	default:
		return false
	}
}

// isRetryable reports whether the same request may succeed later or at another
// router: it was lost in transit, or rejected with a Retry-After.
func isRetryable(err error) bool {
	var f *outcome.Failure
	if errors.As(err, &f) && f.RetryAfter > 0 {
		return true
	}
	return shouldSwitchRouter(err)
}

// backOff waits for the Retry-After of a rejection, between minBackoff and
// maxBackoff, or until ctx is done.
func backOff(ctx context.Context, err error) {
	wait := minBackoff
	var f *outcome.Failure
	if errors.As(err, &f) {
		wait = min(max(wait, f.RetryAfter), maxBackoff)
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
