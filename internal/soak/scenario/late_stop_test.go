package scenario_test

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// Guards against a router that learns half a second late that it must stop, and would therefore
// be killed before it has ended its calls.
func TestRouterThatLearnsOfItsStopLateEndsItsCallsInTime(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs the program")
	}
	const grace = 6 * time.Second // As in platformtest.FleetSettings.
	c := qt.New(t)
	dir := t.TempDir()
	program := buildRouter(c, dir)
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	begun := make(chan struct{}, 1)
	target, stop, err := rawserver.New(func(conn net.Conn, r rawserver.Request) bool {
		if r.Target != platformtest.PathStream {
			_, err := io.WriteString(conn, platformtest.Response(r, "200 OK", "", "x"))
			return err == nil
		}
		const event = "id: 1\ndata: x\n\n"
		_, err := io.WriteString(conn, platformtest.StreamHead(r)+"f\r\n"+event+"\r\n")
		begun <- struct{}{}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if err != nil {
				return false
			}
			_, err = io.WriteString(conn, "8\r\n: wait\n\n\r\n")
		}
		return false
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	store.Set(platformtest.KindTargets, "i-1", platformtest.Target(target.Address(), "ready", 1))
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, strings.ReplaceAll(platformtest.FleetConfiguration(1), `"timeout_ms":3000`, `"timeout_ms":15000`))
	router := startRouter(c, program, dir, strings.TrimPrefix(server.URL, "http://"))
	awaitServing(c)
	conn, err := net.Dial("tcp4", net.JoinHostPort(pauseIP, "18327"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, platformtest.Request(platformtest.PathStream, platformtest.AuthorizationLine, "x"))
	c.Assert(err, qt.IsNil)
	<-begun

	c.Assert(router.Pause(), qt.IsNil)
	stopping := time.Now()
	router.Signal(syscall.SIGTERM)
	time.Sleep(550 * time.Millisecond)
	router.Signal(syscall.SIGCONT)
	_ = conn.SetReadDeadline(stopping.Add(2 * grace))
	_, _ = io.Copy(io.Discard, conn)
	took := time.Since(stopping)
	c.Assert(took >= grace*5/6 && took < grace, qt.IsTrue, qt.Commentf("the call was ended after %v", took))
}
