package edge

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

// drainLoad counts what callers see that keep connecting to a router while it drains.
type drainLoad struct {
	answered, refused, cut atomic.Int64
}

// run makes calls on new connections until stop is closed.
func (l *drainLoad) run(address, path string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		switch err := callOnce(address, path); {
		case err == nil:
			l.answered.Add(1)
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errNotRead):
			l.refused.Add(1)
			time.Sleep(20 * time.Millisecond)
		default:
			l.cut.Add(1)
		}
	}
}

// errNotRead means that the connection was closed before the request was sent.
var errNotRead = errors.New("connection closed before the request was sent")

func callOnce(address, path string) error {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.WriteString(c, platformtest.Request(path, "Connection: close\r\n", "x")); err != nil {
		return errNotRead
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against a planned stop that cuts calls that the router has just accepted:
// callers keep connecting during the whole drain, each with a call of 500 ms.
func TestDrainUnderLoadCutsNoAcceptedCall(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.eventually("a call succeeds", func() bool { status, _ := f.call("/a"); return status == 200 })
	var load drainLoad
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { load.run(f.settings.CallerAddress, "/slow", stop) })
	}
	f.eventually("calls are active", func() bool { return f.router.server.Active() >= 10 })
	f.cancel()
	<-f.stopped
	// The process exits here.
	f.Assert(f.router.server.Active(), qt.Equals, int64(0))
	close(stop)
	group.Wait()
	f.Assert(load.cut.Load(), qt.Equals, int64(0), qt.Commentf("%d answered, %d refused", load.answered.Load(), load.refused.Load()))
	f.Assert(load.answered.Load() > 20, qt.IsTrue)
}
