package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

// connect reuses the open connection or opens a new one to a random router. It
// reports whether there is a connection.
func (c *Caller) connect() bool {
	if c.conn != nil && c.reuses() {
		return true
	}
	c.closeConn()
	c.refreshAddresses()
	addresses := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return slices.Contains(c.failed, a) })
	if len(addresses) == 0 {
		c.addressesExpire, c.failed = time.Time{}, nil
		return false
	}
	address := addresses[rand.IntN(len(addresses))]
	conn, err := dial(c.fleet.ProxyAddress(address))
	if err != nil {
		c.recordFailure(address)
		return false
	}
	c.conn = &callerConn{Conn: conn, reader: bufio.NewReader(conn), address: address, opened: time.Now()}
	return true
}

// reuses reports whether the caller's next call uses the open connection.
func (c *Caller) reuses() bool {
	if c.behavior.real && c.behavior.leavesMissing {
		c.refreshAddresses()
		if !slices.Contains(c.addresses, c.conn.address) {
			return false
		}
	}
	return c.behavior.keepsConnection || rand.Float64() < connectionReuseRate
}

// recordFailure lets a real caller avoid an address until its next call.
func (c *Caller) recordFailure(address string) {
	if c.behavior.real {
		c.failed = append(c.failed, address)
	}
}

// refreshAddresses looks up addresses when the last response must no longer be used. Without
// a new response, the caller keeps the last one.
func (c *Caller) refreshAddresses() {
	if time.Now().Before(c.addressesExpire) {
		return
	}
	for _, url := range c.fleet.LookupURLs() {
		status, body := Get(url)
		if status != http.StatusOK {
			continue
		}
		addresses, ttl, err := platformtest.Lookup(body)
		if err == nil && len(addresses) > 0 {
			c.addresses, c.addressesExpire = addresses, c.behavior.expiry(time.Now(), ttl)
			return
		}
	}
}

func dial(address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: connectTimeout}).DialContext(context.Background(), "tcp4", address)
}

// retryAfter returns the time after which a refused call may be sent again.
func retryAfter(head *http1.Response) time.Duration {
	seconds, _ := strconv.ParseFloat(head.Field("retry-after"), 64) // Without one, at once.
	return min(time.Duration(seconds*float64(time.Second)), maxRetryWait)
}

// Get requests a URL on a new connection. It returns status 0 when there is no
// complete response.
func Get(url string) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// Probe calls, through the router at an address, a path that exists from a
// configuration version on. It returns the status, or 0 without a response.
func Probe(fleet Fleet, address string, version int) int {
	conn, err := dial(fleet.ProxyAddress(address))
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(connectTimeout))
	id := fmt.Sprintf("probe-%d-%d", version, time.Now().UnixNano())
	raw := platformtest.Call(id, http.MethodGet, platformtest.VersionPath(version)+"x", deadlineMS, "")
	if _, err := io.WriteString(conn, strings.Replace(raw, "Content-Length: 0\r\n", "", 1)); err != nil {
		return 0
	}
	head, err := http1.ReadResponse(bufio.NewReader(conn), maxHeaderBytes, http.MethodGet)
	if err != nil {
		return 0
	}
	return head.Status
}
