package gossip_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startFleet starts n routers that know each other and the targets i-1 and i-2.
func (f *fixture) startFleet(n int) []*router {
	f.configure(1)
	f.target("i-1", "ready")
	f.target("i-2", "ready")
	var routers []*router
	for i := range n {
		routers = append(routers, f.startPeer(fmt.Sprint("r-", i), routers))
	}
	f.eventually("every router knows the targets and the others", func() bool {
		for _, r := range routers {
			if r.readyTargets() != 2 || r.LiveCount() < n {
				return false
			}
		}
		return true
	})
	return routers
}

func (f *fixture) startPeer(name string, others []*router) *router {
	return f.startPeerIn("z-"+name, name, others)
}

// startPeerIn starts a router in a failure domain that knows the others.
func (f *fixture) startPeerIn(failureDomain, name string, others []*router) *router {
	r := f.startIn(failureDomain, name, f.storeAddress)
	for _, other := range others {
		r.AddPeer(other.address)
	}
	return r
}

// hash returns the hash of a target that the router knows.
func (r *router) hash(id string) uint64 {
	for _, t := range r.watcher.View().Targets.ByService["s"] {
		if t.ID == id {
			return t.Hash
		}
	}
	return 0
}

// assertAllLeaving checks that every router gets to know that i-1 leaves, and uses i-2.
func (f *fixture) assertAllLeaving(routers []*router) {
	f.Helper()
	f.eventually("every router knows that the target leaves", func() bool {
		for _, r := range routers {
			if r.readyTargets() != 1 {
				return false
			}
		}
		return true
	})
	for _, r := range routers {
		for _, t := range r.watcher.View().Targets.ByService["s"] {
			f.Assert(t.Leaving, qt.Equals, t.ID == "i-1")
		}
	}
}

// Guards against routers that call a target until it has told each of them that it leaves.
func TestRoutersTellWhichTargetsLeave(t *testing.T) {
	f := newFixture(t)
	routers := f.startFleet(5)
	learned := time.Now()
	routers[2].watcher.RecordLeaving(routers[2].hash("i-1"))
	f.assertAllLeaving(routers)
	f.Assert(time.Since(learned) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(learned)))
	f.target("i-1", "draining")
	f.target("i-1", "ready")
	f.eventually("every router knows the entry", func() bool {
		for _, r := range routers {
			if r.watcher.View().Targets.Revision.Number != f.store.Revision() {
				return false
			}
		}
		return true
	})
	f.assertAllLeaving(routers)
}

// Guards against a router that starts later and calls a target that has said that it leaves.
func TestRoutersThatStartLearnWhichTargetsLeave(t *testing.T) {
	f := newFixture(t)
	routers := f.startFleet(3)
	routers[0].watcher.RecordLeaving(routers[0].hash("i-1"))
	f.assertAllLeaving(routers)
	time.Sleep(time.Second) // The announcements in beacons are over.
	for _, r := range routers {
		r.confirmed.Store(true)
	}
	started := f.startPeer("r-new", routers)
	f.eventually("a peer confirms the state", func() bool { return started.Confirm(t.Context()) })
	f.assertAllLeaving([]*router{started})
}
