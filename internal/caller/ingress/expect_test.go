package ingress_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shortWriteListener accepts connections with short write deadlines.
type shortWriteListener struct {
	net.Listener
	timeout time.Duration
}

type shortWriteConn struct {
	net.Conn
	timeout time.Duration
}

func (l shortWriteListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return shortWriteConn{c, l.timeout}, err
}

func (c shortWriteConn) SetWriteDeadline(time.Time) error {
	return c.Conn.SetWriteDeadline(time.Now().Add(c.timeout))
}

// Guards against a call with Expect: 100-continue that is rejected with 408 at once because the
// write deadline of its connection's last response has passed.
func TestExpectContinueOnAConnectionThatWasIdle(t *testing.T) {
	const writeTimeout = 50 * time.Millisecond
	f := newFixture(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = l.Close() })
	go f.server.Serve(shortWriteListener{l, writeTimeout})
	c, err := net.Dial("tcp4", l.Addr().String())
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	for range 2 {
		f.proceed <- struct{}{}
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
		f.Assert(err, qt.IsNil)
		status, err := r.ReadString('\n')
		f.Assert(err, qt.IsNil)
		f.Assert(status, qt.Equals, "HTTP/1.1 100 Continue\r\n")
		_, _ = r.ReadString('\n') // The end of the head.
		_, err = io.WriteString(c, "x")
		f.Assert(err, qt.IsNil)
		f.assertStatus(r, 200)
		f.Assert(<-f.received, qt.Equals, 1)
		time.Sleep(2 * writeTimeout)
	}
}
