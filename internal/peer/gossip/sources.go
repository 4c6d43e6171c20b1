package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

type (
	// source is a peer that is ahead of this router; near is set if it is in the same failure
	// domain.
	source struct {
		router, address string
		near            bool
	}

	// fetchResult says whether the state of a source was applied.
	fetchResult struct {
		source
		applied bool
	}
)

// fetchesFirst reports whether this router is one of the firstFetchers of its failure
// domain, by a hash that all routers compute alike.
func (f *Fleet) fetchesFirst() bool { return f.routersBefore() < firstFetchers }

// routersBefore returns the number of live routers of this router's failure domain that come
// before it in an order that all routers compute alike.
func (f *Fleet) routersBefore() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	self, before := watcherRank(f.self.Router), 0
	for _, p := range f.peers {
		if p.live && p.beacon.GetFailureDomain() == f.self.FailureDomain && watcherRank(p.beacon.GetRouter()) < self {
			before++
		}
	}
	return before
}

// pickSource returns a random peer that is ahead of this router and not in asked. It prefers
// those that have not lately failed to send a snapshot, and then its own failure domain. A
// router that lacks departures takes the oldest process.
func (f *Fleet) pickSource(local State, asked map[string]bool) (source, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var best []*peer
	bestRank := 0
	for address, p := range f.peers {
		if !p.live || asked[address] || !f.isAhead(p.beacon, local) {
			continue
		}
		rank := 1
		if p.beacon.GetFailureDomain() == f.self.FailureDomain {
			rank = 2
		}
		if now.Sub(p.failedAt) > failedSourceTime {
			rank += 2
		}
		if rank > bestRank {
			best, bestRank = best[:0], rank
		}
		if rank == bestRank {
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return source{}, false
	}
	p := best[rand.IntN(len(best))]
	if local.LacksDepartures {
		p = slices.MinFunc(best, func(a, b *peer) int { return cmp.Compare(a.beacon.GetIncarnation(), b.beacon.GetIncarnation()) })
	}
	return source{p.beacon.GetRouter(), p.beacon.GetPeerAddress(), p.beacon.GetFailureDomain() == f.self.FailureDomain}, true
}

// recordFailedSource records that a peer has not sent a snapshot in time.
func (f *Fleet) recordFailedSource(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[address]; p != nil {
		p.failedAt = time.Now()
	}
}
