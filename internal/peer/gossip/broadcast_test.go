package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	peerv1 "hickoryrock/api/peer/v1"
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

// deliveriesPerPeer returns how many copies of a broadcast each peer receives,
// counting those that relays forward.
func deliveriesPerPeer(peers map[string]*peer, sent []destination) map[netip.AddrPort]int {
	out := make(map[netip.AddrPort]int)
	for _, d := range sent {
		out[d.address]++
		if d.kind != kindRelay {
			continue
		}
		receiver := peers[d.address.String()].beacon.GetFailureDomain()
		for _, p := range peers {
			if p.address != d.address && p.live && p.beacon.GetFailureDomain() == receiver {
				out[p.address]++
			}
		}
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

// Traffic between failure domains is expensive: with 87 routers in four failure
// domains, a broadcast must cross to each other domain once and still reach every
// router exactly once.
func TestBroadcastCrossesToEachFailureDomainOnce(t *testing.T) {
	c := qt.New(t)
	peers := newPeers(map[string]int{"a": 21, "b": 22, "c": 22, "d": 21})
	for round := range 50 {
		sent := destinations(peers, "a", round, false, start)
		c.Assert(countRemote(peers, sent, "a"), qt.Equals, 3)
		got := deliveriesPerPeer(peers, sent)
		c.Assert(len(got), qt.Equals, len(peers))
		for address, n := range got {
			c.Assert(n, qt.Equals, 1, qt.Commentf("%v", address))
		}
	}
}

func TestRelaysRotate(t *testing.T) {
	c := qt.New(t)
	peers := newPeers(map[string]int{"a": 1, "b": 3})
	relays := make(map[netip.AddrPort]int)
	for round := range 300 {
		for _, d := range destinations(peers, "a", round, false, start) {
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

func TestDirectBeacons(t *testing.T) {
	assertDirect := func(c *qt.C, peers map[string]*peer, direct bool, want int) {
		c.Helper()
		sent := destinations(peers, "a", 1, direct, start)
		c.Assert(len(sent), qt.Equals, want)
		for _, d := range sent {
			c.Assert(d.kind, qt.Equals, kindDirect)
		}
	}
	t.Run("to the only router of a failure domain", func(t *testing.T) {
		assertDirect(qt.New(t), newPeers(map[string]int{"a": 2, "b": 1, "c": 1}), false, 4)
	})
	t.Run("to all peers while a new router is introduced", func(t *testing.T) {
		assertDirect(qt.New(t), newPeers(map[string]int{"a": 2, "b": 3}), true, 5)
	})
	t.Run("to peers that are not live", func(t *testing.T) {
		peers := newPeers(map[string]int{"a": 2, "b": 3})
		for _, p := range peers {
			p.live = false
		}
		assertDirect(qt.New(t), peers, false, 5)
	})
	t.Run("to a long silent peer in one of backoffRatio rounds", func(t *testing.T) {
		peers := newPeers(map[string]int{"b": 1})
		for _, p := range peers {
			p.lastContact, p.live = start.Add(-time.Minute), false
		}
		n := 0
		for round := range 100 {
			n += len(destinations(peers, "a", round, false, start))
		}
		qt.Assert(t, n, qt.Equals, 2)
	})
}
