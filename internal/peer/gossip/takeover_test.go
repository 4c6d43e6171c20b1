package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/platform"
)

// Guards against calls refused as only an older version allows (CONFIG, issue 36): in a fleet of
// any size another router must take over the store's watch well within the time in which a
// change must be in force.
func TestStoreWatchIsTakenOverInTimeInFleetsOfAnySize(t *testing.T) {
	for _, size := range []int{6, 85, 295} {
		t.Run(fmt.Sprint(size, " routers"), func(t *testing.T) {
			c := qt.New(t)
			f := newTestFleet(c)
			// The router of the test comes second: one that watches the store comes before it.
			for i := range size - 1 {
				name := nameRanked(f, i > 0, i)
				age := uint32(time.Hour.Milliseconds())
				if i == 0 {
					age = 0
				}
				f.handleBeacon(&peerv1.Beacon{
					Router: name, Incarnation: 1, Number: 1, PeerAddress: fmt.Sprintf("10.0.%d.%d:7340", i/250, 1+i%250),
					FailureDomain: fmt.Sprint("d-", i%4), Serving: true, StoreAgeMs: age,
				})
			}
			c.Assert(f.LiveCount(), qt.Equals, size)
			c.Assert(f.WatchesStore(), qt.IsFalse)
			f.mu.Lock()
			for _, p := range f.peers {
				if storeAge(p.beacon) == 0 {
					p.lastContact = time.Now().Add(-750 * time.Millisecond)
				}
			}
			f.mu.Unlock()
			f.markLost(time.Now())
			c.Assert(f.WatchesStore(), qt.IsTrue)
		})
	}
}

// newTestFleet returns a fleet that neither sends nor receives.
func newTestFleet(c *qt.C) *Fleet {
	store, closeStore := platform.NewStore("127.0.0.1:1")
	c.Cleanup(closeStore)
	watcher := storewatch.New(store, zerolog.Nop(), func(*storewatch.Delta) {}, func() bool { return false })
	f, closeFleet, err := New(Identity{Router: "self", PeerAddress: "127.0.0.1:0", FailureDomain: "d-0"},
		func() State { return State{Serving: true, StoreAge: time.Hour} },
		targetstats.NewTracker(func(targetstats.Change) {}), affinity.NewCacheIndex(), watcher, zerolog.Nop())
	c.Assert(err, qt.IsNil)
	c.Cleanup(closeFleet)
	return f
}

// nameRanked returns a name that comes before or after that of the fleet's own router.
func nameRanked(f *Fleet, after bool, seed int) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("r-%d-%d", seed, i)
		if watcherRank(name) > watcherRank(f.self.Router) == after {
			return name
		}
	}
}
