package edge

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform"
)

// Guards against a list of routers that grows with each VM that is replaced (issue 36, case 5 of the
// review of hickoryrock): nobody deletes the entries of routers that are gone.
func TestEntriesOfRoutersThatAreGoneAreDeleted(t *testing.T) {
	f := newEngineFleet(t, 2, 0)
	registered := func() []string { return f.store.Names(platform.KindRouters) }
	for end := time.Now().Add(eventuallyTimeout); len(registered()) < 2; time.Sleep(5 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue)
	}
	client, stop := platform.NewStore(f.storeAddress)
	t.Cleanup(stop)
	ctx := context.Background()
	f.Assert(client.Put(ctx, platform.KindRouters, "gone", platform.EncodeRouter(platform.Router{
		Name: "gone", CallerAddress: "127.99.0.1:8227", PeerAddress: "127.99.0.1:7340", FailureDomain: "d-0",
	})), qt.IsNil)
	r := f.processes[0]
	for end := time.Now().Add(eventuallyTimeout); r.fleet.LiveCount() < 2; time.Sleep(5 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue)
	}
	self := platform.Router{Name: r.settings.Router}
	r.maintainRegistrations(ctx, self, time.Hour)
	f.Assert(registered(), qt.DeepEquals, []string{"edge-0", "edge-1", "gone"})
	f.store.Remove(platform.KindRouters, "edge-1")
	time.Sleep(2 * time.Second)
	r.maintainRegistrations(ctx, self, 1500*time.Millisecond)
	f.Assert(registered(), qt.DeepEquals, []string{"edge-0", "edge-1"}, qt.Commentf("the live router is listed again, the other not"))
}
