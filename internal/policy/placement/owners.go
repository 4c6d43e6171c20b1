package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

type (
	// Router is one member of the fleet.
	Router struct {
		Name          string
		FailureDomain string
	}

	// Owners is an immutable set of live routers that determines which of them
	// owns a target.
	Owners struct {
		all     group
		domains map[string]group
	}

	// group is a list of routers with the hash seeds of their names.
	group struct {
		routers []Router
		seeds   []uint64
	}
)

// NewOwners returns the owners among the given live routers.
func NewOwners(routers []Router) *Owners {
	o := &Owners{domains: make(map[string]group)}
	for _, r := range routers {
		o.all = o.all.with(r)
		o.domains[r.FailureDomain] = o.domains[r.FailureDomain].with(r)
	}
	return o
}

// Owner returns the router that owns a target: one in the target's failure
// domain, or any if that domain has no live router. It returns false if there
// is none.
func (o *Owners) Owner(t Target) (Router, bool) {
	g, ok := o.domains[t.FailureDomain]
	if !ok {
		g = o.all
	}
	return g.best(xxhash.Sum64String(t.Name))
}

// Owner returns the router among the given ones that owns a target.
func Owner(t Target, routers []Router) (Router, bool) {
	return NewOwners(routers).Owner(t)
}

func (g group) with(r Router) group {
	g.routers = append(g.routers, r)
	g.seeds = append(g.seeds, xxhash.Sum64String(r.Name))
	return g
}

func (g group) best(key uint64) (Router, bool) {
	lowest, index := uint64(math.MaxUint64), -1
	for i, seed := range g.seeds {
		if h := mix(seed, key); h < lowest {
			lowest, index = h, i
		}
	}
	if index < 0 {
		return Router{}, false
	}
	return g.routers[index], true
}
