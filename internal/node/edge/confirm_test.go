package edge

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// A restarted router reads a cached list that is seconds old. It must serve no call
// with a key that has been withdrawn meanwhile, and send none to a target that has left.
func TestRestartDoesNotUseWithdrawnState(t *testing.T) {
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
	f := newFixtureWithStore(t, store)
	f.eventually("the withdrawn key is refused", func() bool {
		status, _ := f.callWith(platformtest.PathSafe, platformtest.AuthorizationLine)
		return status == 401
	})
	f.Assert(len(gone.Requests()), qt.Equals, 0)
	f.Assert(len(f.router.watcher.View().Targets.ByService["s"]), qt.Equals, 0)
}
