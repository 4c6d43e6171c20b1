package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// busyStarts bounds the starts of routers in one test whose results say nothing because this process
// stood still.
const busyStarts = 20

// A restarted router reads a cached list that is seconds old. It must serve no call
// with a key that has been withdrawn meanwhile, and send none to a target that has left.
// After 400 ms without a confirmation it serves with the view that it has, so that a start counts
// only if the store was read in that time. If it was not, this process must have stood still.
func TestRestartDoesNotUseWithdrawnState(t *testing.T) {
	isConfirmed := false
	for start := 1; !isConfirmed; start++ {
		qt.Assert(t, start <= busyStarts, qt.IsTrue, qt.Commentf("no view was confirmed in %d starts", busyStarts))
		isPassed := t.Run(fmt.Sprint("start ", start), func(t *testing.T) { isConfirmed = restartWithWithdrawnState(t) })
		qt.Assert(t, isPassed, qt.IsTrue)
	}
}

// restartWithWithdrawnState starts a router on a cached list with a withdrawn key and a target that
// has left. It reports whether the router confirmed its view in time, and fails if it used either
// nevertheless, or if the machine does not explain that the view was not confirmed.
func restartWithWithdrawnState(t *testing.T) bool {
	c := qt.New(t)
	gone, stop, err := rawserver.New(func(conn net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(conn, platformtest.Response(r, "200 OK", "", "x"))
		return err == nil
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	store := platformtest.NewStore()
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.KeyConfiguration(1, "key"))
	store.Set(platformtest.KindTargets, "i-gone", platformtest.Target(gone.Address(), "ready", 0))
	store.FreezeCachedLists(true)
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.KeyConfiguration(2, "other"))
	store.Remove(platformtest.KindTargets, "i-gone")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stall := measureStall(ctx)
	log := new(logBuffer)
	f := newFixtureWithTarget(t, store, func(net.Conn, rawserver.Request) bool { return false }, zerolog.New(log))
	checks := func() []string { return log.linesWith("view checked after a start or a pause") }
	f.eventually("the withdrawn key is refused", func() bool {
		status, _ := f.callWith(platformtest.PathSafe, platformtest.AuthorizationLine)
		return status == 401 || len(log.linesWith("view checked after a start or a pause", `"confirmed":false`)) > 0
	})
	f.eventually("the view is checked", func() bool { return len(checks()) > 0 })
	if !strings.Contains(checks()[0], `"confirmed":true`) {
		cancel()
		longest := <-stall
		f.Logf("not confirmed, stall %v: %s", longest, checks()[0])
		f.Assert(longest > answerStall, qt.IsTrue, qt.Commentf("not confirmed, stall %v", longest))
		return false
	}
	f.Assert(len(gone.Requests()), qt.Equals, 0)
	f.Assert(len(f.router.watcher.View().Targets.ByService["s"]), qt.Equals, 0)
	return true
}
