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
	// connectMost and deadlineMS are what callers allow.
	connectMost = time.Second
	deadlineMS  = 4000
	// patience is how long a caller waits for the answer's next byte.
	patience = 4500 * time.Millisecond
	// thinkMost is the longest pause between two calls of a caller.
	thinkMost = 60 * time.Millisecond
	// leavers is the share of streams that callers leave.
	leavers = 0.05
	// keepers is the share of calls on a connection that is open already.
	keepers   = 0.8
	headLimit = 64 << 10
)

type (
	// Fleet is what callers know of the routers.
	Fleet interface {
		// LookupURLs are where callers ask for addresses, in random order.
		LookupURLs() []string
		// Dial is the address that leads to a router's, through its link.
		Dial(address string) string
		// Stopping reports whether a planned stop of the router at an address
		// has begun not longer ago than its calls may last.
		Stopping(address string) bool
	}

	// Caller is one client.
	Caller struct {
		name  string
		fleet Fleet
		book  *oracle.Book
		calls int

		addresses []string
		until     time.Time
		conn      *callerConn
	}

	callerConn struct {
		net.Conn
		reader  *bufio.Reader
		address string
	}
)

// NewCaller returns a caller with a name that no other one has.
func NewCaller(name string, fleet Fleet, book *oracle.Book) *Caller {
	return &Caller{name: name, fleet: fleet, book: book}
}

// Run makes calls until ctx ends.
func (c *Caller) Run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		c.calls++
		c.call(fmt.Sprintf("%s-%d", c.name, c.calls))
		time.Sleep(rand.N(thinkMost))
	}
}

func (c *Caller) call(id string) {
	path := []string{
		platformtest.PathOnce, platformtest.PathSafe, platformtest.PathStream, platformtest.PathResume,
	}[rand.IntN(4)]
	if !c.connect() {
		c.book.Outcome("no connection")
		return
	}
	c.book.Sent()
	begun := time.Now()
	_ = c.conn.SetDeadline(begun.Add(patience))
	if _, err := io.WriteString(c.conn, platformtest.Call(id, http.MethodPost, path+"x", deadlineMS, "body")); err != nil {
		c.hangUp()
		c.book.Outcome("not sent")
		return
	}
	head, err := http1.ReadResponse(c.conn.reader, headLimit, http.MethodPost)
	if err != nil {
		c.cut(id, path, begun, err)
		return
	}
	if isStream(path) && head.Status == http.StatusOK && rand.Float64() < leavers {
		c.book.Left(id)
		c.hangUp()
		c.book.Outcome("left")
		return
	}
	body, err := io.ReadAll(http1.Body(c.conn.reader, head.Length))
	if err != nil {
		c.cut(id, path, begun, err)
		return
	}
	c.judge(id, path, head, string(body))
	if head.Close {
		c.hangUp()
	}
}

// judge checks an answer that looks complete.
func (c *Caller) judge(id, path string, head *http1.Response, body string) {
	verdict := platform.DecodeVerdict(head.Status, head.Fields)
	c.book.Outcome(strconv.Itoa(head.Status))
	if verdict.CallID != "" && verdict.CallID != id {
		c.book.Break(oracle.Mixed, "call %s got the answer of %s", id, verdict.CallID)
	}
	switch head.Status {
	case http.StatusOK:
		want := WholeBody(id)
		if isStream(path) {
			want = ""
			for n := 1; n <= events; n++ {
				want += Event(id, n)
			}
		}
		if !verdict.Sealed || body != want {
			c.book.Break(oracle.Mixed, "call %s on %s got %q", id, path, body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !verdict.Sealed && runsOnce(path) {
			c.book.Refused(id, strconv.Itoa(head.Status))
		}
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusForbidden:
		c.book.Break(oracle.Reverted, "call %s on %s got %d", id, path, head.Status)
	}
}

// cut notes a call without a complete answer.
func (c *Caller) cut(id, path string, begun time.Time, err error) {
	address := c.conn.address
	c.hangUp()
	c.book.Outcome("cut")
	if c.fleet.Stopping(address) && c.book.InTouch(time.Since(begun)) && c.book.Runs(id) > 0 {
		c.book.Break(oracle.Cut, "call %s on %s at %s, %v after it was sent: %v", id, path, address, time.Since(begun), err)
	}
}

func (c *Caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect makes sure that there is an open connection.
func (c *Caller) connect() bool {
	if c.conn != nil && rand.Float64() < keepers {
		return true
	}
	c.hangUp()
	c.lookUp()
	if len(c.addresses) == 0 {
		return false
	}
	address := c.addresses[rand.IntN(len(c.addresses))]
	n, err := dial(c.fleet.Dial(address))
	if err != nil {
		return false
	}
	c.conn = &callerConn{Conn: n, reader: bufio.NewReader(n), address: address}
	return true
}

// lookUp asks for addresses when the last answer is over.
func (c *Caller) lookUp() {
	if time.Now().Before(c.until) {
		return
	}
	for _, url := range c.fleet.LookupURLs() {
		status, body := Get(url)
		if status != http.StatusOK {
			continue
		}
		addresses, ttl, err := platformtest.Lookup(body)
		if err == nil && len(addresses) > 0 {
			c.addresses, c.until = addresses, time.Now().Add(time.Duration(ttl*float64(time.Second)))
			return
		}
	}
}

// Get asks a router with a new connection and returns the status, zero without a whole answer.
func Get(url string) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), connectMost)
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
	return (&net.Dialer{Timeout: connectMost}).DialContext(context.Background(), "tcp4", address)
}

// Probe asks for the path of a version and returns the status, or zero.
func Probe(fleet Fleet, address string, version int) int {
	n, err := dial(fleet.Dial(address))
	if err != nil {
		return 0
	}
	defer func() { _ = n.Close() }()
	_ = n.SetDeadline(time.Now().Add(connectMost))
	id := fmt.Sprintf("probe-%d-%d", version, time.Now().UnixNano())
	raw := platformtest.Call(id, http.MethodGet, platformtest.VersionPath(version)+"x", deadlineMS, "")
	if _, err := io.WriteString(n, strings.Replace(raw, "Content-Length: 0\r\n", "", 1)); err != nil {
		return 0
	}
	head, err := http1.ReadResponse(bufio.NewReader(n), headLimit, http.MethodGet)
	if err != nil {
		return 0
	}
	return head.Status
}
