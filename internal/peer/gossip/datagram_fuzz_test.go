package gossip

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/policy/targetstats"
)

// FuzzDatagram guards against datagrams that end the process, at once or with the next beacon.
func FuzzDatagram(f *testing.F) {
	seed := func(kind byte, b *peerv1.Beacon) {
		data, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	limit := -1e300
	seed(kindDirect, &peerv1.Beacon{
		Router: "b", PeerAddress: "[::1]:9", FailureDomain: "z", Incarnation: 1, Number: 1, HasLoads: true, Serving: true,
		Loads:  []*peerv1.TargetLoad{{Target: 1, Calls: 1 << 31, UnreadTokens: 1 << 31, Results: 1 << 31, PaceSum: 1}},
		Homes:  []*peerv1.PromptHome{{Part: 1, Target: 1, UnreadTokens: 1 << 31}},
		Limits: []*peerv1.TargetLimit{{Target: 1, PerSecond: &limit, Sent: 1 << 31}},
		Windows: []*peerv1.TargetWindow{
			{Target: 1, Epoch: math.MaxUint32 - 1, Level: math.MaxUint32, Successes: math.MaxUint32}, {Target: 2, Epoch: 1}, {},
		},
	})
	seed(kindRelay, &peerv1.Beacon{
		Router: "c", PeerAddress: "127.0.0.1:9", FailureDomain: "a", Incarnation: 1, Number: 1,
		Change: &peerv1.TargetsChange{Revision: 2, Items: []*peerv1.TargetItem{
			{Entry: []byte(`{"metadata":{"name":5}}`), KeptMs: 1 << 31}, {Entry: []byte(`{"metadata":{"name":"x","revision":1e300}}`)}, {},
		}},
		Crashes:     []*peerv1.TargetCrash{{Target: 1, AgeMs: 1 << 31, Parts: []uint64{1}}},
		Answers:     []*peerv1.PartAnswer{{Part: 1, AgeMs: 1}},
		Quarantined: []*peerv1.QuarantinedPart{{Part: 1, Crashes: 1 << 31}},
		Evacuations: &peerv1.Evacuations{Era: 1 << 63, Revision: 1 << 63, Domains: []string{"", "a", "a", strings.Repeat("b", 200)}},
	})
	f.Add([]byte{kindBatch, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		watcher := storewatch.New(nil, zerolog.Nop(), nil, nil, storewatch.WithEvacuations(time.Second))
		fleet, stop, err := New(Identity{Router: "a", PeerAddress: "127.0.0.1:0", FailureDomain: "a"}, func() State { return State{} },
			targetstats.NewTracker(func(targetstats.Change) {}), affinity.NewCacheIndex(), watcher, zerolog.Nop(),
			WithQuarantine(quarantine.NewTracker()))
		if err != nil {
			t.Fatal(err)
		}
		stop() // Nothing is sent.
		fleet.handleDatagram(data)
		fleet.handleDatagram(data)
		fleet.sendRegular()
		fleet.sendQuarantine(true)
		fleet.sendLimits()
		fleet.sendWindows()
		fleet.markLost(time.Now().Add(time.Hour))
		fleet.CallerAddresses("a", 64)
		watcher.Snapshot(0, watcher.View().Targets.Revision)
	})
}
