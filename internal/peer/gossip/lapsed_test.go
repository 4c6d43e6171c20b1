package gossip_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

// Guards against calls to a target that has left (DRAIN, case 3 of the review of hickoryrock): its
// entry lapses while the store is down, the store returns without its history, and only the
// router that has seen the outage removes the entry in the end.
func TestEntryThatLapsedDuringAnOutageIsRemovedByAllRouters(t *testing.T) {
	f := newFixture(t)
	f.target("i-1", "ready")
	f.target("i-2", "ready")
	routers := f.startWatchedFleet(4, 2)
	f.eventually("every router knows the targets", func() bool { return f.countTargets(routers) == 8 })
	f.store.Fail(http.StatusServiceUnavailable)
	time.Sleep(2500 * time.Millisecond)
	f.store.Remove(platformtest.KindTargets, "i-1")
	f.store.Compact()
	f.store.Fail(0)
	time.Sleep(500 * time.Millisecond)
	f.Assert(f.countTargets(routers), qt.Equals, 8, qt.Commentf("the target has two seconds to write its entry again"))
	f.eventually("no router knows the target that has left", func() bool { return f.countTargets(routers) == 4 })
}

// countTargets returns the sum of the targets that the routers know.
func (f *fixture) countTargets(routers []*router) (n int) {
	for _, r := range routers {
		n += r.localState().TargetCount
	}
	return n
}
