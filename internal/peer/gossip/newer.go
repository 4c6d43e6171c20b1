package gossip

import (
	"slices"
	"time"

	peerv1 "hickoryrock/api/peer/v1"
)

// maxNewer bounds the versions that are remembered until this router has them.
const maxNewer = 32

type (
	// newerVersions holds the configuration versions that peers have and this router lacks, in
	// ascending order.
	newerVersions struct {
		versions []newerVersion
	}

	// newerVersion is a configuration version and when this router first heard of it.
	newerVersion struct {
		version int64
		since   time.Time
	}

	// ConfigurationLag says how far this router's configuration is behind that of its peers.
	ConfigurationLag struct {
		// Newest is the newest version that a peer has, or zero if this router lacks none.
		Newest int64
		// Behind is the time since this router first heard of a version that it lacks.
		Behind time.Duration
	}
)

// add records that a peer has a version. It reports whether the version was not known.
func (n *newerVersions) add(version int64, now time.Time) bool {
	if len(n.versions) > 0 && version <= n.versions[len(n.versions)-1].version {
		return false
	}
	if len(n.versions) == maxNewer {
		n.versions[maxNewer-1].version = version
		return true
	}
	n.versions = append(n.versions, newerVersion{version, now})
	return true
}

// drop forgets the versions up to the one that this router has.
func (n *newerVersions) drop(have int64) {
	n.versions = slices.DeleteFunc(n.versions, func(v newerVersion) bool { return v.version <= have })
}

// lag returns how far a router with a version is behind.
func (n *newerVersions) lag(have int64, now time.Time) ConfigurationLag {
	n.drop(have)
	if len(n.versions) == 0 {
		return ConfigurationLag{}
	}
	return ConfigurationLag{Newest: n.versions[len(n.versions)-1].version, Behind: now.Sub(n.versions[0].since)}
}

// ConfigurationLag returns how far this router's configuration is behind that of its peers.
func (f *Fleet) ConfigurationLag() ConfigurationLag {
	have := f.localState().ConfigurationVersion
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newer.lag(have, time.Now())
}

// noteConfiguration records the configuration version of a beacon's sender.
func (f *Fleet) noteConfiguration(b *peerv1.Beacon, local State, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newer.drop(local.ConfigurationVersion)
	if b.GetConfigurationVersion() > local.ConfigurationVersion && f.newer.add(b.GetConfigurationVersion(), now) {
		f.log.Info().Int64("configuration", local.ConfigurationVersion).Int64("newer", b.GetConfigurationVersion()).
			Str("peer", b.GetRouter()).Uint32("store-age-ms", b.GetStoreAgeMs()).Msg("newer configuration heard of")
	}
}
