package gossip

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

// The first byte of a datagram says what its receiver does with it.
const (
	// final datagrams are for their receiver alone.
	final byte = iota
	// relayed ones are passed on to the others in the receiver's failure domain:
	// bytes between failure domains are dear.
	relayed
)

// delivery is one datagram to send.
type delivery struct {
	address netip.AddrPort
	kind    byte
}

// deliveries returns the datagrams that take a beacon to all peers: one to each
// in this router's failure domain, and one to each other domain, whose receiver
// changes with every turn so that the loss of a router costs few beacons. All
// are direct while a new router is being met.
func deliveries(peers map[string]*peer, failureDomain string, turn int, direct bool, now time.Time) []delivery {
	var out []delivery
	far := make(map[string][]netip.AddrPort)
	for _, p := range peers {
		if now.Sub(p.heard) > forgetAfter {
			if p.skipped++; p.skipped%seldom != 0 {
				continue
			}
		}
		if domain := p.beacon.GetFailureDomain(); !direct && p.live && domain != failureDomain {
			far[domain] = append(far[domain], p.address)
			continue
		}
		out = append(out, delivery{p.address, final})
	}
	for _, domain := range far {
		if len(domain) == 1 {
			out = append(out, delivery{domain[0], final})
			continue
		}
		first := domain[0]
		for _, address := range domain {
			if before(address, first, turn) {
				first = address
			}
		}
		out = append(out, delivery{first, relayed})
	}
	return out
}

// before orders the routers of a domain differently in each turn.
func before(a, b netip.AddrPort, turn int) bool {
	return turnRank(a, turn) > turnRank(b, turn)
}

func turnRank(a netip.AddrPort, turn int) uint64 {
	ip := a.Addr().As4()
	return xxhash.Sum64([]byte{ip[0], ip[1], ip[2], ip[3], byte(a.Port() >> 8), byte(a.Port()), byte(turn), byte(turn >> 8)})
}

// broadcast sends a beacon to all peers; the caller holds the lock.
func (f *Fleet) broadcast(data []byte) {
	f.turn++
	now := time.Now()
	for _, d := range deliveries(f.peers, f.self.FailureDomain, f.turn, now.Before(f.introduced), now) {
		f.write(d, data)
	}
}

// relay passes on a beacon from another failure domain.
func (f *Fleet) relay(data []byte, sender uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, p := range f.peers {
		if p.live && p.beacon.GetFailureDomain() == f.self.FailureDomain && senderID(key) != sender {
			f.write(delivery{p.address, final}, data)
		}
	}
}

func (f *Fleet) write(d delivery, data []byte) {
	data[0] = d.kind
	if _, err := f.conn.WriteToUDPAddrPort(data, d.address); err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_beacon_errors_total`).Inc()
		return
	}
	metrics.GetOrCreateCounter(`hickoryrock_beacon_bytes_sent_total`).Add(len(data))
}

// senderID identifies a router in beacons without its name.
func senderID(peerAddress string) uint32 { return uint32(xxhash.Sum64String(peerAddress)) }
