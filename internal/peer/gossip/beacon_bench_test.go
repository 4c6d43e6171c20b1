package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/platform"
)

// BenchmarkBeacon measures what a router of a fleet of 295 spends on one beacon of
// another router: a regular one with loads, and one with new holdings.
func BenchmarkBeacon(b *testing.B) {
	const routers, targets = 295, 240
	store, closeStore := platform.NewStore("127.0.0.1:1")
	defer closeStore()
	watcher := storewatch.New(store, zerolog.Nop(), func(*storewatch.Delta) {}, func() bool { return false })
	f, closeFleet, err := New(Identity{Router: "self", PeerAddress: "127.0.0.1:0", FailureDomain: "d-0"},
		func() State { return State{Serving: true, TargetCount: targets} },
		targetstats.NewTracker(func(targetstats.Change) {}), affinity.NewCacheIndex(), watcher, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	defer closeFleet()
	loads := make([]targetstats.Load, 8)
	holdings := make([]affinity.Holding, 3)
	for i := range loads {
		loads[i] = targetstats.Load{Target: uint64(i + 1), Calls: 1, PendingTokens: 500, Results: 3}
	}
	for i := range holdings {
		holdings[i] = affinity.Holding{Part: uint64(i + 1), Target: 1, PrefillTokens: 500}
	}
	encode := func(router int, number uint32, change func(*peerv1.Beacon)) []byte {
		address := fmt.Sprintf("10.0.%d.%d:7340", router/250, 1+router%250)
		beacon := &peerv1.Beacon{
			Incarnation: 1, Serving: true, ConfigurationVersion: 7, TargetsRevision: 900, TargetsDigest: 11,
			StoreAgeMs: 400, Sender: senderID(address), Number: number,
		}
		if number == 1 {
			beacon.Router, beacon.PeerAddress = fmt.Sprint("r-", router), address
			beacon.FailureDomain, beacon.CallerAddress = fmt.Sprint("d-", router%6), address
		}
		change(beacon)
		data, err := proto.Marshal(beacon)
		if err != nil {
			b.Fatal(err)
		}
		return data
	}
	receive := func(data []byte) {
		beacon := new(peerv1.Beacon)
		if err := proto.Unmarshal(data, beacon); err != nil {
			b.Fatal(err)
		}
		if beacon = f.restoreIdentity(beacon); beacon != nil {
			f.handleBeacon(beacon)
		}
	}
	for router := range routers {
		receive(encode(router, 1, func(*peerv1.Beacon) {}))
	}
	for name, change := range map[string]func(*peerv1.Beacon){
		"loads":    func(p *peerv1.Beacon) { p.HasLoads, p.Loads = true, encodeLoads(loads) },
		"holdings": func(p *peerv1.Beacon) { p.Homes = encodeHoldings(holdings) },
	} {
		b.Run(name, func(b *testing.B) {
			number := uint32(time.Now().UnixMilli())
			for b.Loop() {
				b.StopTimer()
				number++
				data := encode(7, number, change)
				b.StartTimer()
				receive(data)
			}
		})
	}
}
