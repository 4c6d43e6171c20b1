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

// domains returns the peers of a fleet with some routers in each failure domain.
func domains(sizes map[string]int) map[string]*peer {
	peers := make(map[string]*peer)
	n := 0
	for domain, size := range sizes {
		for range size {
			n++
			address := fmt.Sprintf("10.0.%d.%d:7340", n/250, 1+n%250)
			peers[address] = &peer{
				address: netip.MustParseAddrPort(address), heard: start, live: true,
				beacon: &peerv1.Beacon{FailureDomain: domain},
			}
		}
	}
	return peers
}

// reached returns how often a broadcast reaches each peer, with what routers in
// the other failure domains pass on.
func reached(peers map[string]*peer, sent []delivery) map[netip.AddrPort]int {
	out := make(map[netip.AddrPort]int)
	for _, d := range sent {
		out[d.address]++
		if d.kind != relayed {
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

func far(peers map[string]*peer, sent []delivery, domain string) int {
	n := 0
	for _, d := range sent {
		if peers[d.address.String()].beacon.GetFailureDomain() != domain {
			n++
		}
	}
	return n
}

// Pattern: 87 routers in four failure domains, between which bytes are dear.
func TestABeaconCrossesToEachFailureDomainOnce(t *testing.T) {
	c := qt.New(t)
	peers := domains(map[string]int{"a": 21, "b": 22, "c": 22, "d": 21})
	for turn := range 50 {
		sent := deliveries(peers, "a", turn, false, start)
		c.Assert(far(peers, sent, "a"), qt.Equals, 3)
		got := reached(peers, sent)
		c.Assert(len(got), qt.Equals, len(peers))
		for address, n := range got {
			c.Assert(n, qt.Equals, 1, qt.Commentf("%v", address))
		}
	}
}

func TestRelaysTakeTurns(t *testing.T) {
	c := qt.New(t)
	peers := domains(map[string]int{"a": 1, "b": 3})
	relays := make(map[netip.AddrPort]int)
	for turn := range 300 {
		for _, d := range deliveries(peers, "a", turn, false, start) {
			if d.kind == relayed {
				relays[d.address]++
			}
		}
	}
	c.Assert(len(relays), qt.Equals, 3)
	for address, n := range relays {
		c.Assert(n > 60, qt.IsTrue, qt.Commentf("%v: %d of 300", address, n))
	}
}

func TestBeaconsThatAreNotRelayed(t *testing.T) {
	assertDirect := func(c *qt.C, peers map[string]*peer, direct bool, want int) {
		c.Helper()
		sent := deliveries(peers, "a", 1, direct, start)
		c.Assert(len(sent), qt.Equals, want)
		for _, d := range sent {
			c.Assert(d.kind, qt.Equals, final)
		}
	}
	t.Run("the only router of its domain is reached directly", func(t *testing.T) {
		assertDirect(qt.New(t), domains(map[string]int{"a": 2, "b": 1, "c": 1}), false, 4)
	})
	t.Run("all are while a new router is met", func(t *testing.T) {
		assertDirect(qt.New(t), domains(map[string]int{"a": 2, "b": 3}), true, 5)
	})
	t.Run("those that were not heard from are, too", func(t *testing.T) {
		peers := domains(map[string]int{"a": 2, "b": 3})
		for _, p := range peers {
			p.live = false
		}
		assertDirect(qt.New(t), peers, false, 5)
	})
	t.Run("those long gone get one seldom", func(t *testing.T) {
		peers := domains(map[string]int{"b": 1})
		for _, p := range peers {
			p.heard, p.live = start.Add(-time.Minute), false
		}
		n := 0
		for turn := range 100 {
			n += len(deliveries(peers, "a", turn, false, start))
		}
		qt.Assert(t, n, qt.Equals, 2)
	})
}
