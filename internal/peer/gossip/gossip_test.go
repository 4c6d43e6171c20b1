package gossip_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/affinity"
	"hickoryrock/platform/platformtest"
)

func TestRoutersDiscoverEachOther(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	a, b := f.start("a", f.storeAddress), f.start("b", f.storeAddress)
	cc := f.start("c", f.storeAddress)
	b.AddPeer(a.address)
	cc.AddPeer(a.address)
	f.eventually("a router discovers the peers that were given its address", func() bool { return a.LiveCount() == 3 })
	b.AddPeer(cc.address)
	f.eventually("callers get all addresses, those of the failure domain first", func() bool {
		list := b.CallerAddresses("z-b", 10)
		return len(list) == 3 && list[0] == "callers-of-b"
	})
	f.Assert(len(b.CallerAddresses("", 2)), qt.Equals, 2)
	cc.Leave()
	f.eventually("a leaving router is not returned", func() bool { return len(a.CallerAddresses("", 10)) == 2 })
	b.stop()
	f.eventually("a lost router is not returned", func() bool { return len(a.CallerAddresses("", 10)) == 1 })
}

// After a loss of all VMs, a starting router decides by the first beacons that it
// receives whether it reads the contents of the targets' prefix caches itself. In a
// small fleet these beacons must arrive within DiscoveryTime.
func TestSmallFleetDiscoveryTime(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	a, b := f.start("a", f.storeAddress), f.start("b", f.storeAddress)
	for range 5 {
		late := f.start("late", f.storeAddress)
		watch := f.startStopwatch()
		late.AddPeer(a.address)
		late.AddPeer(b.address)
		f.eventually("both peers are live", func() bool { return late.LiveCount() == 3 })
		watch.assertWithin(late.DiscoveryTime())
		late.stop()
	}
}

// The store refuses one router while it serves the others; that router must learn
// the configuration and every change of targets from its peers.
func TestRouterRefusedByStore(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	f.target("i-1", "ready")
	a, b := f.start("a", f.storeAddress), f.start("b", f.failingStoreAddress)
	b.AddPeer(a.address)
	f.eventually("the router has the configuration and the target", func() bool {
		s := b.localState()
		return s.ConfigurationVersion == 1 && s.TargetCount == 1
	})
	f.configure(2)
	f.target("i-1", "draining")
	since := time.Now()
	f.eventually("the router learns of the changes", func() bool {
		v := b.watcher.View()
		return v.Configuration.Version == 2 && len(v.Targets.ByService["s"]) == 1 && v.Targets.ByService["s"][0].Draining
	})
	f.Assert(time.Since(since) < time.Second, qt.IsTrue)
	f.store.Remove(platformtest.KindTargets, "i-1")
	f.eventually("the router learns of the deletion", func() bool { return b.localState().TargetCount == 0 })
	f.Assert(b.localState().TargetsDigest, qt.Equals, a.localState().TargetsDigest)
}

func TestFewRoutersWatchTheStore(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	routers := make([]*router, 5)
	for i := range routers {
		routers[i] = f.start(string(rune('a'+i)), f.storeAddress)
		for _, other := range routers[:i] {
			routers[i].AddPeer(other.address)
		}
	}
	f.eventually("every router has discovered all others", func() bool {
		for _, r := range routers {
			if r.LiveCount() != len(routers) {
				return false
			}
		}
		return true
	})
	watchers := func() (watching []*router) {
		for _, r := range routers {
			if r.WatchesStore() {
				watching = append(watching, r)
			}
		}
		return watching
	}
	f.eventually("one router watches the store", func() bool { return len(watchers()) == 1 })
	before := f.store.Calls()
	time.Sleep(2 * time.Second)
	// One router watches two kinds of objects with watches of 700 ms.
	f.Assert(f.store.Calls()-before <= 2*3+2, qt.IsTrue, qt.Commentf("%d calls", f.store.Calls()-before))
	f.target("i-1", "ready")
	since := time.Now()
	f.eventually("every router learns of the change", func() bool {
		for _, r := range routers {
			if r.localState().TargetCount != 1 {
				return false
			}
		}
		return true
	})
	f.Assert(time.Since(since) < 500*time.Millisecond, qt.IsTrue)
	stopped := watchers()[0]
	since = time.Now()
	stopped.stop()
	f.eventually("another router takes over the watch", func() bool {
		n := 0
		for _, r := range watchers() {
			if r != stopped {
				n++
			}
		}
		return n == 1
	})
	f.target("i-2", "ready")
	f.eventually("the other routers learn of a change from the new watcher", func() bool {
		for _, r := range routers {
			if r != stopped && r.localState().TargetCount != 2 {
				return false
			}
		}
		return true
	})
	// A draining target must receive no calls after 2 s.
	f.Assert(time.Since(since) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(since)))
}

// Guards against incident inc-810d of sarung-kaki: a router that starts while the
// store is unavailable refuses its callers until a peer has sent it a
// configuration, so it must fetch one without delay.
func TestStartWithoutStoreFetchesImmediately(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	a := f.start("a", f.storeAddress)
	f.eventually("the peer has a configuration", func() bool { return a.localState().Serving })
	f.store.Fail(503)
	f.eventually("no router counts as served by the store", func() bool {
		return a.localState().StoreAge > 2*a.watcher.WatchWait()
	})
	for range 3 {
		late := f.start("late", f.failingStoreAddress)
		watch := f.startStopwatch()
		late.AddPeer(a.address)
		f.eventually("the new router has the configuration", func() bool { return late.localState().Serving })
		watch.assertWithin(150 * time.Millisecond)
		late.stop()
	}
}

// A router that relays beacons into its failure domain is killed; the loads must
// still reach the other routers of that domain in time, through other relays.
func TestLoadsReachFailureDomainAfterRelayFailure(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	a := f.startIn("x", "a", f.storeAddress)
	others := []*router{f.startIn("y", "b", f.storeAddress), f.startIn("y", "c", f.storeAddress), f.startIn("y", "d", f.storeAddress)}
	for i, r := range others {
		r.AddPeer(a.address)
		for _, other := range others[:i] {
			r.AddPeer(other.address)
		}
	}
	f.eventually("every router has discovered all others", func() bool {
		for _, r := range others {
			if r.LiveCount() != 4 {
				return false
			}
		}
		return a.LiveCount() == 4
	})
	others[0].stop()
	call := a.tracker.Begin(7, 0, time.Now())
	since := time.Now()
	f.eventually("the other routers count the call", func() bool {
		for _, r := range others[1:] {
			if r.tracker.Summaries([]uint64{7}, time.Now())[0].Calls != 1 {
				return false
			}
		}
		return true
	})
	f.Assert(time.Since(since) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(since)))
	f.Assert(others[1].LiveCount() >= 3, qt.IsTrue)
	call.End()
}

func TestLoadsAndHoldingsSpread(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	a, b := f.start("a", f.storeAddress), f.start("b", f.storeAddress)
	b.AddPeer(a.address)
	f.eventually("the routers discover each other", func() bool { return a.LiveCount() == 2 && b.LiveCount() == 2 })
	a.tracker.Begin(7, 0, time.Now())
	f.eventually("the call is counted", func() bool {
		return b.tracker.Summaries([]uint64{7}, time.Now())[0].Calls == 1
	})
	shared := []affinity.Part{{Hash: 1, Tokens: 900}}
	a.cacheIndex.Assign(shared, 7, 910, time.Now())
	f.eventually("the peer knows the holding", func() bool { return len(b.cacheIndex.Holdings(time.Now())) == 1 })
	late := f.start("c", f.storeAddress)
	late.AddPeer(b.address)
	f.eventually("a later router expects the contents from an older one", func() bool { return late.CacheSource().Expected })
	f.Assert(late.CacheSource().Address, qt.Equals, "", qt.Commentf("no router has loaded the caches yet"))
	f.Assert(late.FetchCaches(context.Background(), "b", b.address), qt.IsFalse)
	b.cacheIndex.MarkRestored()
	f.eventually("the later router learns who has the contents", func() bool { return late.CacheSource().Address == b.address })
	f.Assert(late.FetchCaches(context.Background(), "b", b.address), qt.IsTrue)
	f.Assert(len(late.cacheIndex.Holdings(time.Now())), qt.Equals, 1)
}

// After a loss of all VMs, one router of each failure domain reads the engines' caches.
// Their contents take a good part of a second on a small VM's link, so that the others
// must pass them on among themselves.
func TestCacheContentsSpreadFromRouterToRouter(t *testing.T) {
	const (
		count    = 24
		sendTime = 60 * time.Millisecond
	)
	f := newFixture(t)
	f.configure(1)
	f.slowCaches = sendTime
	var routers []*router
	for i := range count {
		r := f.startIn("x", fmt.Sprint("r-", i), f.storeAddress)
		for _, other := range routers {
			r.AddPeer(other.address)
		}
		routers = append(routers, r)
	}
	f.eventually("every router has discovered all others", func() bool {
		for _, r := range routers {
			if r.LiveCount() != count {
				return false
			}
		}
		return true
	})
	shared := []affinity.Part{{Hash: 1, Tokens: 900}}
	routers[0].cacheIndex.Assign(shared, 7, 910, time.Now())
	since := time.Now()
	routers[0].cacheIndex.MarkRestored()
	routers[0].AnnounceCaches()
	var group sync.WaitGroup
	for _, r := range routers[1:] {
		group.Go(func() {
			for {
				if source := r.CacheSource(); source.Address != "" && r.FetchCaches(context.Background(), source.Router, source.Address) {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			r.cacheIndex.MarkRestored()
			r.AnnounceCaches()
		})
	}
	group.Wait()
	f.Assert(time.Since(since) < count/2*sendTime, qt.IsTrue, qt.Commentf("%v", time.Since(since)))
	for _, r := range routers {
		f.Assert(r.cacheSends.Load() <= count/2, qt.IsTrue, qt.Commentf("one router sent %d times", r.cacheSends.Load()))
	}
}

// In a large fleet, a new configuration that every router fetched from the one that
// read the store would take seconds on that router's link. The first routers of each
// failure domain must fetch it from there and the others from them.
func TestConfigurationIsFetchedFromNearRouters(t *testing.T) {
	const perDomain = 8
	f := newFixture(t)
	f.configure(1)
	var routers []*router
	for i := range 3 * perDomain {
		r := f.startIn(string(rune('x'+i%3)), fmt.Sprint("r-", i), f.storeAddress)
		for _, other := range routers {
			r.AddPeer(other.address)
		}
		routers = append(routers, r)
	}
	all := func(what string, holds func(r *router) bool) {
		f.Helper()
		f.eventually(what, func() bool {
			for _, r := range routers {
				if !holds(r) {
					return false
				}
			}
			return true
		})
	}
	all("every router has discovered all others", func(r *router) bool { return r.LiveCount() == len(routers) })
	f.eventually("one router watches the store", func() bool {
		n := 0
		for _, r := range routers {
			if r.WatchesStore() {
				n++
			}
		}
		return n == 1
	})
	all("every router has the first configuration", func(r *router) bool { return r.localState().ConfigurationVersion == 1 })
	for _, r := range routers {
		r.snapshots.Store(0)
	}
	since := time.Now()
	f.configure(2)
	all("every router has the new configuration", func(r *router) bool { return r.localState().ConfigurationVersion == 2 })
	f.Assert(time.Since(since) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(since)))
	most := int64(0)
	for _, r := range routers {
		most = max(most, r.snapshots.Load())
	}
	// Its own domain and two routers of each other one.
	f.Assert(most <= perDomain+2*2+1, qt.IsTrue, qt.Commentf("one router was asked for %d snapshots", most))
}
