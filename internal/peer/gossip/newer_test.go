package gossip_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// applyTime is the time within which a change must be in force with the default settings.
const applyTime = 2 * time.Second

// startWatchedFleet runs routers that know each other, in domains failure domains, and waits until
// all have the configuration and exactly one watches the store, which it returns first.
func (f *fixture) startWatchedFleet(count, domains int) []*router {
	f.configure(1)
	var routers []*router
	for i := range count {
		routers = append(routers, f.startPeerIn(fmt.Sprint("z-", i%domains), fmt.Sprint("r-", i), routers))
	}
	f.eventually("every router knows all others", func() bool {
		for _, r := range routers {
			if r.LiveCount() != count || r.watcher.View().Configuration == nil {
				return false
			}
		}
		return true
	})
	time.Sleep(applyTime) // The polls of all at the start are over.
	f.awaitWatcher(routers)
	return routers
}

// awaitWatcher waits until exactly one router has watched the store for a whole watch, and puts
// it first.
func (f *fixture) awaitWatcher(routers []*router) {
	f.Helper()
	since := time.Now()
	f.eventually("one router watches the store", func() bool {
		first, watching := 0, 0
		for i, r := range routers {
			if r.WatchesStore() {
				first = i
				watching++
			}
		}
		if watching != 1 {
			since = time.Now()
		}
		routers[0], routers[first] = routers[first], routers[0]
		return time.Since(since) > routers[0].watcher.WatchWait()
	})
}

// assertInForce fails if a router lacks a version of the configuration after applyTime.
func (f *fixture) assertInForce(routers []*router, version int, changed time.Time) {
	f.Helper()
	f.eventually("every router has the configuration", func() bool {
		for _, r := range routers {
			if r.watcher.View().Configuration.Version != int64(version) {
				return false
			}
		}
		return true
	})
	took := time.Since(changed)
	f.Logf("in force after %v", took)
	f.Assert(took < applyTime, qt.IsTrue, qt.Commentf("in force after %v", took))
}

// Guards against calls refused as only an older version allows (CONFIG, issue 36): the router
// that has the change tells of it and does not answer those that ask for it.
func TestChangeIsInForceInTimeAlthoughItsSourceIsSlow(t *testing.T) {
	for _, count := range []int{3, 14} {
		t.Run(fmt.Sprint(count, " routers"), func(t *testing.T) {
			f := newFixture(t)
			routers := f.startWatchedFleet(count, 3)
			routers[0].hangs.Store(true)
			f.configure(2)
			f.assertInForce(routers, 2, time.Now())
		})
	}
	t.Run("and it ends", func(t *testing.T) {
		f := newFixture(t)
		routers := f.startWatchedFleet(14, 3)
		routers[0].hangs.Store(true)
		f.configure(2)
		changed := time.Now()
		time.Sleep(20 * time.Millisecond)
		routers[0].stop()
		f.assertInForce(routers[1:], 2, changed)
	})
}

// Guards against calls refused as only an older version allows (CONFIG, issue 36, and case 5 of
// the review of hickoryrock): the entries of VMs that were replaced slow down how soon another
// router takes over the store's watch.
func TestChangeIsInForceInTimeAfterManyVMsWereReplaced(t *testing.T) {
	f := newFixture(t)
	routers := f.startWatchedFleet(3, 3)
	for _, r := range routers {
		for i := range 1800 {
			r.AddPeer(fmt.Sprintf("127.99.%d.%d:7340", i/250, 1+i%250))
		}
	}
	time.Sleep(4 * time.Second) // Beacons come at the new intervals.
	f.awaitWatcher(routers)
	routers[0].stop()
	f.configure(2)
	f.assertInForce(routers[1:], 2, time.Now())
}
