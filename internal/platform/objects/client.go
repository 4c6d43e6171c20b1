package objects

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/wire/httptransport"
)

const (
	// ClientNameHeader is the request header with the client's name.
	ClientNameHeader = "Client-Name"
	// MaxValueBytes is the maximum size of an object's value, 1 MiB.
	MaxValueBytes = 1 << 20

	maxResponseBytes = 64 << 20
)

var _ Store = (*Client)(nil)

// Client is a Store that uses the platform's HTTP API. It is safe for concurrent use.
type Client struct {
	opts    Options
	http    *http.Client
	backoff Backoff
	// baseIndex, modulo the number of base URLs, selects the base URL in use. A failed
	// call advances it.
	baseIndex atomic.Uint32
}

// New returns a client and a function that closes its idle connections.
func New(opts ...Option) (*Client, func()) {
	o := newOptions(opts)
	c := &Client{opts: o, http: o.HTTPClient, backoff: o.backoff()}
	if c.http == nil {
		c.http = newHTTPClient()
	}
	return c, c.http.CloseIdleConnections
}

// newHTTPClient returns a client that uses HTTP/1.1 only: a call that times out then
// closes its connection, so an unresponsive connection is never reused. It follows no
// redirects, since that could send a write twice.
func newHTTPClient() *http.Client {
	t := httptransport.New(defaultDialTimeout)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout = defaultIdleConnsPerHost, time.Minute
	return &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, k Key) (Object, error) {
	var obj Object
	err := c.read(ctx, "get", objectPath(k), &obj)
	return obj, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) (List, error) {
	var list List
	err := c.read(ctx, "list", "/v1/objects/"+url.PathEscape(kind), &list)
	return list, err
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var response struct {
		VMs []VM `json:"vms"`
	}
	err := c.read(ctx, "vms", "/v1/vms", &response)
	return response.VMs, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, k Key, data json.RawMessage) (Object, error) {
	return c.write(ctx, writeRequest{
		name: "create", method: http.MethodPut, path: objectPath(k), data: data,
		header: "If-None-Match", value: "*",
	})
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, k Key, version uint64, data json.RawMessage) (Object, error) {
	return c.write(ctx, writeRequest{
		name: "update", method: http.MethodPut, path: objectPath(k), data: data,
		header: "If-Match", value: ETag(version),
	})
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, k Key, version uint64) (Object, error) {
	return c.write(ctx, writeRequest{
		name: "delete", method: http.MethodDelete, path: objectPath(k),
		header: "If-Match", value: ETag(version),
	})
}

// ETag returns the entity tag of an object version.
func ETag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

func objectPath(k Key) string {
	return "/v1/objects/" + url.PathEscape(k.Kind) + "/" + url.PathEscape(k.Name)
}

// baseURL returns the base URL for an attempt and its index for rotateBase.
func (c *Client) baseURL() (string, uint32, error) {
	if len(c.opts.BaseURLs) == 0 {
		return "", 0, eris.Wrap(ErrUnavailable, "no platform address configured")
	}
	n := c.baseIndex.Load()
	return c.opts.BaseURLs[int(n)%len(c.opts.BaseURLs)], n, nil
}

// rotateBase selects the next base URL unless a concurrent call already has.
func (c *Client) rotateBase(failed uint32) {
	c.baseIndex.CompareAndSwap(failed, failed+1)
}

// retryAfter returns the delay that the platform asked for, or zero.
func retryAfter(err error) time.Duration {
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		return limited.RetryAfter
	}
	return 0
}
