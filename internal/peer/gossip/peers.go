package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	peerv1 "hickoryrock/api/peer/v1"
)

// peer is another router, as of its last beacon.
type peer struct {
	address     netip.AddrPort
	lastContact time.Time
	// listedAt is when the peer was last added, also if it was known.
	listedAt      time.Time
	beacon        *peerv1.Beacon
	live          bool
	backoffRounds int
	// failedAt is when the peer last did not send a snapshot in time.
	failedAt time.Time
}

// AddPeer adds a peer, which may or may not be running, and introduces this router to
// it. It ignores this router's own address and logs addresses that are not IPv4:port.
func (f *Fleet) AddPeer(peerAddress string) {
	if peerAddress == f.self.PeerAddress {
		return
	}
	f.mu.Lock()
	known := f.peers[peerAddress]
	if known != nil {
		known.listedAt = time.Now()
	}
	f.mu.Unlock()
	if known != nil {
		return
	}
	address, err := parsePeerAddress(peerAddress)
	if err != nil {
		f.log.Warn().Err(err).Str("address", peerAddress).Msg("peer address skipped")
		return
	}
	f.mu.Lock()
	if f.peers[peerAddress] == nil {
		now := time.Now()
		p := &peer{address: address, lastContact: now, listedAt: now}
		f.peers[peerAddress], f.peersBySender[senderID(peerAddress)] = p, p
	}
	f.mu.Unlock()
	f.greet(address)
}

// parsePeerAddress returns the address of another router, or an error if it is not the IPv4
// address and port of one host as Go writes it: peers are known by its text.
func parsePeerAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, eris.Errorf("%.60q is not IP:port", text)
	}
	ip := address.Addr()
	if !ip.Is4() || ip.IsUnspecified() || ip.IsMulticast() || address.Port() == 0 || address.String() != text {
		return netip.AddrPort{}, eris.Errorf("%.60q is not the address of one host", text)
	}
	return address, nil
}

// LiveCount returns the number of live routers, this one included.
func (f *Fleet) LiveCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 1 + f.livePeers
}

// LiveIdentities returns the identities of the live routers that are not leaving, this one
// included.
func (f *Fleet) LiveIdentities() []Identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	identities := []Identity{f.self}
	for _, p := range f.peers {
		if p.live && !p.beacon.GetLeaving() {
			identities = append(identities, Identity{
				Router: p.beacon.GetRouter(), CallerAddress: p.beacon.GetCallerAddress(), PeerAddress: p.beacon.GetPeerAddress(),
				FailureDomain: p.beacon.GetFailureDomain(), Incarnation: p.beacon.GetIncarnation(),
			})
		}
	}
	return identities
}

// ServingIdentities returns the identities of the live routers that serve callers, and whether this
// one is among them; it comes first then.
func (f *Fleet) ServingIdentities() (identities []Identity, includesSelf bool) {
	local := f.localState()
	f.mu.Lock()
	defer f.mu.Unlock()
	identities = make([]Identity, 0, len(f.peers)+1)
	if includesSelf = local.Serving && !f.leaving; includesSelf {
		self := f.self
		// As the others know it, so that all routers compare the same numbers.
		self.CPUShare = cpuShare(processorMilli(self.CPUShare))
		identities = append(identities, self)
	}
	for _, p := range f.peers {
		if p.servesCallers() {
			identities = append(identities, Identity{
				Router: p.beacon.GetRouter(), PeerAddress: p.beacon.GetPeerAddress(), FailureDomain: p.beacon.GetFailureDomain(),
				Incarnation: p.beacon.GetIncarnation(), CPUShare: cpuShare(p.beacon.GetProcessorMilli()),
			})
		}
	}
	return identities, includesSelf
}

// processorMilli returns a CPU share as beacons carry it.
func processorMilli(share float64) uint32 { return uint32(min(share, maxCPUShare) * 1000) }

// linkKbit returns the speed of a link in Mbit/s as beacons carry it.
func linkKbit(mbps float64) uint32 { return uint32(min(mbps, maxLinkMbps) * 1000) }

// isFastLink reports whether a link counts as fast where the fastest has another speed, both in
// kbit/s: it has at least half of that.
func isFastLink(kbit, fastest uint32) bool { return 2*uint64(kbit) >= uint64(fastest) }

// cpuShare returns the CPU share that a beacon carries.
func cpuShare(milli uint32) float64 { return float64(milli) / 1000 }

// CallerAddresses returns up to limit addresses of routers that serve callers,
// those in the given failure domain first.
func (f *Fleet) CallerAddresses(failureDomain string, limit int) []string {
	var near, remote []string
	add := func(domain, address string) {
		if domain == failureDomain {
			near = append(near, address)
			return
		}
		remote = append(remote, address)
	}
	local := f.localState()
	f.mu.Lock()
	defer f.mu.Unlock()
	if local.Serving && !f.leaving {
		add(f.self.FailureDomain, f.self.CallerAddress)
	}
	for _, p := range f.peers {
		if p.servesCallers() {
			add(p.beacon.GetFailureDomain(), p.beacon.GetCallerAddress())
		}
	}
	slices.Sort(near)
	slices.Sort(remote)
	all := append(near, remote...)
	return all[:min(limit, len(all))]
}

// servesCallers reports whether the peer is live and takes callers.
func (p *peer) servesCallers() bool {
	return p.live && p.beacon.GetServing() && !p.beacon.GetLeaving()
}

// Silence returns how long a peer has not been heard, or since it was added, and false if it is
// not known.
func (f *Fleet) Silence(peerAddress string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[peerAddress]
	if p == nil {
		return 0, false
	}
	return time.Since(p.lastContact), true
}

// markLost marks the peers that missed more than maxMissedBeacons as not live, and forgets those
// that have been silent for forgetAfter.
func (f *Fleet) markLost(now time.Time) {
	limit := maxMissedBeacons * f.interval()
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, p := range f.peers {
		if now.Sub(p.lastContact) > forgetAfter && !p.live {
			delete(f.peers, address)
			delete(f.peersBySender, senderID(address))
			continue
		}
		if p.live && now.Sub(p.lastContact) > limit {
			p.live = false
			f.livePeers--
			f.log.Warn().Str("peer", p.beacon.GetRouter()).Dur("silence-ms", now.Sub(p.lastContact)).Msg("router lost")
		}
	}
}
