package objects

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// UnavailableCode is the error code of a 503 that the platform itself sent, as opposed
// to an intermediary. Such a call had no effect.
const UnavailableCode = "unavailable"

type (
	writeRequest struct {
		name, method, path string
		header, value      string
		data               json.RawMessage
	}

	// ErrorResponse is the body of a response to a call that the platform did not carry out.
	ErrorResponse struct {
		Code   string `json:"code"`
		Detail string `json:"detail,omitempty"`
	}

	// nonRewindableBody is a request body that net/http cannot rewind, so that the
	// transport cannot send a write a second time.
	nonRewindableBody struct {
		data []byte
	}
)

// Read implements io.Reader.
func (b *nonRewindableBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// read sends a read and retries it with backoff while the platform is unavailable or
// limits the rate, up to ReadAttempts attempts.
func (c *Client) read(ctx context.Context, name, path string, dst any) error {
	var err error
	for attempt := 1; ; attempt++ {
		err = c.readOnce(ctx, name, path, dst)
		countCall(name, err)
		if !retryable(err) || attempt >= c.opts.ReadAttempts || ctx.Err() != nil {
			return err
		}
		countRetry(name, err)
		if Sleep(ctx, max(c.backoff.Delay(attempt), retryAfter(err))) != nil {
			return err
		}
	}
}

func retryable(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

func (c *Client) readOnce(ctx context.Context, name, path string, dst any) error {
	base, n, err := c.baseURL()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	defer observeDuration(name, time.Now())
	req, err := c.newRequest(ctx, http.MethodGet, base+path)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.rotateBase(n)
		return eris.Wrapf(ErrUnavailable, "%s %s: %v", name, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := responseError(resp, ErrUnavailable)
		if errors.Is(err, ErrUnavailable) {
			c.rotateBase(n)
		}
		return eris.Wrapf(err, "%s %s", name, path)
	}
	if err := decode(resp.Body, dst); err != nil {
		return eris.Wrapf(ErrUnavailable, "%s %s: decode response: %v", name, path, err)
	}
	return nil
}

// write sends a write to the platform at most once. It tries the next base URL only
// when no connection could be made to the current one.
func (c *Client) write(ctx context.Context, w writeRequest) (Object, error) {
	if len(w.data) > MaxValueBytes {
		return Object{}, eris.Wrapf(ErrInvalid, "%s %s: value of %d bytes is too large", w.name, w.path, len(w.data))
	}
	for attempt := 1; ; attempt++ {
		obj, sent, err := c.writeOnce(ctx, w)
		countCall(w.name, err)
		if err == nil || sent || attempt >= len(c.opts.BaseURLs) || ctx.Err() != nil {
			return obj, err
		}
		countRetry(w.name, err)
	}
}

// writeOnce makes one attempt. It also reports whether a connection was obtained, after
// which request bytes may have been sent.
func (c *Client) writeOnce(ctx context.Context, w writeRequest) (Object, bool, error) {
	base, n, err := c.baseURL()
	if err != nil {
		return Object{}, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	defer observeDuration(w.name, time.Now())

	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := c.newRequest(ctx, w.method, base+w.path)
	if err != nil {
		return Object{}, false, err
	}
	req.Header.Set(w.header, w.value)
	if len(w.data) > 0 {
		req.Header.Set("Content-Type", "application/json")
		req.Body = io.NopCloser(&nonRewindableBody{data: w.data})
		req.ContentLength = int64(len(w.data))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.rotateBase(n)
		kind := ErrUnknownOutcome
		if !sent.Load() {
			kind = ErrUnavailable
		}
		return Object{}, sent.Load(), eris.Wrapf(kind, "%s %s: %v", w.name, w.path, err)
	}
	defer resp.Body.Close()
	obj, err := decodeWriteResponse(resp)
	if err != nil {
		return Object{}, true, eris.Wrapf(err, "%s %s", w.name, w.path)
	}
	obj.Data = w.data
	return obj, true, nil
}

func decodeWriteResponse(resp *http.Response) (Object, error) {
	var obj Object
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		return obj, responseError(resp, ErrUnknownOutcome)
	}
	if err := decode(resp.Body, &obj); err != nil {
		return Object{}, eris.Wrapf(ErrUnknownOutcome, "decode response: %v", err)
	}
	return obj, nil
}

func (c *Client) newRequest(ctx context.Context, method, rawURL string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, rawURL, nil)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%v", err)
	}
	if c.opts.Name != "" {
		req.Header.Set(ClientNameHeader, c.opts.Name)
	}
	return req, nil
}

// responseError returns the error of a response that is not a success. A response that
// does not prove whether the call took effect yields uncertain.
func responseError(resp *http.Response, uncertain error) error {
	var r ErrorResponse
	_ = decode(resp.Body, &r)
	switch resp.StatusCode {
	case http.StatusNotFound:
		if r.Code == "" {
			return eris.Wrap(ErrInvalid, "404 without an error code: not the platform's object API")
		}
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusGone:
		return ErrTooOld
	case http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}
	case http.StatusServiceUnavailable:
		if r.Code == UnavailableCode {
			return ErrUnavailable
		}
		return eris.Wrap(uncertain, resp.Status)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return eris.Wrap(uncertain, resp.Status)
	}
	return eris.Wrapf(ErrInvalid, "%s: %s", resp.Status, r.Detail)
}

func parseRetryAfter(s string) time.Duration {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n * float64(time.Second))
}

func decode(r io.Reader, dst any) error {
	return json.NewDecoder(io.LimitReader(r, maxResponseBytes)).Decode(dst)
}
