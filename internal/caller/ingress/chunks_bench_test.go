package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/wire/http1"
)

type (
	// chunkHandler streams a number of events of a usual size.
	chunkHandler struct{ events int }

	// noMemory is a slow caller without memory, so that a response is aborted if it does not keep up.
	noMemory struct{}
)

func (noMemory) HoldBacklog(int) bool { return false }
func (noMemory) ReleaseBacklog(int)   {}
func (noMemory) MaxBacklog() int      { return 0 }
func (noMemory) AwaitRoom() bool      { return false }
func (noMemory) BeginSlowBody()       {}
func (noMemory) CallerStalled()       {}

// ServeCall implements ingress.Handler.
func (h chunkHandler) ServeCall(_ context.Context, w *ingress.ResponseWriter, _ *http1.Request, _ []byte) {
	w.SetSlowCaller(noMemory{})
	w.StartChunked(200, "OK", nil)
	event := make([]byte, 120)
	for range h.events {
		w.WriteChunk(event)
	}
	w.EndChunked()
}

// BenchmarkChunksOfCallerThatKeepsUp measures the writes of events to a caller that reads at once.
func BenchmarkChunksOfCallerThatKeepsUp(b *testing.B) {
	limits := func() state.Limits {
		return state.Limits{HeaderBytes: 1 << 10, BodyBytes: 1, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}
	server := ingress.New(chunkHandler{b.N}, limits, zerolog.Nop())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go server.Serve(l)
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	b.ReportAllocs()
	b.ResetTimer()
	if _, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		b.Fatal(err)
	}
	r := bufio.NewReader(c)
	head, err := http1.ReadResponse(r, 1<<10, "GET")
	if err != nil {
		b.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, http1.Body(r, head.Length)); err != nil || n != int64(b.N)*120 {
		b.Fatal(n, err)
	}
}
