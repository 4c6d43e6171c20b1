package ingress_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lateAcceptListener returns connections that it has accepted only after a gate has been opened.
type lateAcceptListener struct {
	*net.TCPListener
	accepted chan struct{}
	gate     chan struct{}
}

func (l lateAcceptListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.gate
	}
	return c, err
}

// Guards against a stop that does not wait for a connection which was accepted while the listener
// was closed, so that the process ends and resets it.
func TestConnectionThatIsBeingAcceptedIsKnownWhenTheListenerIsClosed(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	late := lateAcceptListener{l.(*net.TCPListener), make(chan struct{}, 1), make(chan struct{})}
	go f.server.Serve(late)
	f.address = l.Addr().String()
	r := f.send(sizedRequest(1))
	<-late.accepted
	time.AfterFunc(50*time.Millisecond, func() { close(late.gate) })
	f.Assert(f.server.CloseListener(late), qt.IsNil)
	f.Assert(f.server.Connections(), qt.Equals, 1)
	f.server.CloseIdle()
	f.proceed <- struct{}{}
	f.assertStatus(r, 200)
	_, err = r.ReadByte()
	f.Assert(err, qt.Equals, io.EOF)
}
