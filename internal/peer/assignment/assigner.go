// Package assignment assigns callers to routers, and determines how long a leaving
// router must keep accepting the callers that were assigned to it.
package assignment

import (
	"cmp"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/peer/membership"
)

type (
	// Assigner assigns each caller that asks for a router to a live one.
	//
	// It is safe for concurrent use.
	Assigner struct {
		routerName string
		options    options

		mu       sync.Mutex
		view     membership.View
		assigned map[string]uint64
		decayAt  time.Time
	}

	// Assignment is the router assigned to one caller. It is the zero value when
	// there is no live router.
	Assignment struct {
		Router  string
		Address string
		// TTL is how long the caller may use the assignment.
		TTL time.Duration
	}
)

// New returns a Book for the named router, with an empty view.
func New(routerName string, opts ...Option) *Assigner {
	return &Assigner{routerName: routerName, options: newOptions(opts...), assigned: make(map[string]uint64)}
}

// Update replaces the view. New routers start at the count of the least assigned
// router of their failure domain, so that they are not assigned to every caller.
func (b *Assigner) Update(v membership.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	assigned := make(map[string]uint64, len(v.Live))
	for _, m := range v.Live {
		n, ok := b.assigned[m.Name]
		if !ok {
			n = b.initialCount(m.FailureDomain)
		}
		assigned[m.Name] = n
	}
	b.view, b.assigned = v, assigned
}

// initialCount returns the count at which a new router of a failure domain starts:
// the lowest count in that domain, or in the fleet when the domain has no routers.
func (b *Assigner) initialCount(failureDomain string) uint64 {
	if m, ok := b.leastAssigned(inDomain(b.view.Live, failureDomain)); ok {
		return b.assigned[m.Name]
	}
	if m, ok := b.leastAssigned(b.view.Live); ok {
		return b.assigned[m.Name]
	}
	return 0
}

// Assign assigns the least assigned router of the caller's failure domain, unless
// it was assigned far more often than the least assigned one of the whole fleet.
func (b *Assigner) Assign(now time.Time, failureDomain string) Assignment {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	m, ok := b.selectRouter(failureDomain)
	if !ok {
		return Assignment{}
	}
	b.assigned[m.Name]++
	return Assignment{Router: m.Name, Address: m.CallerAddress, TTL: b.options.ttl}
}

func (b *Assigner) selectRouter(failureDomain string) (membership.Member, bool) {
	global, ok := b.leastAssigned(preferUnsuspected(b.view.Live))
	if !ok {
		return membership.Member{}, false
	}
	local, ok := b.leastAssigned(inDomain(preferUnsuspected(b.view.Live), failureDomain))
	if !ok || float64(b.assigned[local.Name]) > b.options.localityPreference*float64(b.assigned[global.Name]+1) {
		return global, true
	}
	return local, true
}

// inDomain returns the members that belong to a failure domain.
func inDomain(members []membership.Member, failureDomain string) []membership.Member {
	var matching []membership.Member
	for _, m := range members {
		if m.FailureDomain == failureDomain {
			matching = append(matching, m)
		}
	}
	return matching
}

// preferUnsuspected returns the routers that are not suspect, or all when every one
// is suspect.
func preferUnsuspected(members []membership.Member) []membership.Member {
	var live []membership.Member
	for _, m := range members {
		if m.State == membership.Live {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return members
	}
	return live
}

// leastAssigned returns the router that was assigned least often. Each router breaks
// ties differently, so that the assignments of all routers together are even as well.
// It returns false if there are no routers.
func (b *Assigner) leastAssigned(members []membership.Member) (membership.Member, bool) {
	if len(members) == 0 {
		return membership.Member{}, false
	}
	best := members[0]
	for _, m := range members[1:] {
		if cmp.Or(cmp.Compare(b.assigned[m.Name], b.assigned[best.Name]), cmp.Compare(b.rank(m), b.rank(best))) < 0 {
			best = m
		}
	}
	return best, true
}

func (b *Assigner) rank(m membership.Member) uint64 {
	return xxhash.Sum64String(b.routerName + "/" + m.Name)
}

// decay halves all counts once per lifetime of an assignment, because callers stop
// using old assignments.
func (b *Assigner) decay(now time.Time) {
	if now.Before(b.decayAt) {
		return
	}
	b.decayAt = now.Add(b.options.ttl)
	for name, n := range b.assigned {
		b.assigned[name] = n / 2
	}
}
