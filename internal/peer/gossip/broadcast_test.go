package gossip

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetstats"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// newPeers returns live peers, with the given number of routers per failure domain.
func newPeers(sizes map[string]int) map[string]*peer {
	peers := make(map[string]*peer)
	n := 0
	for domain, size := range sizes {
		for range size {
			n++
			address := fmt.Sprintf("10.0.%d.%d:7340", n/250, 1+n%250)
			peers[address] = &peer{
				address: netip.MustParseAddrPort(address), lastContact: start, live: true,
				beacon: &peerv1.Beacon{FailureDomain: domain},
			}
		}
	}
	return peers
}

var self = relayCandidate{address: netip.MustParseAddrPort("10.9.9.9:7340")}

// deliveriesPerPeer returns how many copies of a broadcast from domain each peer
// receives, counting those that relays forward.
func deliveriesPerPeer(peers map[string]*peer, r route, domain string) map[netip.AddrPort]int {
	out := make(map[netip.AddrPort]int)
	forward := func(to string, except netip.AddrPort) {
		for _, p := range peers {
			if p.address != except && p.live && p.beacon.GetFailureDomain() == to {
				out[p.address]++
			}
		}
	}
	for _, d := range r.known {
		out[d.address]++
		if d.kind == kindRelay {
			forward(peers[d.address.String()].beacon.GetFailureDomain(), d.address)
		}
	}
	if r.relaySelf {
		forward(domain, self.address)
	}
	return out
}

func countRemote(peers map[string]*peer, sent []destination, domain string) int {
	n := 0
	for _, d := range sent {
		if peers[d.address.String()].beacon.GetFailureDomain() != domain {
			n++
		}
	}
	return n
}

// Traffic between failure domains is expensive: a broadcast must cross to each other
// domain once and still reach every router exactly once. In a large fleet the sender
// must send no more than one datagram for each domain.
func TestBroadcastCrossesToEachFailureDomainOnce(t *testing.T) {
	for name, test := range map[string]struct {
		sizes map[string]int
		most  int
	}{
		"9 routers in 3 domains":   {map[string]int{"a": 2, "b": 3, "c": 3}, 2 + 2},
		"87 routers in 4 domains":  {map[string]int{"a": 21, "b": 22, "c": 22, "d": 21}, 21 + 3},
		"295 routers in 6 domains": {map[string]int{"a": 50, "b": 44, "c": 57, "d": 45, "e": 56, "f": 42}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			peers := newPeers(test.sizes)
			for seed := range uint64(50) {
				r := newRoute(peers, len(peers), self, "a", seed, start)
				c.Assert(len(r.unknown), qt.Equals, 0)
				c.Assert(len(r.known) <= test.most, qt.IsTrue, qt.Commentf("%d datagrams", len(r.known)))
				c.Assert(countRemote(peers, r.known, "a"), qt.Equals, len(test.sizes)-1)
				got := deliveriesPerPeer(peers, r, "a")
				c.Assert(len(got), qt.Equals, len(peers))
				for address, n := range got {
					c.Assert(n, qt.Equals, 1, qt.Commentf("%v", address))
				}
			}
		})
	}
}

func TestRelaysRotate(t *testing.T) {
	c := qt.New(t)
	peers := newPeers(map[string]int{"a": 1, "b": 3})
	relays := make(map[netip.AddrPort]int)
	for seed := range uint64(300) {
		for _, d := range newRoute(peers, len(peers), self, "a", seed, start).known {
			if d.kind == kindRelay {
				relays[d.address]++
			}
		}
	}
	c.Assert(len(relays), qt.Equals, 3)
	for address, n := range relays {
		c.Assert(n > 60, qt.IsTrue, qt.Commentf("%v: %d of 300", address, n))
	}
}

// Guards against relays whose links are full: calls through a router that sends the beacons of 220
// routers on to 54 others waited for seconds behind them at 10 Mbit/s.
func TestRelaysOfLargeFleetsHaveFastLinks(t *testing.T) {
	const fast, slow = 200_000, 10_000
	newFleet := func(links func(i int) uint32) map[string]*peer {
		peers := newPeers(map[string]int{"a": 54, "b": 55, "c": 55, "d": 55})
		for i, address := range slices.Sorted(maps.Keys(peers)) {
			peers[address].beacon.LinkKbit = links(i)
		}
		return peers
	}
	// relays returns the relays outside the own domain for successive seeds.
	relays := func(c *qt.C, peers map[string]*peer, domain string) []netip.AddrPort {
		var list []netip.AddrPort
		for seed := range uint64(200) {
			r := newRoute(peers, len(peers), self, "a", seed, start)
			for address, n := range deliveriesPerPeer(peers, r, "a") {
				c.Assert(n, qt.Equals, 1, qt.Commentf("%v", address))
			}
			for _, d := range r.known {
				if p := peers[d.address.String()]; p.beacon.GetFailureDomain() == domain {
					list = append(list, d.address)
				}
			}
		}
		c.Assert(list, qt.HasLen, 200)
		return list
	}
	assertTurns := func(c *qt.C, list []netip.AddrPort, want int) {
		c.Helper()
		distinct := make(map[netip.AddrPort]bool)
		for i, relay := range list {
			distinct[relay] = true
			c.Assert(i > 0 && relay == list[i-1], qt.IsFalse, qt.Commentf("twice in a row"))
		}
		c.Assert(len(distinct), qt.Equals, want)
	}
	t.Run("two fast links in each domain", func(t *testing.T) {
		c := qt.New(t)
		peers := newFleet(func(int) uint32 { return slow })
		for _, domain := range []string{"b", "c", "d"} {
			n := 0
			for _, p := range peers {
				if p.beacon.GetFailureDomain() == domain && n < 2 {
					p.beacon.LinkKbit, n = fast, n+1
				}
			}
			list := relays(c, peers, domain)
			assertTurns(c, list, 2)
			for _, relay := range list {
				c.Assert(peers[relay.String()].beacon.GetLinkKbit(), qt.Equals, uint32(fast))
			}
		}
	})
	t.Run("one fast link takes turns with another router", func(t *testing.T) {
		peers := newFleet(func(int) uint32 { return slow })
		for _, p := range peers {
			if p.beacon.GetFailureDomain() == "b" {
				p.beacon.LinkKbit = fast
				break
			}
		}
		assertTurns(qt.New(t), relays(qt.New(t), peers, "b"), 2)
	})
	t.Run("equal or unknown links", func(t *testing.T) {
		for _, link := range []uint32{0, slow} {
			assertTurns(qt.New(t), relays(qt.New(t), newFleet(func(int) uint32 { return link }), "c"), 55)
		}
	})
}

func TestDirectBeacons(t *testing.T) {
	assertDirect := func(c *qt.C, peers map[string]*peer, wantKnown, wantUnknown int) {
		c.Helper()
		r := newRoute(peers, len(peers), self, "a", 1, start)
		c.Assert(len(r.known), qt.Equals, wantKnown)
		c.Assert(len(r.unknown), qt.Equals, wantUnknown)
		for _, d := range append(r.known, r.unknown...) {
			c.Assert(d.kind, qt.Equals, kindDirect)
		}
	}
	t.Run("to the only router of a failure domain", func(t *testing.T) {
		assertDirect(qt.New(t), newPeers(map[string]int{"a": 2, "b": 1, "c": 1}), 4, 0)
	})
	t.Run("to peers that are not live", func(t *testing.T) {
		peers := newPeers(map[string]int{"a": 2, "b": 3})
		for _, p := range peers {
			p.live = false
		}
		assertDirect(qt.New(t), peers, 0, 5)
	})
	t.Run("to a long silent peer in one of backoffRatio rounds", func(t *testing.T) {
		peers := newPeers(map[string]int{"b": 1})
		for _, p := range peers {
			p.lastContact, p.live = start.Add(-time.Minute), false
		}
		n := 0
		for seed := range uint64(100) {
			n += len(newRoute(peers, len(peers), self, "a", seed, start).unknown)
		}
		qt.Assert(t, n, qt.Equals, 2)
	})
}

// newLocalFleet returns a fleet whose datagrams to one live peer of its failure domain
// arrive at the returned socket.
func newLocalFleet(c *qt.C, peerCount int) (*Fleet, *net.UDPConn) {
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = receiver.Close() })
	f, closeFleet, err := New(Identity{Router: "self", PeerAddress: "127.0.0.1:0", FailureDomain: "a"},
		func() State { return State{} }, targetstats.NewTracker(func(targetstats.Change) {}), affinity.NewCacheIndex(),
		storewatch.New(nil, zerolog.Nop(), nil, nil), zerolog.Nop())
	c.Assert(err, qt.IsNil)
	c.Cleanup(closeFleet)
	f.peers = newPeers(map[string]int{"b": peerCount - 1})
	address := receiver.LocalAddr().(*net.UDPAddr).AddrPort()
	f.peers[address.String()] = &peer{
		address: address, lastContact: time.Now(), live: true, beacon: &peerv1.Beacon{FailureDomain: "a"},
	}
	f.livePeers = len(f.peers)
	return f, receiver
}

// readBatch returns the numbers of the beacons in the next datagram.
func readBatch(c *qt.C, conn *net.UDPConn, timeout time.Duration) []uint32 {
	buffer := make([]byte, maxDatagramBytes)
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := conn.Read(buffer)
	if err != nil {
		return nil
	}
	c.Assert(n <= maxBatchBytes, qt.IsTrue)
	c.Assert(buffer[0], qt.Equals, kindBatch)
	var numbers []uint32
	c.Assert(splitBatch(buffer[1:n], func(data []byte) {
		b := new(peerv1.Beacon)
		c.Assert(proto.Unmarshal(data, b), qt.IsNil)
		numbers = append(numbers, b.GetNumber())
	}), qt.IsTrue)
	return numbers
}

func TestRelaySendsBatches(t *testing.T) {
	relay := func(f *Fleet, number uint32, change *peerv1.TargetsChange) {
		b := &peerv1.Beacon{Number: number, Change: change, Router: strings.Repeat("r", 100)}
		data, _ := proto.Marshal(b) // Cannot fail: the message holds no invalid text.
		f.relay(data, b)
	}
	t.Run("of the beacons of a large fleet", func(t *testing.T) {
		c := qt.New(t)
		f, receiver := newLocalFleet(c, 200)
		for i := range uint32(30) {
			relay(f, i+1, nil)
		}
		var got []uint32
		datagrams := 0
		for len(got) < 30 {
			numbers := readBatch(c, receiver, time.Second)
			c.Assert(len(numbers) > 0, qt.IsTrue, qt.Commentf("%v", got))
			got = append(got, numbers...)
			datagrams++
		}
		c.Assert(datagrams <= 3, qt.IsTrue, qt.Commentf("%d datagrams", datagrams))
		for i, n := range got {
			c.Assert(n, qt.Equals, uint32(i+1))
		}
	})
	t.Run("a change of targets at once", func(t *testing.T) {
		c := qt.New(t)
		f, receiver := newLocalFleet(c, 200)
		relay(f, 1, nil)
		relay(f, 2, &peerv1.TargetsChange{Revision: 7})
		c.Assert(readBatch(c, receiver, batchInterval/2), qt.DeepEquals, []uint32{1, 2})
	})
	t.Run("each beacon of a fleet of 90 at once", func(t *testing.T) {
		c := qt.New(t)
		f, receiver := newLocalFleet(c, 90)
		relay(f, 1, nil)
		c.Assert(readBatch(c, receiver, batchInterval/2), qt.DeepEquals, []uint32{1})
	})
}

func TestMalformedBatchIsRejected(t *testing.T) {
	for name, data := range map[string][]byte{
		"a length beyond the end": {5, 1, 2}, "a length without an end": {0xff, 0xff},
		"a length that overflows": {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, splitBatch(data, func([]byte) {}), qt.IsFalse)
		})
	}
}

// In a fleet of hundreds, a router that told all others about each new process would
// make the fleet send a datagram for each pair of routers at each start: a new process
// must be answered alone, and once.
func TestNewProcessIsGreetedAlone(t *testing.T) {
	c := qt.New(t)
	f := &Fleet{
		self: Identity{PeerAddress: "10.0.0.1:7340", Router: "self"}, peers: make(map[string]*peer),
		peersBySender: make(map[uint32]*peer), greetings: make(chan netip.AddrPort, 100),
	}
	assertGreeted := func(want ...string) {
		c.Helper()
		var got []string
		for len(f.greetings) > 0 {
			got = append(got, (<-f.greetings).String())
		}
		c.Assert(got, qt.DeepEquals, want)
	}
	assertRecorded := func(b *peerv1.Beacon, isNew bool) {
		c.Helper()
		recorded, isNewProcess := f.recordBeacon(b, start)
		c.Assert(recorded, qt.IsTrue)
		c.Assert(isNewProcess, qt.Equals, isNew)
	}
	f.AddPeer("10.0.0.2:7340")
	f.AddPeer("10.0.0.3:7340")
	f.AddPeer("10.0.0.2:7340")
	assertGreeted("10.0.0.2:7340", "10.0.0.3:7340")
	beacon := &peerv1.Beacon{Router: "b", PeerAddress: "10.0.0.2:7340", Incarnation: 5}
	assertRecorded(beacon, true)
	assertGreeted("10.0.0.2:7340")
	assertRecorded(beacon, false)
	assertGreeted()
	restarted := &peerv1.Beacon{Router: "b", PeerAddress: "10.0.0.2:7340", Incarnation: 6}
	assertRecorded(restarted, true)
	assertGreeted("10.0.0.2:7340")
}

// Leave is called while Run sends beacons; the race detector watches.
func TestLeaveWhileRunning(t *testing.T) {
	c := qt.New(t)
	f, receiver := newLocalFleet(c, 1)
	for range 2 {
		go f.sendRegular()
	}
	f.Leave()
	buffer := make([]byte, maxDatagramBytes)
	_ = receiver.SetReadDeadline(time.Now().Add(5 * time.Second))
	for leaving := false; !leaving; {
		n, err := receiver.Read(buffer)
		c.Assert(err, qt.IsNil)
		b := new(peerv1.Beacon)
		c.Assert(proto.Unmarshal(buffer[1:n], b), qt.IsNil)
		leaving = b.GetLeaving()
	}
}
