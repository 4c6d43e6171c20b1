package gossip_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

const evacuationBound = 3 * time.Second

// evacuated returns the failure domains whose targets a router knows to be evacuated.
func (r *router) evacuated() []string {
	var domains []string
	for _, t := range r.watcher.View().Targets.ByService["s"] {
		if t.Evacuated {
			domains = append(domains, t.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}

// startEvacuating starts routers that know each other, and a target in each of the failure domains
// east and west. The store turns away each router whose number isRefused contains.
func (f *fixture) startEvacuating(n int, isRefused ...int) []*router {
	f.evacuationBound = evacuationBound
	f.configure(1)
	for _, domain := range []string{"east", "west"} {
		f.store.Set(platformtest.KindTargets, "i-"+domain, platformtest.TargetIn(domain, "10.0.0.1:80", "ready", 0))
	}
	var routers []*router
	for i := range n {
		address := f.storeAddress
		if slices.Contains(isRefused, i) {
			address = f.failingStoreAddress
		}
		r := f.startIn(fmt.Sprint("z-", i%2), fmt.Sprint("r-", i), address)
		for _, other := range routers {
			r.AddPeer(other.address)
		}
		routers = append(routers, r)
	}
	f.eventually("every router knows the targets, the others and a set of evacuations", func() bool {
		for _, r := range routers {
			if _, known := r.watcher.Evacuations(); !known || r.readyTargets() != 2 || r.LiveCount() < n {
				return false
			}
		}
		return true
	})
	return routers
}

// assertEvacuated checks that every router knows in time that exactly these failure domains are
// evacuated.
func (f *fixture) assertEvacuated(routers []*router, domains ...string) {
	f.Helper()
	changed := time.Now()
	f.eventually(fmt.Sprintf("every router knows that %q are evacuated", domains), func() bool {
		for _, r := range routers {
			if !slices.Equal(r.evacuated(), domains) {
				return false
			}
		}
		return true
	})
	f.Assert(time.Since(changed) < evacuationBound, qt.IsTrue, qt.Commentf("%v", time.Since(changed)))
}

func (f *fixture) evacuate(domain string) { f.store.Set(platformtest.KindEvacuations, domain, "{}") }

// Guards against routers that do not watch the store, or are turned away by it, and go on calling
// the targets of an evacuated failure domain, or never call them again.
func TestFleetLearnsOfEvacuations(t *testing.T) {
	f := newFixture(t)
	routers := f.startEvacuating(5, 1, 3)
	f.evacuate("east")
	f.assertEvacuated(routers, "east")
	f.evacuate("west")
	f.assertEvacuated(routers, "east", "west")
	f.store.Remove(platformtest.KindEvacuations, "east")
	f.assertEvacuated(routers, "west")
	f.evacuate("east")
	f.store.Remove(platformtest.KindEvacuations, "west")
	f.assertEvacuated(routers, "east")
	f.store.Remove(platformtest.KindEvacuations, "east")
	f.assertEvacuated(routers)
}

// Guards against a router that starts during an evacuation and does not know it, because the store
// turns it away or its cached list is from before.
func TestRoutersThatStartLearnOfEvacuations(t *testing.T) {
	for _, isRefused := range []bool{false, true} {
		t.Run(fmt.Sprint("turned away: ", isRefused), func(t *testing.T) {
			f := newFixture(t)
			routers := f.startEvacuating(3)
			f.store.FreezeCachedLists(true)
			f.evacuate("east")
			f.assertEvacuated(routers, "east")
			time.Sleep(time.Second) // The announcements are over.
			address := f.storeAddress
			if isRefused {
				address = f.failingStoreAddress
			}
			started := f.start("r-new", address)
			for _, r := range routers {
				started.AddPeer(r.address)
			}
			f.assertEvacuated([]*router{started}, "east")
			f.store.Remove(platformtest.KindEvacuations, "east")
			f.assertEvacuated(append(routers, started))
		})
	}
	t.Run("with the snapshot that confirms its view", func(t *testing.T) {
		f := newFixture(t)
		routers := f.startEvacuating(3)
		f.evacuate("west")
		f.assertEvacuated(routers, "west")
		for _, r := range routers {
			r.confirmed.Store(true)
		}
		started := f.start("r-new", f.failingStoreAddress)
		started.AddPeer(routers[0].address)
		f.eventually("a peer confirms the view", func() bool { return started.Confirm(t.Context()) })
		f.Assert(started.evacuated(), qt.DeepEquals, []string{"west"})
	})
}

// Guards against evacuations that nobody learns of once the router that watched the store is lost,
// and against routers that forget them while the store is away.
func TestEvacuationsWhileRoutersAndTheStoreAreLost(t *testing.T) {
	f := newFixture(t)
	routers := f.startEvacuating(4)
	f.awaitWatcher(routers)
	f.evacuate("east")
	f.assertEvacuated(routers, "east")
	routers[0].stop()
	f.evacuate("west")
	f.assertEvacuated(routers[1:], "east", "west")
	f.store.Fail(503)
	time.Sleep(2 * time.Second)
	f.assertEvacuated(routers[1:], "east", "west")
	f.store.Remove(platformtest.KindEvacuations, "west")
	f.store.Fail(0)
	f.assertEvacuated(routers[1:], "east")
}

// Guards against routers that keep the evacuations from before the store came back from an earlier
// state, since its revisions are lower.
func TestFleetFollowsTheEvacuationsOfARestoredStore(t *testing.T) {
	f := newFixture(t)
	routers := f.startEvacuating(4, 2)
	f.evacuate("west")
	f.assertEvacuated(routers, "west")
	f.store.Save()
	for v := 2; v <= 40; v++ {
		f.configure(v)
	}
	f.evacuate("east")
	f.assertEvacuated(routers, "east", "west")
	f.store.Restore()
	f.assertEvacuated(routers, "west")
	f.store.Remove(platformtest.KindEvacuations, "west")
	f.assertEvacuated(routers)
}

// Guards against beacons of a router that has no bound on evacuations and yet names or takes some.
func TestNoEvacuationsInBeaconsWithoutABound(t *testing.T) {
	f := newFixture(t)
	with := f.startEvacuating(1)
	f.evacuate("east")
	f.assertEvacuated(with, "east")
	f.evacuationBound = 0
	without := f.start("r-without", f.storeAddress)
	without.AddPeer(with[0].address)
	f.eventually("the routers know each other and the targets", func() bool {
		return without.LiveCount() == 2 && with[0].LiveCount() == 2 && without.readyTargets() == 2
	})
	time.Sleep(time.Second) // Several beacons with the identity.
	f.Assert(without.evacuated(), qt.HasLen, 0)
	f.assertEvacuated(with, "east")
}
