package ingress_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/wire/http1"
)

// twoWrites responds with chunks that do not fit into the buffers of a caller that reads nothing,
// and reports when the call has ended.
type twoWrites struct {
	begun, ended chan struct{}
}

func (h twoWrites) ServeCall(_ context.Context, w *ingress.ResponseWriter, _ *http1.Request, _ []byte) {
	defer close(h.ended)
	w.StartChunked(200, "OK", nil)
	close(h.begun)
	for !w.WriteFailed() {
		w.WriteChunk(bytes.Repeat([]byte("x"), 1<<20))
	}
}

// Guards against a stopping process that ends before a call has ended, and without its log line,
// whose caller does not read.
func TestStopEndsWritesToCallersThatDoNotRead(t *testing.T) {
	f := newFixture(t)
	h := twoWrites{make(chan struct{}), make(chan struct{})}
	f.serveWith(h)
	c, err := net.Dial("tcp4", f.address)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, sizedRequest(1))
	f.Assert(err, qt.IsNil)
	<-h.begun
	time.Sleep(100 * time.Millisecond) // The buffers are full.
	f.server.Stop()
	select {
	case <-h.ended:
	case <-time.After(2 * time.Second):
		f.Fatal("the call goes on 2 s after the stop")
	}
}
