package forward_test

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

type (
	// lines collects log lines.
	lines struct {
		mu   sync.Mutex
		data bytes.Buffer
	}

	// slowListener accepts connections to callers that read nothing, with short write deadlines.
	slowListener struct{ *net.TCPListener }

	slowConn struct{ *net.TCPConn }
)

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(p)
}

// ofCalls returns the log lines of calls.
func (l *lines) ofCalls() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.data.String()) {
		if strings.Contains(line, `"message":"call"`) {
			found = append(found, line)
		}
	}
	return found
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return slowConn{c}, c.SetWriteBuffer(4 << 10)
}

func (c slowConn) SetWriteDeadline(time.Time) error {
	return c.TCPConn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
}

// Guards against calls that are logged as done, and whose times count as those of complete calls,
// although their callers have not received the response.
func TestCallWhoseResponseIsNotWrittenIsNotLoggedAsDone(t *testing.T) {
	log := new(lines)
	f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
		if !strings.HasPrefix(r.Target, "/stream/") {
			return always("200 OK", "", strings.Repeat("x", 800<<10))(c, r)
		}
		event := "data: " + strings.Repeat("x", 4<<10-8) + "\n\n"
		_, err := io.WriteString(c, platformtest.StreamHead(r))
		for err == nil {
			_, err = io.WriteString(c, "1000\r\n"+event+"\r\n")
		}
		return false
	}, func(c *forward.Config) { c.Log = zerolog.New(log) })
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = l.Close() })
	go f.server.Serve(slowListener{l.(*net.TCPListener)})
	for i, path := range []string{"/stream/a", "/once/a"} {
		c, err := net.Dial("tcp4", l.Addr().String())
		f.Assert(err, qt.IsNil)
		f.Cleanup(func() { _ = c.Close() })
		f.Assert(c.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil)
		_, err = io.WriteString(c, platformtest.Request(path, platformtest.AuthorizationLine, "x"))
		f.Assert(err, qt.IsNil)
		for end := time.Now().Add(3 * time.Second); len(log.ofCalls()) <= i; time.Sleep(5 * time.Millisecond) {
			f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s is not logged", path))
		}
		line := log.ofCalls()[i]
		f.Assert(strings.Contains(line, `"reason":"slow-caller"`), qt.IsTrue, qt.Commentf("%s", line))
	}
}
