package gossip_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

// readyTargets returns the number of targets that a router may call.
func (r *router) readyTargets() int {
	n := 0
	for _, t := range r.watcher.View().Targets.ByService["s"] {
		if !t.Draining {
			n++
		}
	}
	return n
}

// Guards against routers that miss changes because they learn of the store only from others,
// which have seen that it came back from an earlier state.
func TestFleetFollowsARestoredStore(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	f.target("i-1", "ready")
	f.target("i-2", "ready")
	f.target("i-3", "ready")
	f.store.Save()
	routers := make([]*router, 6)
	for i := range routers {
		storeAddress := f.storeAddress
		if i%2 == 1 {
			storeAddress = f.failingStoreAddress
		}
		routers[i] = f.start(fmt.Sprint("r-", i), storeAddress)
		for _, other := range routers[:i] {
			routers[i].AddPeer(other.address)
		}
	}
	eventuallyAll := func(what string, ready int, version int64) {
		f.Helper()
		f.eventually(what, func() bool {
			for _, r := range routers {
				c := r.watcher.View().Configuration
				if c == nil || c.Version != version || r.readyTargets() != ready {
					return false
				}
			}
			return true
		})
	}
	eventuallyAll("every router knows the targets", 3, 1)
	f.target("i-1", "draining")
	f.target("i-4", "ready")
	for v := 2; v <= 40; v++ {
		f.configure(v)
	}
	eventuallyAll("every router knows the changes", 3, 40)
	f.eventually("every router knows the revision", func() bool {
		for _, r := range routers {
			if r.watcher.View().Targets.Revision.Number != f.store.Revision() {
				return false
			}
		}
		return true
	})
	calls := f.store.Calls()
	f.store.Restore()
	f.target("i-2", "draining")
	changed := time.Now()
	eventuallyAll("every router knows that the target drains", 2, 40) // i-3, and i-4 for a time.
	f.Assert(time.Since(changed) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(changed)))
	started := f.start("r-new", f.storeAddress)
	for _, other := range routers {
		started.AddPeer(other.address)
	}
	routers = append(routers, started)
	f.store.Set(platformtest.KindTargets, "i-4", platformtest.Target("10.0.0.4:80", "ready", 4))
	f.configure(41)
	changed = time.Now()
	eventuallyAll("every router, a new one too, knows the targets that are left", 2, 41)
	f.Assert(time.Since(changed) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(changed)))
	f.Assert(f.store.Calls()-calls < 40, qt.IsTrue, qt.Commentf("%d calls", f.store.Calls()-calls))
}
