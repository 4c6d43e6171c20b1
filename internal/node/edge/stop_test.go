package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// logBuffer collects the log of a router.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// linesWith returns the log lines that contain all of some texts.
func (b *logBuffer) linesWith(texts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.data.String()) {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			found = append(found, line)
		}
	}
	return found
}

// workFor returns how long a call to a path such as /once/work/1500 takes.
func workFor(path string) time.Duration {
	_, text, _ := strings.Cut(path, "work/")
	ms, _ := strconv.Atoi(text) // Zero for other paths.
	return time.Duration(ms) * time.Millisecond
}

// work is a target whose calls take as long as their path says. Calls to streaming routes
// begin their answer at once.
func work(c net.Conn, r rawserver.Request) bool {
	if !strings.HasPrefix(r.Target, platformtest.PathStream) {
		time.Sleep(workFor(r.Target))
		_, err := io.WriteString(c, platformtest.Response(r, "200 OK", "", "hi"))
		return err == nil
	}
	const event = "id: %d\ndata: x\n\n"
	const gap = 100 * time.Millisecond
	_, err := io.WriteString(c, platformtest.StreamHead(r))
	for n := 1; err == nil && time.Duration(n)*gap <= workFor(r.Target); n++ {
		data := fmt.Sprintf(event, n)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data)
		time.Sleep(gap)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil
}

// newWorkFixture starts a router of which a planned stop takes three seconds at most, in
// front of a target whose calls take as long as their path says.
func newWorkFixture(t *testing.T) (*fixture, *logBuffer) {
	log := new(logBuffer)
	f := newFixtureWithTarget(t, platformtest.NewStore(), work, zerolog.New(log))
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.FleetConfiguration(1))
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target(f.target.Address(), "ready", 0))
	f.eventually("a call succeeds", func() bool {
		status, _ := f.callWith(platformtest.PathOnce, platformtest.AuthorizationLine)
		return status == 200
	})
	return f, log
}

// kept is an open connection of a caller.
type kept struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) connect() kept {
	c, err := net.Dial("tcp4", f.settings.CallerAddress)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	return kept{c, bufio.NewReader(c)}
}

// send sends a call without waiting for its response.
func (k kept) send(path string) error {
	_, err := io.WriteString(k, platformtest.Request(path, platformtest.AuthorizationLine, "x"))
	return err
}

// receive reads a complete response. The status is 0 without one.
func (k kept) receive() (status int, closes bool) {
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, true
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, true
	}
	return resp.StatusCode, resp.Close
}

func (f *fixture) awaitStart(path string) {
	f.Helper()
	f.eventually("the target has received "+path, func() bool { return f.executions(path) > 0 })
}

// executions returns how often the target has received a call.
func (f *fixture) executions(path string) int {
	n := 0
	for _, r := range f.target.Requests() {
		if r.Target == path {
			n++
		}
	}
	return n
}

// Guards against a planned stop that cuts calls which callers make late in the drain and
// which last longer than what is left of the grace period.
func TestStopCutsNoCallThatArrivesLate(t *testing.T) {
	f, _ := newWorkFixture(t)
	const path = platformtest.PathOnce + "work/1500"
	stopping := time.Now()
	f.cancel()
	var group sync.WaitGroup
	for i := range 14 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c, err := net.Dial("tcp4", f.settings.CallerAddress)
			if err != nil {
				return // The router accepts no more connections.
			}
			defer c.Close()
			k := kept{c, bufio.NewReader(c)}
			before := time.Since(stopping)
			if k.send(path) != nil {
				return
			}
			if status, _ := k.receive(); status != 200 && status != 503 {
				f.Errorf("call cut that was sent %v after the stop began", before)
			}
		})
	}
	group.Wait()
	<-f.stopped
}

// Guards against a planned stop that cuts a call on a connection which a stream kept open until
// the router had stopped accepting connections.
func TestStopCutsNoCallOnConnectionThatBecomesIdleLate(t *testing.T) {
	f, _ := newWorkFixture(t)
	const stream, late = platformtest.PathStream + "work/1900", platformtest.PathOnce + "work/1200"
	k := f.connect()
	f.Assert(k.send(stream), qt.IsNil)
	f.awaitStart(stream)
	time.Sleep(50 * time.Millisecond) // The caller has received the head of the response.
	f.cancel()
	status, closes := k.receive()
	f.Assert(status, qt.Equals, 200)
	f.Assert(closes, qt.IsFalse)
	lateStatus := 0
	if k.send(late) == nil {
		lateStatus, _ = k.receive()
	}
	<-f.stopped
	if f.executions(late) > 0 {
		f.Assert(lateStatus, qt.Equals, 200)
	}
}

// Guards against calls that a planned stop ends without a log line that says so.
func TestStopLogsTheCallsThatItCuts(t *testing.T) {
	f, log := newWorkFixture(t)
	const stream = platformtest.PathStream + "work/4000"
	k := f.connect()
	f.Assert(k.send(stream), qt.IsNil)
	f.awaitStart(stream)
	f.cancel()
	status, _ := k.receive()
	<-f.stopped
	f.Assert(status, qt.Equals, 0)
	f.Assert(log.linesWith(`"message":"call"`, `"reason":"router-stopped"`, `"begun":true`, `"drain-left-ms":`), qt.HasLen, 1)
	f.Assert(log.linesWith(`"message":"router stops"`, `"reason":"grace-over"`), qt.HasLen, 1)
}
