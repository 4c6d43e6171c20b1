package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/wire/http1"
)

const (
	bodyMemory = 200 << 10
	bodyLimit  = 150 << 10
)

// holder answers a call once it is told to.
type holder struct {
	arrived chan int
	answer  chan struct{}
}

func (h holder) ServeCall(_ context.Context, a *ingress.Answer, _ *http1.Request, body []byte) {
	h.arrived <- len(body)
	<-h.answer
	a.Whole(200, "OK", nil, nil)
}

type fixture struct {
	*qt.C
	holder
	address string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), holder: holder{make(chan int, 10), make(chan struct{}, 10)}}
	limits := func() state.Limits {
		return state.Limits{
			HeaderBytes: 1 << 10, BodyBytes: bodyLimit, HeaderTimeout: time.Second, IdleTimeout: time.Second,
		}
	}
	server := ingress.New(f.holder, limits, zerolog.Nop(), ingress.WithBodyMemory(bodyMemory))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go server.Serve(l)
	f.address = l.Addr().String()
	return f
}

func sized(bytes int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", bytes))
}

func chunked(bytes int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		bytes, strings.Repeat("x", bytes))
}

func (f *fixture) send(raw string) *bufio.Reader {
	c, err := net.Dial("tcp4", f.address)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(c, raw)
	f.Assert(err, qt.IsNil)
	return bufio.NewReader(c)
}

func (f *fixture) assertStatus(r *bufio.Reader, want int) *http1.Response {
	f.Helper()
	head, err := http1.ReadResponse(r, 1<<10, "POST")
	f.Assert(err, qt.IsNil)
	f.Assert(head.Status, qt.Equals, want)
	return head
}

// Pattern: many callers send large bodies at once. A router that runs out of
// memory is killed with every call that it serves.
func TestBodiesShareABoundedMemory(t *testing.T) {
	for name, request := range map[string]func(int) string{"sized": sized, "chunked": chunked} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			first := f.send(request(100 << 10))
			f.Assert(<-f.arrived, qt.Equals, 100<<10)
			refused := f.assertStatus(f.send(request(140<<10)), 503)
			f.Assert(refused.Field("retry-after"), qt.Not(qt.Equals), "")
			f.Assert(refused.Close, qt.IsTrue)
			f.answer <- struct{}{}
			f.assertStatus(first, 200)
			// The memory is free right after the answer, also that of the refused call.
			time.Sleep(50 * time.Millisecond)
			f.answer <- struct{}{}
			f.assertStatus(f.send(request(100<<10)), 200)
			f.Assert(<-f.arrived, qt.Equals, 100<<10)
		})
	}
}

func TestBodiesOverTheLimitAreRefused(t *testing.T) {
	for name, request := range map[string]func(int) string{"sized": sized, "chunked": chunked} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.assertStatus(f.send(request(bodyLimit+1)), 413)
			f.Assert(f.arrived, qt.HasLen, 0)
		})
	}
}
