package gossip

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetlimits"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/platform"
)

// Guards against a deadlock between a call that asks which routers may send to a limited
// target and a beacon of a router that has just started.
func TestLimitsWhileRoutersStart(t *testing.T) {
	c := qt.New(t)
	store, closeStore := platform.NewStore("127.0.0.1:1")
	defer closeStore()
	watcher := storewatch.New(store, zerolog.Nop(), func(*storewatch.Delta) {}, func() bool { return false })
	var f *Fleet
	limits := targetlimits.NewTracker(func() (uint64, []uint64) { return f.LiveRouters() },
		targetlimits.WithReportInterval(func() time.Duration { return f.ReportInterval() }))
	f, closeFleet, err := New(Identity{Router: "self", PeerAddress: "127.0.0.1:0", FailureDomain: "d-0"},
		func() State { return State{Serving: true, TargetCount: 1} },
		targetstats.NewTracker(func(targetstats.Change) {}), affinity.NewCacheIndex(), watcher, zerolog.Nop(), WithLimits(limits))
	c.Assert(err, qt.IsNil)
	defer closeFleet()
	const rounds = 3000
	var group sync.WaitGroup
	group.Go(func() {
		for i := range rounds {
			now := time.Now()
			limits.Observe(7, targetlimits.Limit{Named: true, PerSecond: float64(1 + i%2)}, now)
			limits.Allows(7, now)
		}
	})
	group.Go(func() {
		for i := range rounds {
			f.handleBeacon(&peerv1.Beacon{
				Router: fmt.Sprint("r-", i%5), Incarnation: uint64(i + 1), PeerAddress: fmt.Sprintf("127.0.0.%d:7340", 2+i%5), Serving: true,
			})
		}
	})
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("calls and beacons block each other")
	}
}
