package edge

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// listed returns the only target that the router knows.
func (f *fixture) listed() *state.Target {
	f.Helper()
	targets := f.router.watcher.View().Targets.ByService["s"]
	f.Assert(targets, qt.HasLen, 1)
	return targets[0]
}

// setTarget makes a target that refuses all requests with additional header lines the only one.
func (f *fixture) setTarget(born int, lines string) *rawserver.Server {
	server, stop, err := rawserver.New(func(c net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(c, platformtest.NotExecutedWith(r, lines))
		return err == nil
	})
	f.Assert(err, qt.IsNil)
	f.Cleanup(stop)
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target(server.Address(), "ready", born))
	f.eventually("the entry is known", func() bool {
		return f.router.watcher.View().Targets.Revision.Number == f.store.Revision()
	})
	return server
}

// Guards against requests to a target that has turned one away and wants none for a time, and
// against waiting for one that has restarted.
func TestTargetThatWantsNoRequestsForATime(t *testing.T) {
	f := newFixture(t)
	f.configure()
	server := f.setTarget(1, platformtest.RetryAfterLine("600"))
	for range 5 {
		status, _ := f.call("/a")
		f.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	}
	f.router.loadCacheFromEngine(context.Background(), http.DefaultClient, f.listed())
	f.Assert(server.Requests(), qt.HasLen, 1)
	w := httptest.NewRecorder()
	f.router.serveView(w, nil)
	var got view
	f.Assert(json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
	f.Assert(got.Targets, qt.HasLen, 1)
	f.Assert(got.Targets[0].WaitMS > 500_000, qt.IsTrue, qt.Commentf("%d ms", got.Targets[0].WaitMS))
	restarted := f.setTarget(2, "")
	_, _ = f.call("/a")
	f.Assert(restarted.Requests(), qt.HasLen, 1)
}

// Guards against what a target says in its answers to requests of the router itself.
func TestListOfACacheIsAnAnswer(t *testing.T) {
	load := func(f *fixture) {
		f.router.loadCacheFromEngine(context.Background(), http.DefaultClient, f.listed())
	}
	t.Run("that wants no requests for a time", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		server := f.setTarget(1, platformtest.RetryAfterLine("600"))
		load(f)
		f.Assert(f.router.targetBackoff.Remaining(f.listed().Hash, time.Now()) > 0, qt.IsTrue)
		_, _ = f.call("/a")
		f.Assert(server.Requests(), qt.HasLen, 1)
	})
	t.Run("that says that the target leaves", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		server := f.setTarget(1, platformtest.LeavingLine)
		load(f)
		f.Assert(f.listed().Leaving, qt.IsTrue)
		load(f)
		_, _ = f.call("/a")
		f.Assert(server.Requests(), qt.HasLen, 1)
	})
}
