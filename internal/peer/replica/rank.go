package replica

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// relaysPerDomain is the number of routers in each failure domain that watch the
	// platform.
	relaysPerDomain = 2
	// writerCount is the number of routers in the fleet that collect all
	// acknowledgements.
	writerCount = 2
	// fanout is the number of peers to which a router forwards a push.
	fanout = 4
)

type (
	// Peer is a router that exchanges configuration with others.
	Peer struct {
		Name string
		// Address is the peer's listen address for other routers, as IP:port.
		Address       string
		FailureDomain string
	}

	// roles holds the roles of routers, computed from one router's view of the live
	// routers. Routers with different views may do the same work twice or leave it to
	// repair; correctness does not depend on the roles.
	roles struct {
		// relays watch the platform for this router's failure domain. The first one
		// starts pushes.
		relays []Peer
		// writers collect all acknowledgements. The first one writes the status.
		writers      []Peer
		isRelay      bool
		isFirstRelay bool
	}
)

// newRoles computes the roles from the point of view of self.
func newRoles(self Peer, peers []Peer) roles {
	all := append(slices.Clone(peers), self)
	byDomain := map[string][]Peer{}
	for _, p := range all {
		byDomain[p.FailureDomain] = append(byDomain[p.FailureDomain], p)
	}
	var r roles
	var allRelays []Peer
	for domain, members := range byDomain {
		relays := topRanked(relaysPerDomain, "relay", members)
		allRelays = append(allRelays, relays...)
		if domain == self.FailureDomain {
			r.relays = relays
		}
	}
	r.writers = topRanked(writerCount, "writer", allRelays)
	r.isRelay = slices.Contains(r.relays, self)
	r.isFirstRelay = r.relays[0] == self
	return r
}

func (r roles) isWriter(name string) bool {
	return slices.ContainsFunc(r.writers, func(p Peer) bool { return p.Name == name })
}

// rankPeers sorts peers by rendezvous hash for a purpose, highest first.
func rankPeers(purpose string, peers []Peer) []Peer {
	scores := make(map[string]uint64, len(peers))
	for _, p := range peers {
		scores[p.Name] = xxhash.Sum64String(purpose + "\x00" + p.Name)
	}
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// topRanked returns the n highest-ranked peers.
func topRanked(n int, purpose string, peers []Peer) []Peer {
	ranked := rankPeers(purpose, peers)
	return ranked[:min(n, len(ranked))]
}

// peersInDomain returns the peers in one failure domain.
func peersInDomain(domain string, peers []Peer) []Peer {
	var found []Peer
	for _, p := range peers {
		if p.FailureDomain == domain {
			found = append(found, p)
		}
	}
	return found
}

// pushChildren returns the peers to which a router forwards a push. The tree is
// rooted at the relay and ordered differently for each version, which spreads the
// forwarding load evenly.
func pushChildren(self, root string, version uint64, members []Peer) []Peer {
	ranked := rankPeers(root+"/"+strconv.FormatUint(version, 10), members)
	slices.SortStableFunc(ranked, func(a, b Peer) int {
		return cmp.Compare(notEqual(a.Name, root), notEqual(b.Name, root))
	})
	i := slices.IndexFunc(ranked, func(p Peer) bool { return p.Name == self })
	if i < 0 {
		return nil
	}
	first := min(i*fanout+1, len(ranked))
	last := min(first+fanout, len(ranked))
	return ranked[first:last]
}

// notEqual returns 0 if a and b are equal and 1 otherwise.
func notEqual(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}
