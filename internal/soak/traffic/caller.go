package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

const (
	// connectTimeout bounds dialing and short requests; deadlineMS is the deadline,
	// in milliseconds, that callers send with a call.
	connectTimeout = time.Second
	deadlineMS     = 4000
	// responseTimeout is how long a caller waits for the complete response to a call.
	responseTimeout = 4500 * time.Millisecond
	// maxThinkTime is the longest pause of a caller between two calls.
	maxThinkTime = 60 * time.Millisecond
	// disconnectRate is the share of streams that callers abandon by disconnecting.
	disconnectRate = 0.05
	// connectionReuseRate is the share of calls that reuse an open connection.
	connectionReuseRate = 0.8
	maxHeaderBytes      = 64 << 10
)

type (
	// Fleet gives callers access to the routers.
	Fleet interface {
		// LookupURLs returns URLs at which callers look up router addresses, in random order.
		LookupURLs() []string
		// ProxyAddress returns the address of the fault proxy in front of a router's
		// address.
		ProxyAddress(address string) string
		// Stopping reports whether a planned stop of the router at an address
		// started so recently that calls sent before it may still be in flight.
		Stopping(address string) bool
	}

	// Caller is a client that makes one call at a time.
	Caller struct {
		name      string
		fleet     Fleet
		recorder  *oracle.Recorder
		callCount int

		addresses       []string
		addressesExpire time.Time
		conn            *callerConn
	}

	callerConn struct {
		net.Conn
		reader  *bufio.Reader
		address string
	}
)

// NewCaller returns a caller. Its name must be unique, because call ids are
// derived from it.
func NewCaller(name string, fleet Fleet, recorder *oracle.Recorder) *Caller {
	return &Caller{name: name, fleet: fleet, recorder: recorder}
}

// Run makes calls until ctx is done.
func (c *Caller) Run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.callCount++
		c.call(fmt.Sprintf("%s-%d", c.name, c.callCount))
		time.Sleep(rand.N(maxThinkTime))
	}
}

func (c *Caller) call(id string) {
	path := []string{
		platformtest.PathOnce, platformtest.PathSafe, platformtest.PathStream, platformtest.PathResume,
	}[rand.IntN(4)]
	if !c.connect() {
		c.recorder.RecordOutcome("no connection")
		return
	}
	c.recorder.RecordSent()
	start := time.Now()
	_ = c.conn.SetDeadline(start.Add(responseTimeout))
	if _, err := io.WriteString(c.conn, platformtest.Call(id, http.MethodPost, path+"x", deadlineMS, "body")); err != nil {
		c.closeConn()
		c.recorder.RecordOutcome("not sent")
		return
	}
	head, err := http1.ReadResponse(c.conn.reader, maxHeaderBytes, http.MethodPost)
	if err != nil {
		c.recordInterrupted(id, path, start, err)
		return
	}
	if isStream(path) && head.Status == http.StatusOK && rand.Float64() < disconnectRate {
		c.recorder.RecordDisconnect(id)
		c.closeConn()
		c.recorder.RecordOutcome("left")
		return
	}
	body, err := io.ReadAll(http1.Body(c.conn.reader, head.Length))
	if err != nil {
		c.recordInterrupted(id, path, start, err)
		return
	}
	c.checkResponse(id, path, head, string(body))
	if head.Close {
		c.closeConn()
	}
}

// checkResponse checks the invariants of a complete response.
func (c *Caller) checkResponse(id, path string, head *http1.Response, body string) {
	verdict := platform.DecodeResponseHeaders(head.Status, head.Fields)
	c.recorder.RecordOutcome(strconv.Itoa(head.Status))
	if verdict.CallID != "" && verdict.CallID != id {
		c.recorder.RecordViolation(oracle.WrongResponse, "call %s got the response to call %s", id, verdict.CallID)
	}
	switch head.Status {
	case http.StatusOK:
		want := WholeBody(id)
		if isStream(path) {
			want = ""
			for n := 1; n <= eventsPerStream; n++ {
				want += Event(id, n)
			}
		}
		if !verdict.Sealed || body != want {
			c.recorder.RecordViolation(oracle.WrongResponse, "call %s on %s got %q", id, path, body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !verdict.Sealed && isAtMostOnce(path) {
			c.recorder.RecordRefusal(id, strconv.Itoa(head.Status))
		}
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusForbidden:
		c.recorder.RecordViolation(oracle.ConfigurationReverted, "call %s on %s got %d", id, path, head.Status)
	}
}

// recordInterrupted records a call without a complete response. It is a violation
// when the call has run and was interrupted by a planned stop of the router.
func (c *Caller) recordInterrupted(id, path string, start time.Time, err error) {
	address := c.conn.address
	c.closeConn()
	c.recorder.RecordOutcome("cut")
	if c.fleet.Stopping(address) && c.recorder.SettledFor(time.Since(start)) && c.recorder.RunCount(id) > 0 {
		c.recorder.RecordViolation(oracle.InterruptedByStop, "call %s on %s at %s, %v after it was sent: %v", id, path, address, time.Since(start), err)
	}
}

func (c *Caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect reuses the open connection or opens a new one to a random router. It
// reports whether there is a connection.
func (c *Caller) connect() bool {
	if c.conn != nil && rand.Float64() < connectionReuseRate {
		return true
	}
	c.closeConn()
	c.refreshAddresses()
	if len(c.addresses) == 0 {
		return false
	}
	address := c.addresses[rand.IntN(len(c.addresses))]
	conn, err := dial(c.fleet.ProxyAddress(address))
	if err != nil {
		return false
	}
	c.conn = &callerConn{Conn: conn, reader: bufio.NewReader(conn), address: address}
	return true
}

// refreshAddresses looks up addresses when the TTL of the last lookup has expired.
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
			c.addresses, c.addressesExpire = addresses, time.Now().Add(time.Duration(ttl*float64(time.Second)))
			return
		}
	}
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

func dial(address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: connectTimeout}).DialContext(context.Background(), "tcp4", address)
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
