package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "hickoryrock/api/peer/v1"
)

// WatchesStore reports whether this router watches the store on behalf of the fleet. All
// routers rank each other in the same order, and the first maxServedWatchers that
// the store serves watch it. When maxUnservedWatchers routers of lower rank are not
// served, the store itself is unavailable, and these suffice to detect its recovery.
func (f *Fleet) WatchesStore() bool {
	selfRank := watcherRank(f.self.Router)
	f.mu.Lock()
	defer f.mu.Unlock()
	served, unserved := 0, 0
	for _, p := range f.peers {
		if !p.live || p.beacon.GetLeaving() || watcherRank(p.beacon.GetRouter()) > selfRank {
			continue
		}
		if storeAge(p.beacon)+time.Since(p.lastContact) < f.maxStoreAge()+f.intervalFor(len(f.peers)) {
			served++
		} else {
			unserved++
		}
	}
	return served < maxServedWatchers && unserved < maxUnservedWatchers
}

// maxStoreAge returns the age of a router's last response from the store up to which
// the router counts as served.
func (f *Fleet) maxStoreAge() time.Duration { return f.watcher.WatchWait() + storeAgeTolerance }

// watcherRank orders routers by a hash of their name, because names often begin
// with the failure domain and sorting by name would favour one.
func watcherRank(router string) uint64 { return xxhash.Sum64String(router) }

// StoreServesPeers reports whether the store recently served a live peer.
func (f *Fleet) StoreServesPeers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if p.live && storeAge(p.beacon)+time.Since(p.lastContact) < f.maxStoreAge() {
			return true
		}
	}
	return false
}

func storeAge(b *peerv1.Beacon) time.Duration {
	return time.Duration(b.GetStoreAgeMs()) * time.Millisecond
}
