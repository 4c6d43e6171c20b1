package gossip

import "math/rand/v2"

const (
	// linkKbitPerCacheSend is the link speed for each further peer to which a router sends cache
	// contents at a time: receivers with links of 10 Mbit/s can't take them faster.
	linkKbitPerCacheSend = 10_000
	// maxFastCacheSends bounds these peers, since each costs a copy of the contents.
	maxFastCacheSends = 16
)

type (
	// CacheSource is where a starting router may get the contents of the prefix caches.
	CacheSource struct {
		// Router and Address are a random peer that has them; empty when there is none.
		Router, Address string
		// Expected is set when another peer may get them before this router.
		Expected bool
	}

	// cachePeer is what the choice of a source of cache contents needs to know of a router.
	cachePeer struct {
		Identity
		linkKbit uint32
		// isLoaded is set once it has the contents.
		isLoaded bool
	}
)

// CacheSource returns where to get the contents of the targets' prefix caches.
func (f *Fleet) CacheSource() CacheSource {
	f.mu.Lock()
	defer f.mu.Unlock()
	self, peers := f.cachePeers()
	return selectCacheSource(self, peers, len(f.peers) <= smallFleetSize, rand.Uint64N)
}

// cachePeers returns this router and its live peers. The caller must hold f.mu.
func (f *Fleet) cachePeers() (self cachePeer, peers []cachePeer) {
	peers = make([]cachePeer, 0, len(f.peers))
	for _, p := range f.peers {
		if p.live {
			peers = append(peers, p.cachePeer())
		}
	}
	return cachePeer{Identity: f.self, linkKbit: linkKbit(f.self.LinkMbps)}, peers
}

func (p *peer) cachePeer() cachePeer {
	b := p.beacon
	return cachePeer{
		Identity: Identity{
			Router: b.GetRouter(), PeerAddress: b.GetPeerAddress(), FailureDomain: b.GetFailureDomain(), Incarnation: b.GetIncarnation(),
		},
		linkKbit: b.GetLinkKbit(), isLoaded: b.GetCachesLoaded(),
	}
}

// selectCacheSource selects the source of a router among its live peers. In a small fleet all are
// considered, in a larger one those of the same failure domain, because the contents are large.
// Where some links are fast and others slow, the routers with fast links get the contents first,
// from each other in all failure domains, and the others get them there: links of 10 Mbit/s took
// over two seconds to pass them on in a domain of 37 routers, while all prompts were read again.
// draw returns a random number below its argument.
func selectCacheSource(self cachePeer, peers []cachePeer, isSmall bool, draw func(uint64) uint64) CacheSource {
	isFast := fastLinks(self, peers)
	var source CacheSource
	var loaded []cachePeer
	total := uint64(0)
	for _, p := range peers {
		if !isSmall && !exchangeCaches(self, p, isFast) {
			continue
		}
		precedes := p.Incarnation < self.Incarnation
		if isFast(p) != isFast(self) {
			precedes = isFast(p)
		}
		source.Expected = source.Expected || precedes
		if p.isLoaded {
			loaded = append(loaded, p)
			total += uint64(p.linkKbit) + 1
		}
	}
	if len(loaded) == 0 {
		return source
	}
	// Each in proportion to its link.
	left := draw(total)
	for _, p := range loaded {
		share := uint64(p.linkKbit) + 1
		if left < share {
			source.Router, source.Address = p.Router, p.PeerAddress
			break
		}
		left -= share
	}
	return source
}

// fastLinks returns a function that reports whether a router's link is fast: none is if all are
// alike.
func fastLinks(self cachePeer, peers []cachePeer) func(cachePeer) bool {
	fastest, slowest := self.linkKbit, self.linkKbit
	for _, p := range peers {
		fastest, slowest = max(fastest, p.linkKbit), min(slowest, p.linkKbit)
	}
	if isFastLink(slowest, fastest) {
		return func(cachePeer) bool { return false }
	}
	return func(p cachePeer) bool { return isFastLink(p.linkKbit, fastest) }
}

// exchangeCaches reports whether a router of a large fleet takes cache contents from another: from
// those of its failure domain, and between fast links from all.
func exchangeCaches(a, b cachePeer, isFast func(cachePeer) bool) bool {
	return a.FailureDomain == b.FailureDomain || (isFast(a) && isFast(b))
}

// cacheSendsAtATime returns the number of peers to which a router with a link sends cache contents at
// a time.
func cacheSendsAtATime(linkMbps float64) int {
	return min(max(int(linkKbit(linkMbps)/linkKbitPerCacheSend), maxCacheSends), maxFastCacheSends)
}

// AnnounceCaches tells the routers that may fetch the contents of the prefix caches from this one
// that it has them.
func (f *Fleet) AnnounceCaches() {
	f.mu.Lock()
	self, peers := f.cachePeers()
	f.mu.Unlock()
	isFast := fastLinks(self, peers)
	f.announce(func(p *peer) bool { return exchangeCaches(self, p.cachePeer(), isFast) })
}
