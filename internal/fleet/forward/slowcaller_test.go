package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

const (
	// smallSocketBuffer is the size of the socket buffers of slow callers and their router, in bytes.
	smallSocketBuffer = 16 << 10
	// unreadLimit is how long targets of these tests wait for a router that does not read. It is well
	// above the 200 ms after which TCP probes a window that was closed.
	unreadLimit = 700 * time.Millisecond
	// longEvents is the number of events of a stream that is larger than all socket buffers, and
	// longEventBytes about the size of one.
	longEvents     = 200
	longEventBytes = 4 << 10
	// stallScale divides the time after which a caller that takes nothing is ended.
	stallScale = 2
)

type (
	// slowFixture is a fixture whose callers may read slowly.
	slowFixture struct {
		*fixture
		log        *lines
		quarantine *quarantine.Tracker
		slow       net.Listener
	}

	// smallBufferListener accepts connections with small buffers and shorter write deadlines.
	smallBufferListener struct{ *net.TCPListener }

	smallBufferConn struct{ *net.TCPConn }
)

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return smallBufferConn{c}, c.SetWriteBuffer(smallSocketBuffer)
}

// SetWriteDeadline implements net.Conn.
func (c smallBufferConn) SetWriteDeadline(t time.Time) error {
	if wait := time.Until(t); wait > time.Second {
		t = time.Now().Add(wait / stallScale)
	}
	return c.TCPConn.SetWriteDeadline(t)
}

func newSlowFixture(t *testing.T, targets int, script rawserver.Handler, opts ...func(*forward.Config)) *slowFixture {
	f := &slowFixture{log: new(lines), quarantine: quarantine.NewTracker()}
	opts = append(opts, func(c *forward.Config) { c.Log, c.Quarantine = zerolog.New(f.log), f.quarantine })
	f.fixture = newFixture(t, targets, script, opts...)
	f.cacheIndex.MarkRestored()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	f.slow = l
	go f.server.Serve(smallBufferListener{l.(*net.TCPListener)})
	return f
}

// begin makes a call with a prompt from a caller with a small receive buffer.
func (f *slowFixture) begin(path string) (net.Conn, *bufio.Reader) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallSocketBuffer)
		})
	}}
	c, err := dialer.Dial("tcp4", f.slow.Addr().String())
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(c, platformtest.Request(path, platformtest.AuthorizationLine+platformtest.PartsLine(guiltyPart, "own"), "x"))
	f.Assert(err, qt.IsNil)
	return c, bufio.NewReaderSize(c, 16)
}

func longEvent(i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", longEventBytes))
}

func longStream() string {
	var b strings.Builder
	for i := 1; i <= longEvents; i++ {
		b.WriteString(longEvent(i))
	}
	return b.String()
}

// impatient streams the events after Last-Event-Id, and cuts the stream off if the router does not
// read it for unreadLimit.
func impatient(c net.Conn, r rawserver.Request) bool {
	from := 0
	_, _ = fmt.Sscan(platformtest.DecodeForwarded(r).LastEventID, &from)
	_ = c.(*net.TCPConn).SetWriteBuffer(smallSocketBuffer)
	_, err := io.WriteString(c, platformtest.StreamHead(r))
	for i := from + 1; i <= longEvents && err == nil; i++ {
		_ = c.SetWriteDeadline(time.Now().Add(unreadLimit))
		_, err = io.WriteString(c, chunk(longEvent(i)))
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	if err != nil {
		rawserver.Reset(c)
	}
	return err == nil
}

// readSlowly reads n bytes with pauses and returns the number of bytes that came.
func readSlowly(c net.Conn, n int) int {
	buffer, read := make([]byte, 256), 0
	for read < n {
		m, err := c.Read(buffer)
		read += m
		if err != nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return read
}

func (f *slowFixture) await(what string, isTrue func() bool) {
	f.Helper()
	for end := time.Now().Add(10 * time.Second); !isTrue(); time.Sleep(2 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s: not within 10 s", what))
	}
}

// assertLogged waits for the end of the only call and checks its reason.
func (f *slowFixture) assertLogged(reason string) {
	f.Helper()
	f.await("the call's log line", func() bool { return len(f.log.ofCalls()) == 1 })
	line := f.log.ofCalls()[0]
	f.Assert(strings.Contains(line, `"reason":"`+reason+`"`), qt.IsTrue, qt.Commentf("%s", line))
}

// assertWhy checks why the answer to a slow caller was ended.
func (f *slowFixture) assertWhy(why string) {
	f.Helper()
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.Assert(strings.Contains(f.log.data.String(), `"why":"`+why+`"`), qt.IsTrue, qt.Commentf("%s", f.log.data.String()))
}

// assertNotBlamed checks that the target had one call and nothing speaks against it or the prompt.
func (f *slowFixture) assertNotBlamed() {
	f.Helper()
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.Assert(f.targetRequests(), qt.Equals, 1, qt.Commentf("%s", f.log.data.String()))
	for _, load := range f.tracker.Loads(time.Now()) {
		f.Assert(load.Failures, qt.Equals, 0.0)
	}
	for _, message := range []string{"attempt cut", "target crashed", "target unreachable"} {
		f.Assert(strings.Contains(f.log.data.String(), message), qt.IsFalse, qt.Commentf("%s", f.log.data.String()))
	}
}

// assertNothingHeld waits until no memory is held for callers.
func (f *slowFixture) assertNothingHeld() {
	f.Helper()
	f.await("memory given back", func() bool { return f.handler.AnswerMemory() == 0 })
}

func (f *slowFixture) assertWholeStream(r *bufio.Reader) {
	f.Helper()
	got := readResponse(r)
	f.Assert(got.err, qt.IsNil)
	f.Assert(got.body == longStream(), qt.IsTrue, qt.Commentf("%d of %d bytes", len(got.body), len(longStream())))
}

// Guards against a target's stream that is cut off because the router does not read it while its caller
// pauses (issue 44).
func TestSlowCallerGetsTheWholeStream(t *testing.T) {
	t.Run("after a pause", func(t *testing.T) {
		f := newSlowFixture(t, 2, impatient)
		_, r := f.begin("/talk/a")
		time.Sleep(2 * unreadLimit)
		f.assertWholeStream(r)
		f.assertLogged("done")
		f.assertNotBlamed()
		f.assertNothingHeld()
	})
	t.Run("after pauses between which it keeps up", func(t *testing.T) {
		f := newSlowFixture(t, 2, impatient)
		_, r := f.begin("/talk/a")
		head, err := http1.ReadResponse(r, 16<<10, "POST")
		f.Assert(err, qt.IsNil)
		body, all := http1.Body(r, head.Length), make([]byte, len(longStream()))
		read := 0
		for _, end := range []int{100, 300 << 10, 350 << 10, len(all)} {
			time.Sleep(unreadLimit / 2)
			_, err = io.ReadFull(body, all[read:end])
			f.Assert(err, qt.IsNil)
			read = end
		}
		f.Assert(string(all) == longStream(), qt.IsTrue)
		f.assertNotBlamed()
	})
	t.Run("although the target's own stream is cut and resumed meanwhile", func(t *testing.T) {
		f := newSlowFixture(t, 2, firstCall(func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.StreamHead(r))
			for i := 1; i <= longEvents/2; i++ {
				_, _ = io.WriteString(c, chunk(longEvent(i)))
			}
			return false
		}, impatient))
		_, r := f.begin("/talk/a")
		time.Sleep(2 * unreadLimit)
		f.assertWholeStream(r)
		f.Assert(f.targetRequests(), qt.Equals, 2)
	})
}

// Guards against a caller that is slow and keeps a whole response that is written after its target has
// ended, or never gets it: 5 s for all of it were too short for callers that read steadily.
func TestSlowCallerGetsTheWholeBody(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	f := newSlowFixture(t, 1, always("200 OK", "", large))
	_, r := f.begin("/once/a")
	time.Sleep(200 * time.Millisecond)
	f.assertResponse(readResponse(r), 200, large)
	f.assertNothingHeld()
}

// Guards against an end that follows from a slow caller and is taken for one of the target: the target
// is ejected, its prompt is suspected, or the stream is resumed elsewhere (issue 44).
func TestEndOfSlowCallerIsNotBlamedOnTheTarget(t *testing.T) {
	t.Run("a caller that takes nothing", func(t *testing.T) {
		f := newSlowFixture(t, 2, impatient)
		started := time.Now()
		f.begin("/talk/a")
		f.assertLogged("slow-caller")
		f.Assert(time.Since(started) < 9*time.Second, qt.IsTrue)
		f.assertWhy("stalled")
		f.assertNotBlamed()
		f.assertNothingHeld()
	})
	t.Run("a caller that takes nothing of a body", func(t *testing.T) {
		f := newSlowFixture(t, 2, always("200 OK", "", strings.Repeat("x", 800<<10)))
		f.begin("/once/a")
		f.assertLogged("slow-caller")
		f.assertWhy("stalled")
		f.assertNotBlamed()
		f.assertNothingHeld()
	})
	t.Run("a target that cuts off what is not read", func(t *testing.T) {
		var f *slowFixture
		f = newSlowFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
			if impatient(c, r) {
				return true
			}
			f.stopTarget(c) // What follows would be evidence of a crash.
			return false
		}, withResponseMemory(128<<10))
		c, _ := f.begin("/talk/a")
		f.Assert(readSlowly(c, len(longStream())) < len(longStream()), qt.IsTrue)
		f.assertLogged("slow-caller")
		f.assertWhy("unread")
		f.assertNotBlamed()
		f.assertNothingHeld()
	})
	t.Run("a stream that is not read until its deadline", func(t *testing.T) {
		f := newSlowFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
			_, err := io.WriteString(c, platformtest.StreamHead(r))
			for i := 1; err == nil; i++ {
				_, err = io.WriteString(c, chunk(longEvent(i)))
			}
			return false
		}, withResponseMemory(128<<10))
		c, _ := f.begin("/talk/a")
		readSlowly(c, 1<<20)
		f.assertLogged("slow-caller")
		f.assertWhy("unread")
		f.assertNotBlamed()
	})
}

// Guards against a target's own failures that are put down to its callers.
func TestCutStreamOfCallerThatKeepsUpIsBlamedOnTheTarget(t *testing.T) {
	f := newSlowFixture(t, 1, eventScript(9, 4))
	_, r := f.begin("/talk/a")
	f.Assert(readResponse(r).err, qt.IsNotNil)
	f.Assert(f.tracker.Loads(time.Now())[0].Failures > 0.5, qt.IsTrue)
}

// Guards against many slow callers that use up a router's memory, or because of which callers that keep
// up lose their answers (issue 44).
func TestSlowCallersShareTheMemory(t *testing.T) {
	const limit, slowCallers = 512 << 10, 24
	f := newSlowFixture(t, 1, impatient, withResponseMemory(limit))
	for range slowCallers {
		f.begin("/talk/a")
	}
	f.awaitRequests(slowCallers)
	largest := int64(0)
	for range 5 {
		got := f.call("/talk/a") // It reads at once.
		f.Assert(got.err, qt.IsNil)
		f.Assert(got.body == longStream(), qt.IsTrue)
		largest = max(largest, f.handler.AnswerMemory())
	}
	f.await("the end of the slow callers", func() bool {
		largest = max(largest, f.handler.AnswerMemory())
		return len(f.log.ofCalls()) == slowCallers+5
	})
	f.Assert(largest <= limit, qt.IsTrue, qt.Commentf("%d bytes used", largest))
	f.Assert(largest > 0, qt.IsTrue)
	f.assertWhy("memory")
	f.assertNothingHeld()
}

// Guards against goroutines and memory that outlast slow callers, however their calls end.
func TestSlowCallersLeaveNothingBehind(t *testing.T) {
	f := newSlowFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
		impatient(c, r)
		return false // No goroutine of the target waits for another request.
	})
	f.assertResponse(f.call("/none"), 404, "")
	before := runtime.NumGoroutine()
	for i := range 12 {
		c, r := f.begin("/talk/a")
		switch i % 3 {
		case 0: // It takes nothing.
		case 1:
			time.AfterFunc(100*time.Millisecond, func() { _ = c.Close() })
		case 2:
			time.Sleep(100 * time.Millisecond)
			f.assertWholeStream(r)
			_ = c.Close()
		}
	}
	f.await("the calls' ends", func() bool { return len(f.log.ofCalls()) == 13 })
	f.assertNothingHeld()
	f.await("the end of all goroutines", func() bool { return runtime.NumGoroutine() <= before })
}
