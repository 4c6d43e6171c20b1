package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/wire/http1"
)

// largeResponse responds with a body that does not fit into the buffers of its caller.
type largeResponse struct{ body []byte }

func (h largeResponse) ServeCall(_ context.Context, w *ingress.ResponseWriter, _ *http1.Request, _ []byte) {
	w.Respond(200, "OK", nil, h.body)
}

// largeBufferListener accepts connections whose kernel takes a large response at once.
type largeBufferListener struct{ net.Listener }

func (l largeBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		err = tcp.SetWriteBuffer(8 << 20)
	}
	return c, err
}

// Guards against a close with unread bytes of the caller, which resets the connection and
// loses the end of a response that the caller has not received.
func TestLastResponseIsCompleteAlthoughTheCallerSendsMore(t *testing.T) {
	c := newFixture(t)
	handler := largeResponse{bytes.Repeat([]byte("x"), 2<<20)}
	server := ingress.New(handler, c.limits, zerolog.Nop())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go server.Serve(largeBufferListener{l})
	server.Drain()
	conn, err := net.Dial("tcp4", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, sizedRequest(1)+sizedRequest(64<<10))
	c.Assert(err, qt.IsNil)
	time.Sleep(100 * time.Millisecond) // The router has written its response.
	reader := bufio.NewReader(conn)
	head, err := http1.ReadResponse(reader, 1<<10, "POST")
	c.Assert(err, qt.IsNil)
	c.Assert(head.Close, qt.IsTrue)
	body, err := io.ReadAll(http1.Body(reader, head.Length))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.HasLen, len(handler.body))
}
