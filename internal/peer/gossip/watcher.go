package gossip

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/platform/objects"
)

// storeWatch is what a router knows of the calls of all routers to the store.
type storeWatch struct {
	// selfServed and anyServed are set if the store serves this router, and any router.
	selfServed, anyServed bool
	// servedBefore and unservedBefore count the live routers of lower rank; live counts all.
	servedBefore, unservedBefore, live int
	// unservedFor is how long the store has served no router.
	unservedFor time.Duration
}

// storeWatch returns what is known now. All routers rank each other in the same order.
func (f *Fleet) storeWatch() storeWatch {
	local := f.localState()
	selfRank := watcherRank(f.self.Router)
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.servedLimit()
	freshest := f.statedStoreAge(local)
	s := storeWatch{selfServed: freshest < limit, live: 1}
	for _, p := range f.peers {
		if !p.live || p.beacon.GetLeaving() {
			continue
		}
		s.live++
		silence := time.Since(p.lastContact)
		age := storeAge(p.beacon) + silence
		freshest = min(freshest, age)
		switch {
		case watcherRank(p.beacon.GetRouter()) > selfRank:
		case age < limit && silence < maxMissedBeacons*beaconInterval:
			s.servedBefore++
		default:
			s.unservedBefore++
		}
	}
	s.anyServed, s.unservedFor = freshest < limit, freshest-limit
	return s
}

// WatchesStore reports whether this router watches the store on behalf of the fleet: the
// first maxServedWatchers that the store serves and that have lately been heard do so. When it
// serves none, the first maxUnservedWatchers keep calling it, and the others probe it by turns.
func (f *Fleet) WatchesStore() bool {
	s := f.storeWatch()
	watches := s.servedBefore < maxServedWatchers && (s.selfServed || s.unservedBefore < maxUnservedWatchers)
	f.mu.Lock()
	defer f.mu.Unlock()
	if watches != f.watches {
		f.watches = watches
		f.log.Info().Bool("watches", watches).Bool("served", s.selfServed).Int("served-before", s.servedBefore).
			Int("unserved-before", s.unservedBefore).Int("live", s.live).Dur("unserved-ms", max(s.unservedFor, 0)).
			Msg("role in watching the store changed")
	}
	return watches
}

// isProbeTurn reports whether it is this router's turn to find out whether the store
// serves it. That it serves none of the first routers does not show that it serves no other.
func (s storeWatch) isProbeTurn() bool {
	if s.anyServed || s.unservedBefore < maxUnservedWatchers {
		return false
	}
	turn := int(s.unservedFor / probeTurn)
	first := turn * maxUnservedWatchers % s.live
	return turn > 0 && (s.unservedBefore-first+s.live)%s.live < maxUnservedWatchers
}

// probeStore lets this router probe the store whenever it is its turn. One that is served
// then watches the store for the others.
func (f *Fleet) probeStore(ctx context.Context) {
	for objects.Sleep(ctx, probeTurn) == nil {
		s := f.storeWatch()
		if !s.isProbeTurn() {
			continue
		}
		err := f.watcher.Probe(ctx)
		f.log.Info().Dur("unserved-ms", s.unservedFor).Bool("served", err == nil).AnErr("cause", err).
			Msg("store probed: it serves none of the routers that watch it")
	}
}

// servedLimit returns the stated age of a router's last response from the store from which
// the others take it for unserved. f.mu must be held.
func (f *Fleet) servedLimit() time.Duration {
	return f.maxStoreAge() + beaconInterval
}

// mustAnnounceWatch reports whether this router watches the store and its regular beacons are
// too rare for the others to notice soon if it no longer does.
func (f *Fleet) mustAnnounceWatch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watches && !f.leaving && f.intervalLocked() > beaconInterval
}

// statedStoreAge returns the age of the last response from the store that this router states.
// While its calls fail, others need not wait until the age shows that. f.mu must be held.
func (f *Fleet) statedStoreAge(local State) time.Duration {
	if local.StoreFailing < unservedAfter {
		return local.StoreAge
	}
	return max(local.StoreAge, f.servedLimit()+local.StoreFailing-unservedAfter)
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
