package objects

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one line of a watch response: an encoded value and its envelope.
const maxEventBytes = 2*MaxValueBytes + 4096

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kinds []string, after uint64, fn func(Event) error) error {
	err := c.watch(ctx, kinds, after, fn)
	countCall("watch", err)
	return err
}

func (c *Client) watch(ctx context.Context, kinds []string, after uint64, fn func(Event) error) error {
	base, n, err := c.baseURL()
	if err != nil {
		return err
	}
	query := url.Values{"kind": kinds, "after": {strconv.FormatUint(after, 10)}}
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A dead connection looks like one without changes. The platform sends bookmarks,
	// so a connection without any traffic is considered dead.
	idleTimer := time.AfterFunc(c.opts.WatchIdleTimeout, cancel)
	defer idleTimer.Stop()

	req, err := c.newRequest(wctx, http.MethodGet, base+"/v1/watch?"+query.Encode())
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.rotateBase(n)
		return watchError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp, ErrUnavailable)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		idleTimer.Reset(c.opts.WatchIdleTimeout)
		var ev Event
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			return eris.Wrapf(ErrUnavailable, "decode watch event: %v", err)
		}
		if err := fn(ev); err != nil {
			return err
		}
	}
	return watchError(ctx, lines.Err())
}

// watchError returns the error of ctx if the caller ended the watch, and ErrUnavailable
// if the connection was lost.
func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil {
		return eris.Wrap(ErrUnavailable, "watch closed by the platform")
	}
	return eris.Wrapf(ErrUnavailable, "watch: %v", err)
}
