package gossip

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	peerv1 "hickoryrock/api/peer/v1"
)

// The first byte of a datagram tells the receiver what it holds.
const (
	// kindDirect datagrams hold one beacon that is not relayed.
	kindDirect byte = iota
	// kindRelay datagrams hold one beacon for the receiver and the other routers in its
	// failure domain, because traffic between failure domains is expensive.
	kindRelay
	// kindBatch datagrams hold several beacons from a relay, each after its length.
	kindBatch
)

// destination is the receiver of one datagram and the datagram's kind.
type destination struct {
	address netip.AddrPort
	kind    byte
}

// relayCandidate is a router that may send beacons on to its failure domain.
type relayCandidate struct {
	address  netip.AddrPort
	linkKbit uint32
}

// route says how a beacon reaches all peers.
type route struct {
	// known are the datagrams for live peers, some of them through relays.
	known []destination
	// unknown are the datagrams for peers that are not live: they may have restarted
	// and not know this router, so that the beacon must carry its identity.
	unknown []destination
	// relaySelf is set when this router is the relay of its own failure domain.
	relaySelf bool
}

// newRoute returns the datagrams that deliver a beacon to all live peers, and to up to
// maxSilentDestinations of the others. Up to directFleetSize live peers, each peer in this
// router's failure domain gets one, and so does a relay in each other domain; in a larger fleet
// also the own domain has a relay, so that a router sends one datagram for each domain. The
// relay follows from seed, which changes often, so that the loss of a router costs few beacons. In
// a large fleet it has one of the fastest links: a relay sends as much as its whole domain receives,
// and links of 10 Mbit/s were full with 55 routers in a domain, so that calls waited for seconds.
func newRoute(peers map[string]*peer, live int, self relayCandidate, failureDomain string, seed uint64, now time.Time) route {
	var r route
	domains := make(map[string][]relayCandidate)
	direct := live <= directFleetSize
	for _, p := range peers {
		if !p.live {
			if p.isDue(now) {
				r.unknown = append(r.unknown, destination{p.address, kindDirect})
			}
			continue
		}
		switch domain := p.beacon.GetFailureDomain(); {
		case direct && domain == failureDomain:
			r.known = append(r.known, destination{p.address, kindDirect})
		default:
			domains[domain] = append(domains[domain], relayCandidate{p.address, p.beacon.GetLinkKbit()})
		}
	}
	for domain, candidates := range domains {
		if len(candidates) == 1 {
			r.known = append(r.known, destination{candidates[0].address, kindDirect})
			continue
		}
		if domain == failureDomain {
			candidates = append(candidates, self)
		}
		relay := pickRelay(candidates, seed)
		if !direct {
			relay = pickFastRelay(candidates, seed)
		}
		if relay == self.address {
			r.relaySelf = true
		} else {
			r.known = append(r.known, destination{relay, kindRelay})
		}
	}
	if len(r.unknown) > maxSilentDestinations {
		rand.Shuffle(len(r.unknown), func(i, j int) { r.unknown[i], r.unknown[j] = r.unknown[j], r.unknown[i] })
		r.unknown = r.unknown[:maxSilentDestinations]
	}
	return r
}

// isDue reports whether a peer that is not live gets the next beacon.
func (p *peer) isDue(now time.Time) bool {
	if now.Sub(p.lastContact) <= backoffAfter {
		return true
	}
	p.backoffRounds++
	return p.backoffRounds%backoffRatio == 0
}

// relaySeed returns the seed for the choice of relays. In a large fleet all routers of a
// failure domain choose the same relays for relayPeriod, so that these receive many
// beacons to send on together; in a small one each beacon takes another.
func (f *Fleet) relaySeed(now time.Time) uint64 {
	if f.livePeers <= directFleetSize {
		f.round++
		return f.round
	}
	return xxhash.Sum64String(f.self.FailureDomain) + uint64(now.Unix()/int64(relayPeriod/time.Second))
}

// pickRelay returns the address that a seed selects.
func pickRelay(candidates []relayCandidate, seed uint64) netip.AddrPort {
	relay, best := candidates[0].address, uint64(0)
	var key [14]byte
	binary.LittleEndian.PutUint64(key[6:], seed)
	for _, c := range candidates {
		ip := c.address.Addr().As4()
		copy(key[:], ip[:])
		binary.LittleEndian.PutUint16(key[4:], c.address.Port())
		if rank := xxhash.Sum64(key[:]); rank >= best {
			relay, best = c.address, rank
		}
	}
	return relay
}

// pickFastRelay returns the address that a seed selects among the routers with fast links, of which
// there are at least minFastRelays. With successive seeds they take turns, so that one that has
// failed is not selected twice in a row.
func pickFastRelay(candidates []relayCandidate, seed uint64) netip.AddrPort {
	slices.SortFunc(candidates, func(a, b relayCandidate) int {
		return cmp.Or(cmp.Compare(b.linkKbit, a.linkKbit), a.address.Compare(b.address))
	})
	n := min(minFastRelays, len(candidates))
	for n < len(candidates) && isFastLink(candidates[n].linkKbit, candidates[0].linkKbit) {
		n++
	}
	return candidates[seed%uint64(n)].address
}

// broadcast sends a beacon to all peers, with the identity to those that are not live.
func (f *Fleet) broadcast(b *peerv1.Beacon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	self := relayCandidate{f.address, linkKbit(f.self.LinkMbps)}
	r := newRoute(f.peers, f.livePeers, self, f.self.FailureDomain, f.relaySeed(now), now)
	f.writeAll(r.known, b)
	if r.relaySelf {
		if data := f.encode(b); data != nil {
			f.addToBatch(data[1:], b.GetChange() != nil)
		}
	}
	if len(r.unknown) > 0 {
		f.setIdentity(b)
		f.writeAll(r.unknown, b)
	}
}

// announceNear sends this router's revisions to the live peers of its failure domain.
func (f *Fleet) announceNear() {
	f.announce(func(p *peer) bool { return p.beacon.GetFailureDomain() == f.self.FailureDomain })
}

// announce sends this router's revisions to the live peers that pass a filter.
func (f *Fleet) announce(pass func(p *peer) bool) {
	b := f.newBeacon()
	f.setIdentity(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	var to []destination
	for _, p := range f.peers {
		if p.live && pass(p) {
			to = append(to, destination{p.address, kindDirect})
		}
	}
	f.writeAll(to, b)
}

// writeAll sends a beacon to several peers. The caller must hold f.mu.
func (f *Fleet) writeAll(to []destination, b *peerv1.Beacon) {
	if len(to) == 0 {
		return
	}
	data := f.encode(b)
	if data == nil {
		return
	}
	for _, d := range to {
		f.write(d, data)
	}
}

func (f *Fleet) write(d destination, data []byte) {
	data[0] = d.kind
	if _, err := f.conn.WriteToUDPAddrPort(data, d.address); err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_beacon_errors_total`).Inc()
		return
	}
	f.sent.Inc()
	f.sentBytes.Add(len(data))
}

// senderID returns the hash that identifies the sender of a beacon without an identity.
func senderID(peerAddress string) uint32 { return uint32(xxhash.Sum64String(peerAddress)) }
