package edge

import (
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
