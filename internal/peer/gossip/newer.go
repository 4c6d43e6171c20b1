package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/platform/objects"
)

const (
	// maxNewer bounds the versions that are remembered until this router has them.
	maxNewer = 32
	// lagCheckInterval is how often a router checks whether it lacks what its peers have.
	lagCheckInterval = 50 * time.Millisecond
	// firstAskPart is the part of the wait of a watch after which the first routers of a failure
	// domain ask the store for what peers have and have not sent, 1/firstAskPart, and askPart the
	// same for the others. Both leave most of the time in which a change must be in force.
	firstAskPart = 4
	askPart      = 2
	// askSpacing is the delay from one router of a failure domain to the next, so that most get
	// the change from one that has asked. Its sum is 1/maxAskSpacingPart of that wait at most.
	askSpacing        = 10 * time.Millisecond
	maxAskSpacingPart = 4
)

type (
	// newer holds the versions of one kind that peers have and this router lacks, in ascending
	// order, and when it first heard of each.
	newer[T any] struct {
		compare func(a, b T) int
		heard   []heardOf[T]
	}

	heardOf[T any] struct {
		version T
		at      time.Time
	}

	// ConfigurationLag says how far this router's configuration is behind that of its peers.
	ConfigurationLag struct {
		// Newest is the newest version that a peer has, or zero if this router lacks none.
		Newest int64
		// Behind is the time since this router first heard of a version that it lacks.
		Behind time.Duration
	}

	// lags holds what peers have and this router lacks.
	lags struct {
		configuration newer[int64]
		targets       newer[state.Revision]
	}
)

func newLags() lags {
	return lags{newer[int64]{compare: cmp.Compare[int64]}, newer[state.Revision]{compare: state.Revision.Compare}}
}

// add records that a peer has a version. It reports whether the version was not known.
func (n *newer[T]) add(version T, now time.Time) bool {
	last := len(n.heard) - 1
	switch {
	case last >= 0 && n.compare(version, n.heard[last].version) <= 0:
		return false
	case last+1 == maxNewer:
		n.heard[last].version = version
	default:
		n.heard = append(n.heard, heardOf[T]{version, now})
	}
	return true
}

// drop forgets the versions up to the one that this router has.
func (n *newer[T]) drop(have T) {
	n.heard = slices.DeleteFunc(n.heard, func(h heardOf[T]) bool { return n.compare(h.version, have) <= 0 })
}

// behind returns the time since this router first heard of a version that it lacks, or zero.
func (n *newer[T]) behind(now time.Time) time.Duration {
	if len(n.heard) == 0 {
		return 0
	}
	return now.Sub(n.heard[0].at)
}

// newest returns the newest version that this router lacks, or the zero value.
func (n *newer[T]) newest() (version T) {
	if len(n.heard) > 0 {
		version = n.heard[len(n.heard)-1].version
	}
	return version
}

// drop forgets what this router has.
func (l *lags) drop(local State) {
	l.configuration.drop(local.ConfigurationVersion)
	l.targets.drop(local.TargetsRevision)
}

// ConfigurationLag returns how far a version of the configuration, which this router has, is
// behind those of its peers.
func (f *Fleet) ConfigurationLag(have int64) ConfigurationLag {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lags.configuration.drop(have)
	return ConfigurationLag{Newest: f.lags.configuration.newest(), Behind: f.lags.configuration.behind(time.Now())}
}

// noteVersions records what the sender of a beacon has.
func (f *Fleet) noteVersions(b *peerv1.Beacon, local State, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lags.drop(local)
	if b.GetConfigurationVersion() > local.ConfigurationVersion && f.lags.configuration.add(b.GetConfigurationVersion(), now) {
		f.log.Info().Int64("configuration", local.ConfigurationVersion).Int64("newer", b.GetConfigurationVersion()).
			Str("peer", b.GetRouter()).Uint32("store-age-ms", b.GetStoreAgeMs()).Msg("newer configuration heard of")
	}
	if theirs := targetsRevision(b); local.TargetsRevision.Before(theirs) && f.isAhead(b, local) {
		f.lags.targets.add(theirs, now)
	}
}

// askStoreWhenBehind asks the store for what peers have told of and have not sent in time: all
// of them may be slow, cut off or gone.
func (f *Fleet) askStoreWhenBehind(ctx context.Context) {
	var askedAt time.Time
	for objects.Sleep(ctx, lagCheckInterval) == nil {
		local := f.localState()
		now := time.Now()
		f.mu.Lock()
		f.lags.drop(local)
		configuration, targets := f.lags.configuration.behind(now), f.lags.targets.behind(now)
		newest := f.lags.configuration.newest()
		f.mu.Unlock()
		behind := max(configuration, targets)
		if behind == 0 || behind < f.askDelay() || now.Sub(askedAt) < f.watcher.WatchWait()/askPart {
			continue
		}
		askedAt = now
		f.log.Info().Int64("configuration", local.ConfigurationVersion).Int64("newer", newest).
			Dur("behind-ms", configuration).Dur("targets-behind-ms", targets).Bool("watches", f.WatchesStore()).
			Msg("store asked for what peers have not sent")
		f.watcher.Refresh(configuration > 0, targets > 0)
	}
}

// askDelay returns how long this router waits for its peers before it asks the store.
func (f *Fleet) askDelay() time.Duration {
	wait := f.watcher.WatchWait()
	before := f.routersBefore()
	if before < firstFetchers {
		return wait / firstAskPart
	}
	return wait/askPart + min(time.Duration(before)*askSpacing, wait/maxAskSpacingPart)
}
