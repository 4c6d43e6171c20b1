package ingress_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/ingress"
)

// gatedListener accepts connections whose reads wait for a gate, as those of a process do that
// waits for a processor.
type gatedListener struct {
	net.Listener
	gate <-chan struct{}
}

type gatedConn struct {
	*net.TCPConn
	gate <-chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c.(*net.TCPConn), l.gate}, nil
}

func (c gatedConn) Read(p []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(p)
}

// Guards against a stopping router that resets a connection whose request arrived in time but
// was not read before the read deadline, because the process waited for a processor.
func TestRequestThatArrivedBeforeTheCloseOfItsConnectionIsAnswered(t *testing.T) {
	const closeDelay = 20 * time.Millisecond
	f := newFixture(t, ingress.WithCloseDelay(closeDelay))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = l.Close() })
	gate := make(chan struct{}, 10)
	go f.server.Serve(gatedListener{l, gate})
	connect := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp4", l.Addr().String())
		f.Assert(err, qt.IsNil)
		f.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		return c, bufio.NewReader(c)
	}
	used, usedReader := connect()
	_, unusedReader := connect()
	for f.server.Connections() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.server.CloseIdle()
	_, err = io.WriteString(used, sizedRequest(1))
	f.Assert(err, qt.IsNil)
	time.Sleep(600 * time.Millisecond) // Longer than the time in which a first call is awaited.
	close(gate)
	f.proceed <- struct{}{}
	f.assertStatus(usedReader, 200)
	_, err = unusedReader.ReadByte()
	f.Assert(err, qt.Equals, io.EOF)
}
