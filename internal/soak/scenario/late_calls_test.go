package scenario_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

const (
	lateCallers = 60
	lateSubnet  = 9
	// lateWork is the longest time that a target works on a call.
	lateWork = 1500 * time.Millisecond
)

// lateOutcomes counts what callers have seen of calls to a router that stops.
type lateOutcomes struct {
	mu                        sync.Mutex
	answered, refused, unread int
	// cut holds the IDs of the calls whose connection has ended without a complete answer.
	cut []string
}

// Guards against calls that a stopping router has passed on and whose connections it ends without
// an answer, among them calls that may not be repeated (LOST; a report of another operator, issue
// 36): callers use its address, on new and on kept connections, until the process is gone.
func TestCallsUntilTheEndOfAStopAreAnsweredOrRefused(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs the program")
	}
	f := newChangeFleet(t, lateSubnet, 3)
	var mu sync.Mutex
	executed := make(map[string]bool)
	target, stop, err := rawserver.New(func(conn net.Conn, r rawserver.Request) bool {
		mu.Lock()
		executed[platformtest.DecodeForwarded(r).Call] = true
		mu.Unlock()
		time.Sleep(time.Duration(rand.Int64N(int64(lateWork))))
		_, err := io.WriteString(conn, platformtest.Response(r, "200 OK", "", "done"))
		return err == nil
	})
	f.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target(target.Address(), "ready", 1))
	stopped := f.routers[0]
	for end := time.Now().Add(10 * time.Second); stopped.call(platformtest.PathOnce) != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the router serves no call"))
	}
	var outcomes lateOutcomes
	done := make(chan struct{})
	var callers sync.WaitGroup
	for i := range lateCallers {
		callers.Go(func() { outcomes.keepCalling(stopped.ip, i, done) })
	}
	time.Sleep(2 * time.Second)
	stopping := time.Now()
	stopped.Signal(syscall.SIGTERM)
	for stopped.Incarnation() != 0 && time.Since(stopping) < 8*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	f.Assert(stopped.Incarnation(), qt.Equals, 0, qt.Commentf("the router still runs"))
	close(done)
	callers.Wait()
	f.Logf("the stop took %v; %d calls answered, %d refused, %d not read", time.Since(stopping), outcomes.answered, outcomes.refused, outcomes.unread)
	mu.Lock()
	defer mu.Unlock()
	for _, id := range outcomes.cut {
		f.Check(executed[id], qt.IsFalse, qt.Commentf("call %s was executed and cut", id))
	}
	f.Assert(outcomes.answered > lateCallers, qt.IsTrue)
}

// keepCalling makes calls that may not be repeated until done is closed, some on kept connections.
func (o *lateOutcomes) keepCalling(ip string, caller int, done chan struct{}) {
	var conn net.Conn
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", net.JoinHostPort(ip, strconv.Itoa(changePorts.Callers)), time.Second); err != nil {
				conn = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%08x%08x", caller+1, n)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, err := io.WriteString(conn, platformtest.Call(id, http.MethodPost, platformtest.PathOnce+"a", 3000, "x"))
		var response *http1.Response
		reader := bufio.NewReader(conn)
		if err == nil {
			response, err = http1.ReadResponse(reader, 16<<10, http.MethodPost)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, http1.Body(reader, response.Length))
		}
		o.record(id, response, err)
		if err != nil || response.Close || n%3 == 0 {
			_ = conn.Close()
			conn = nil
		}
	}
}

func (o *lateOutcomes) record(id string, response *http1.Response, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil:
		o.unread++
		o.cut = append(o.cut, id)
	case response.Status == http.StatusOK:
		o.answered++
	default:
		o.refused++
	}
}
