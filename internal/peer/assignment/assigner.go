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

// New returns an Assigner for the named router, with an empty view.
func New(routerName string, opts ...Option) *Assigner {
	return &Assigner{routerName: routerName, options: newOptions(opts...), assigned: make(map[string]uint64)}
}

// Update replaces the view. New routers start at the count of the least assigned
// router of their failure domain, so that they are not assigned to every caller.
func (a *Assigner) Update(v membership.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	assigned := make(map[string]uint64, len(v.Live))
	for _, m := range v.Live {
		n, ok := a.assigned[m.Name]
		if !ok {
			n = a.initialCount(m.FailureDomain)
		}
		assigned[m.Name] = n
	}
	a.view, a.assigned = v, assigned
}

// initialCount returns the count at which a new router of a failure domain starts:
// the lowest count in that domain, or in the fleet when the domain has no routers.
func (a *Assigner) initialCount(failureDomain string) uint64 {
	if m, ok := a.leastAssigned(inDomain(a.view.Live, failureDomain)); ok {
		return a.assigned[m.Name]
	}
	if m, ok := a.leastAssigned(a.view.Live); ok {
		return a.assigned[m.Name]
	}
	return 0
}

// Assign assigns the least assigned router of the caller's failure domain, unless
// it was assigned far more often than the least assigned one of the whole fleet.
func (a *Assigner) Assign(now time.Time, failureDomain string) Assignment {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	m, ok := a.selectRouter(failureDomain)
	if !ok {
		return Assignment{}
	}
	a.assigned[m.Name]++
	return Assignment{Router: m.Name, Address: m.CallerAddress, TTL: a.options.ttl}
}

func (a *Assigner) selectRouter(failureDomain string) (membership.Member, bool) {
	global, ok := a.leastAssigned(preferUnsuspected(a.view.Live))
	if !ok {
		return membership.Member{}, false
	}
	local, ok := a.leastAssigned(inDomain(preferUnsuspected(a.view.Live), failureDomain))
	if !ok || float64(a.assigned[local.Name]) > a.options.localityPreference*float64(a.assigned[global.Name]+1) {
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
func (a *Assigner) leastAssigned(members []membership.Member) (membership.Member, bool) {
	if len(members) == 0 {
		return membership.Member{}, false
	}
	best := members[0]
	for _, m := range members[1:] {
		if cmp.Or(cmp.Compare(a.assigned[m.Name], a.assigned[best.Name]), cmp.Compare(a.rank(m), a.rank(best))) < 0 {
			best = m
		}
	}
	return best, true
}

func (a *Assigner) rank(m membership.Member) uint64 {
	return xxhash.Sum64String(a.routerName + "/" + m.Name)
}

// decay halves all counts once per lifetime of an assignment, because callers stop
// using old assignments.
func (a *Assigner) decay(now time.Time) {
	if now.Before(a.decayAt) {
		return
	}
	a.decayAt = now.Add(a.options.ttl)
	for name, n := range a.assigned {
		a.assigned[name] = n / 2
	}
}
