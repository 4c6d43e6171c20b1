package gossip

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

// The first byte of a datagram tells the receiver whether to relay it.
const (
	// kindDirect datagrams are not relayed.
	kindDirect byte = iota
	// kindRelay datagrams are forwarded to the other routers in the receiver's
	// failure domain, because traffic between failure domains is expensive.
	kindRelay
)

// destination is the receiver of one datagram and the datagram's kind.
type destination struct {
	address netip.AddrPort
	kind    byte
}

// destinations returns the datagrams that deliver a beacon to all peers: one to
// each peer in this router's failure domain, and one to a relay in each other
// domain. The relay changes with every round, so that the loss of a router costs
// few beacons. If direct is set, every peer is sent its own datagram; it is set
// while a new router is introduced.
func destinations(peers map[string]*peer, failureDomain string, round int, direct bool, now time.Time) []destination {
	var out []destination
	remote := make(map[string][]netip.AddrPort)
	for _, p := range peers {
		if now.Sub(p.lastContact) > backoffAfter {
			if p.backoffRounds++; p.backoffRounds%backoffRatio != 0 {
				continue
			}
		}
		if domain := p.beacon.GetFailureDomain(); !direct && p.live && domain != failureDomain {
			remote[domain] = append(remote[domain], p.address)
			continue
		}
		out = append(out, destination{p.address, kindDirect})
	}
	for _, addresses := range remote {
		if len(addresses) == 1 {
			out = append(out, destination{addresses[0], kindDirect})
			continue
		}
		relay := addresses[0]
		for _, address := range addresses {
			if relaysBefore(address, relay, round) {
				relay = address
			}
		}
		out = append(out, destination{relay, kindRelay})
	}
	return out
}

// relaysBefore orders the routers of a failure domain differently in each round.
func relaysBefore(a, b netip.AddrPort, round int) bool {
	return relayRank(a, round) > relayRank(b, round)
}

func relayRank(a netip.AddrPort, round int) uint64 {
	ip := a.Addr().As4()
	return xxhash.Sum64([]byte{ip[0], ip[1], ip[2], ip[3], byte(a.Port() >> 8), byte(a.Port()), byte(round), byte(round >> 8)})
}

// broadcast sends an encoded beacon to all peers. The caller must hold f.mu.
func (f *Fleet) broadcast(data []byte) {
	f.round++
	now := time.Now()
	for _, d := range destinations(f.peers, f.self.FailureDomain, f.round, now.Before(f.introduceUntil), now) {
		f.write(d, data)
	}
}

// relay forwards a beacon to the live peers in this router's failure domain,
// except its sender.
func (f *Fleet) relay(data []byte, sender uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, p := range f.peers {
		if p.live && p.beacon.GetFailureDomain() == f.self.FailureDomain && senderID(key) != sender {
			f.write(destination{p.address, kindDirect}, data)
		}
	}
}

func (f *Fleet) write(d destination, data []byte) {
	data[0] = d.kind
	if _, err := f.conn.WriteToUDPAddrPort(data, d.address); err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_beacon_errors_total`).Inc()
		return
	}
	metrics.GetOrCreateCounter(`hickoryrock_beacon_bytes_sent_total`).Add(len(data))
}

// senderID returns the hash that identifies the sender of a beacon without an identity.
func senderID(peerAddress string) uint32 { return uint32(xxhash.Sum64String(peerAddress)) }
