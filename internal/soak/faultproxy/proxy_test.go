package faultproxy_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/faultproxy"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/tcp"
)

const readTimeout = 300 * time.Millisecond

type fixture struct {
	*qt.C
	*faultproxy.Proxy
	// received gets each line that reaches the server; the server echoes it.
	received chan string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), received: make(chan string, 10)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					f.received <- lines.Text()
					_, _ = io.WriteString(c, lines.Text()+"\n")
				}
			}()
		}
	}()
	p, stop, err := faultproxy.New(l.Addr().String())
	f.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	f.Proxy = p
	return f
}

func (f *fixture) dial() net.Conn {
	c, err := net.Dial("tcp4", f.Address())
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends a line and waits for the echo; it returns nil when the echo arrives.
func (f *fixture) echo(c net.Conn) error {
	if _, err := io.WriteString(c, "x\n"); err != nil {
		return err // Only the first operation after a reset reports it.
	}
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func (f *fixture) assertStalled(c net.Conn) {
	f.Helper()
	err := f.echo(c)
	f.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
}

func (f *fixture) assertReset(err error) {
	f.Helper()
	f.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

func TestHealthyProxyForwardsEverything(t *testing.T) {
	f := newFixture(t)
	c := f.dial()
	for range 3 {
		f.Assert(f.echo(c), qt.IsNil)
	}
}

func TestFaults(t *testing.T) {
	t.Run("slow", func(t *testing.T) {
		f := newFixture(t)
		f.Set(faultproxy.Slow)
		start := time.Now()
		f.Assert(f.echo(f.dial()), qt.IsNil)
		f.Assert(time.Since(start) > 50*time.Millisecond, qt.IsTrue)
	})
	t.Run("reset", func(t *testing.T) {
		f := newFixture(t)
		c := f.dial()
		f.Assert(f.echo(c), qt.IsNil)
		f.Set(faultproxy.Reset)
		f.assertReset(f.echo(c))
		// A new connection may be reset before Dial returns.
		fresh, err := net.Dial("tcp4", f.Address())
		if err == nil {
			f.Cleanup(func() { _ = fresh.Close() })
			err = f.echo(fresh)
		}
		f.assertReset(err)
	})
	t.Run("stalled in both directions until healthy again", func(t *testing.T) {
		f := newFixture(t)
		c := f.dial()
		f.Set(faultproxy.StallBoth)
		f.assertStalled(c)
		f.Assert(len(f.received), qt.Equals, 0)
		f.Set(faultproxy.Healthy)
		f.Assert(f.echo(c), qt.IsNil)
	})
	t.Run("responses stalled", func(t *testing.T) {
		f := newFixture(t)
		f.Set(faultproxy.StallResponses)
		f.assertStalled(f.dial())
		f.Assert(len(f.received), qt.Equals, 1)
	})
	t.Run("requests stalled", func(t *testing.T) {
		f := newFixture(t)
		f.Set(faultproxy.StallRequests)
		f.assertStalled(f.dial())
		f.Assert(len(f.received), qt.Equals, 0)
	})
	t.Run("existing connections stalled", func(t *testing.T) {
		f := newFixture(t)
		c := f.dial()
		f.Assert(f.echo(c), qt.IsNil)
		f.Set(faultproxy.StallExisting)
		f.assertStalled(c)
		f.Assert(f.echo(f.dial()), qt.IsNil)
	})
}

// Guards against a proxy that hides broken answers: a server's reset during an upload must not reach the
// client as a FIN (issue 51).
func TestResetDuringUploadIsPassedOn(t *testing.T) {
	const (
		longUpload = 31 << 17
		repeats    = 20
	)
	c := qt.New(t)
	server, stopServer, err := rawserver.NewEarly(func(rawserver.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" }, rawserver.EndReset)
	c.Assert(err, qt.IsNil)
	c.Cleanup(stopServer)
	proxy, stopProxy, err := faultproxy.New(server.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(stopProxy)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", longUpload)
	for range repeats {
		raw, err := net.Dial("tcp4", proxy.Address())
		c.Assert(err, qt.IsNil)
		conn := tcp.NewConn(raw)
		go func() { _, _ = conn.WriteBuffers(net.Buffers{[]byte(head), make([]byte, longUpload)}) }()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, err = io.ReadAll(conn)
		c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
		_ = conn.Close()
	}
}
