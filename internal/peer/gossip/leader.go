package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "hickoryrock/api/peer/v1"
)

// Leads reports whether this router watches the store for the others: the
// first few, in an order that all share, that the store serves. When many before
// this one are not served, the store itself is away and they are enough to notice
// its return.
func (f *Fleet) Leads() bool {
	own := rank(f.self.Router)
	f.mu.Lock()
	defer f.mu.Unlock()
	served, waiting := 0, 0
	for _, p := range f.peers {
		if !p.live || p.beacon.GetLeaving() || rank(p.beacon.GetRouter()) > own {
			continue
		}
		if storeAge(p.beacon)+time.Since(p.heard) < f.leaderAge()+f.intervalOf(len(f.peers)) {
			served++
		} else {
			waiting++
		}
	}
	return served < leaders && waiting < maxWaiting
}

// leaderAge is the age of a leader's last reply from the store up to which it counts as served.
func (f *Fleet) leaderAge() time.Duration { return f.from.WatchWait() + leaderSlack }

// rank orders routers without regard to failure domains, which names often begin with.
func rank(router string) uint64 { return xxhash.Sum64String(router) }

// StoreServes reports whether the store has just served another router.
func (f *Fleet) StoreServes() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if p.live && storeAge(p.beacon)+time.Since(p.heard) < f.leaderAge() {
			return true
		}
	}
	return false
}

// Elder returns the live router that started first, if that was before this
// one: it may know what targets hold. In a large fleet each failure domain has
// an elder of its own, since what it tells is long. The strings are empty when
// there is none.
func (f *Fleet) Elder() (router, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := f.self.Incarnation
	for _, p := range f.peers {
		if !p.live || p.beacon.GetIncarnation() >= oldest {
			continue
		}
		if len(f.peers) > smallFleet && p.beacon.GetFailureDomain() != f.self.FailureDomain {
			continue
		}
		oldest = p.beacon.GetIncarnation()
		router, address = p.beacon.GetRouter(), p.beacon.GetPeerAddress()
	}
	return router, address
}

func storeAge(b *peerv1.Beacon) time.Duration {
	return time.Duration(b.GetStoreAgeMs()) * time.Millisecond
}
