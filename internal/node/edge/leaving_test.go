package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// Guards against a target that gets calls although it has said in an answer that it leaves,
// because its entry in the store still says ready.
func TestTargetThatSaysThatItLeaves(t *testing.T) {
	f := newFixture(t)
	f.configure()
	leaving, stop, err := rawserver.New(func(c net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(c, platformtest.Response(r, "200 OK", platformtest.LeavingLine, "bye"))
		return err == nil
	})
	f.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	write := func(state string, born int) {
		f.Helper()
		f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target(leaving.Address(), state, born))
		f.eventually("the entry is known", func() bool {
			return f.router.watcher.View().Targets.Revision.Number == f.store.Revision()
		})
	}
	write("ready", 1)
	f.eventually("the target has said that it leaves", func() bool { _, body := f.call("/a"); return body == "bye" })
	assertRefused := func() {
		f.Helper()
		called, started := len(leaving.Requests()), time.Now()
		status, _ := f.call("/a")
		f.Assert(status, qt.Equals, http.StatusServiceUnavailable)
		f.Assert(time.Since(started) < time.Second, qt.IsTrue)
		f.Assert(leaving.Requests(), qt.HasLen, called)
	}
	assertRefused()
	write("draining", 1)
	write("ready", 1)
	assertRefused()
	f.store.Remove(platformtest.KindTargets, "i-1")
	write("ready", 1)
	assertRefused()
	write("ready", 2)
	f.eventually("the restarted target is called", func() bool { _, body := f.call("/a"); return body == "bye" })
	assertRefused()
}

// Guards against a fleet that goes on calling a target that leaves, and against calls that fail
// meanwhile.
func TestFleetLearnsThatATargetLeaves(t *testing.T) {
	f := newEngineFleet(t, 3, 4)
	f.warmUp(platformtest.PathChat)
	leaving := f.busiest()
	f.setLines(leaving, platformtest.LeavingLine)
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	repeat(ctx, 20*time.Millisecond, func(i int) {
		f.Check(f.call(platformtest.PathChat, "aa", fmt.Sprint("b", i%16), fmt.Sprint("d", i)), qt.Equals, http.StatusOK)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	var first time.Time
	late := 0
	for _, at := range f.arrivals[leaving] {
		switch {
		case at.Before(started):
		case first.IsZero():
			first = at
		case at.Sub(first) > time.Second:
			late++
		}
	}
	f.Assert(first.IsZero(), qt.IsFalse)
	f.Assert(late, qt.Equals, 0)
}

// busiest returns the number of the engine that has got most calls.
func (f *engineFleet) busiest() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := 0
	for engine, times := range f.arrivals {
		if len(times) > len(f.arrivals[best]) {
			best = engine
		}
	}
	return best
}
