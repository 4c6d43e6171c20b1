package forward_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// trickleInterval is the time between the single bytes of a target that stalls
// without falling silent.
const trickleInterval = 20 * time.Millisecond

// firstCall runs first for the first request of all targets and next for the others.
func firstCall(first, next rawserver.Handler) rawserver.Handler {
	var seen atomic.Bool
	return func(c net.Conn, r rawserver.Request) bool {
		if seen.CompareAndSwap(false, true) {
			return first(c, r)
		}
		return next(c, r)
	}
}

// repeat writes data until the connection is closed and adds the bytes to written.
func repeat(c net.Conn, data string, pause time.Duration, written *atomic.Int64) bool {
	for {
		n, err := io.WriteString(c, data)
		written.Add(int64(n))
		if err != nil {
			return false
		}
		time.Sleep(pause)
	}
}

// trickling returns a script that streams one event and then single bytes that never
// complete another.
func trickling(written *atomic.Int64) rawserver.Handler {
	return func(c net.Conn, r rawserver.Request) bool {
		_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk("id: 1\ndata: x\n\n"))
		return repeat(c, chunk("d"), trickleInterval, written)
	}
}

// Guards against bytes that are counted as progress although no event is ever
// completed: such a stream must be resumed elsewhere, and one that cannot be resumed
// must end at the route's timeout.
func TestStreamThatTricklesBytes(t *testing.T) {
	var written atomic.Int64
	t.Run("is resumed on another target", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(trickling(&written), eventScript(5, 0)))
		start := time.Now()
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(5))
		f.Assert(time.Since(start) < time.Second, qt.IsTrue)
	})
	t.Run("is resumed although its target serves other calls", func(t *testing.T) {
		f := newFixture(t, 2, firstCall(trickling(&written), eventScript(5, 0)))
		stop, stopped := make(chan struct{}), make(chan struct{})
		f.keepActive(stop, stopped)
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(5))
		close(stop)
		<-stopped
	})
	t.Run("ends at the route's timeout if it cannot be resumed", func(t *testing.T) {
		f := newFixture(t, 2, trickling(&written))
		start := time.Now()
		got := f.call("/stream/a")
		f.Assert(got.err, qt.IsNotNil)
		f.Assert(time.Since(start) < 1500*time.Millisecond, qt.IsTrue)
	})
}

// keepActive reports progress of another call at each target until stop is closed.
func (f *fixture) keepActive(stop <-chan struct{}, stopped chan<- struct{}) {
	go func() {
		defer close(stopped)
		for {
			for _, target := range f.view.Load().Targets.ByService["s"] {
				call := f.tracker.Begin(target.Hash, 0, time.Now())
				call.Progress(time.Now())
				call.End()
			}
			select {
			case <-stop:
				return
			case <-time.After(trickleInterval):
			}
		}
	}()
}

// A slow stream must not be cancelled when nothing could continue it.
func TestSlowStreamThatCannotBeResumedIsNotCut(t *testing.T) {
	f := newFixture(t, 2, pausing(600*time.Millisecond))
	f.assertResponse(f.call("/replay/a"), 200, wholeStream(2))
	f.Assert(f.targetRequests(), qt.Equals, 1)
}

// Guards against a target that sends bytes that are no response until the connection
// is closed: they must not be buffered without a bound, and the call goes on elsewhere.
func TestEndlessBytes(t *testing.T) {
	const maxSent = 8 << 20 // Socket buffers included.
	t.Run("an event without an end", func(t *testing.T) {
		var written atomic.Int64
		f := newFixture(t, 2, firstCall(func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk("id: 1\ndata: x\n\n"))
			return repeat(c, chunk(strings.Repeat("d", 8<<10)), 0, &written)
		}, eventScript(5, 0)))
		f.assertResponse(f.call("/resume/a"), 200, wholeStream(5))
		f.Assert(written.Load() < maxSent, qt.IsTrue, qt.Commentf("%d bytes sent", written.Load()))
	})
	interim := func(written *atomic.Int64) rawserver.Handler {
		return func(c net.Conn, _ rawserver.Request) bool {
			return repeat(c, "HTTP/1.1 102 Processing\r\n\r\n", time.Millisecond, written)
		}
	}
	t.Run("interim heads before a repeatable call's response", func(t *testing.T) {
		var written atomic.Int64
		f := newFixture(t, 2, firstCall(interim(&written), always("200 OK", "", "x")))
		start := time.Now()
		f.assertResponse(f.call("/safe/a"), 200, "x")
		f.Assert(time.Since(start) < 400*time.Millisecond, qt.IsTrue)
	})
	t.Run("interim heads before an at-most-once call's response", func(t *testing.T) {
		var written atomic.Int64
		f := newFixture(t, 2, interim(&written))
		start := time.Now()
		f.Assert(f.call("/once/a").Status, qt.Equals, 502)
		f.Assert(time.Since(start) < 300*time.Millisecond, qt.IsTrue)
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("a body", func(t *testing.T) {
		var written atomic.Int64
		f := newFixture(t, 2, firstCall(func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.StreamHead(r))
			return repeat(c, chunk(strings.Repeat("d", 8<<10)), 0, &written)
		}, always("200 OK", "", "x")))
		f.assertResponse(f.call("/safe/a"), 200, "x")
		f.Assert(written.Load() < maxSent, qt.IsTrue, qt.Commentf("%d bytes sent", written.Load()))
	})
}

// Large responses share a bounded memory: what does not fit is not buffered, and its
// caller is told that the call may have run.
func TestBufferedResponsesShareMemory(t *testing.T) {
	large := strings.Repeat("x", 512<<10)
	release := make(chan struct{})
	f := newFixture(t, 1, firstCall(func(c net.Conn, r rawserver.Request) bool {
		_, _ = io.WriteString(c, platformtest.ResponseHead(r, len(large))+large[1:])
		<-release
		_, err := io.WriteString(c, large[:1])
		return err == nil
	}, always("200 OK", "", large)), withResponseMemory(768<<10))
	first := make(chan response, 1)
	go func() { first <- f.call("/open/a") }()
	f.awaitRequests(1)
	time.Sleep(50 * time.Millisecond) // All but the last byte has been read.
	f.Assert(f.call("/open/a").Status, qt.Equals, 502)
	close(release)
	f.assertResponse(<-first, 200, large)
	f.assertResponse(f.call("/open/a"), 200, large)
}

// Guards against a target that uses up the memory for answers, so that large ones of other targets
// are not relayed (LOST, issue 40): its own answers end.
func TestMemoryIsTakenFromTheTargetThatOccupiesTheMost(t *testing.T) {
	const stalled = 12
	large := strings.Repeat("x", 200<<10)
	var reading atomic.Int64
	for name, test := range map[string]struct {
		path  string
		begin func(r rawserver.Request) string
	}{
		"bodies": {"/open/a", func(r rawserver.Request) string {
			return platformtest.ResponseHead(r, 70_000) + strings.Repeat("x", 69_999)
		}},
		"events": {"/stream/a", func(r rawserver.Request) string {
			return platformtest.StreamHead(r) + chunk("data: "+strings.Repeat("x", 60_000))
		}},
		"heads": {"/open/a", func(rawserver.Request) string { return "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 60_000) }},
	} {
		t.Run(name, func(t *testing.T) {
			reading.Store(0)
			f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
				if reading.Add(1) > stalled {
					_, err := io.WriteString(c, platformtest.Response(r, "200 OK", "", large))
					return err == nil
				}
				_, _ = io.WriteString(c, test.begin(r))
				_, _ = c.Read(make([]byte, 1))
				return false
			}, withResponseMemory(768<<10))
			for range stalled {
				go f.call(test.path)
			}
			f.awaitRequests(stalled)
			for end := time.Now().Add(500 * time.Millisecond); f.handler.AnswerMemory() < 500<<10; time.Sleep(time.Millisecond) {
				f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%d bytes used", f.handler.AnswerMemory()))
			}
			f.renameTargets()
			f.assertResponse(f.call("/open/a"), 200, large)
		})
	}
}

// renameTargets publishes a view with other targets at the same addresses.
func (f *fixture) renameTargets() {
	view := f.view.Load()
	var targets []*state.Target
	for _, old := range view.Targets.ByService["s"] {
		t := *old
		t.ID += "-other"
		targets = append(targets, &t)
	}
	f.view.Store(&state.View{Configuration: view.Configuration, Targets: state.NewTargets(targets)})
}

// A response head that proves that the call was not executed must be acted on before
// its body arrives, which may be slow or never end.
func TestNotExecutedResponseWithSlowBody(t *testing.T) {
	f := newFixture(t, 2, firstCall(func(c net.Conn, r rawserver.Request) bool {
		_, _ = io.WriteString(c, platformtest.NotExecutedHead(r, 100))
		_, _ = c.Read(make([]byte, 1))
		return false
	}, always("200 OK", "", "x")))
	start := time.Now()
	f.assertResponse(f.call("/once/a"), 200, "x")
	f.Assert(time.Since(start) < 200*time.Millisecond, qt.IsTrue)
	f.Assert(f.targetRequests(), qt.Equals, 2)
}
