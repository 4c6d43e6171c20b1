// Package dispatch selects a target for each call, acquires a permit for it, sends
// the call, and decides which failures are retried.
package dispatch

import (
	"context"
	"sync/atomic"

	"github.com/rs/zerolog"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/policy/placement"
)

const (
	// Granted means that the permit was acquired.
	Granted Verdict = iota
	// Full means that the target is at its load limit.
	Full
	// Leaving means that the target is draining and accepts no new work.
	Leaving
	// OwnerUnreachable means that the router that owns the target could not be reached.
	OwnerUnreachable
	// Contested means that a previous owner may still grant permits for the target.
	Contested
)

type (
	// Verdict is the result of a permit request.
	Verdict int

	// Permits grants permits, which limit the load sent to a target.
	Permits interface {
		// Acquire requests a permit. If it is granted, the caller must call release once.
		Acquire(ctx context.Context, service string, target catalog.Target, weight int) (v Verdict, release func())
	}

	// Dispatcher dispatches the calls of one router.
	Dispatcher struct {
		opts  Options
		log   zerolog.Logger
		table atomic.Pointer[routingTable]
		// breaker skips targets that could not be reached recently.
		breaker *breaker
	}

	// routingTable is a configuration and the target placement of its services.
	routingTable struct {
		catalog    *catalog.Catalog
		placements map[string]*placement.Set
		targets    map[string]map[string]catalog.Target
	}
)

// New returns a dispatcher without a catalog; it refuses all calls until SetCatalog is called.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{opts: newOptions(opts...), breaker: newBreaker()}
	d.log = d.opts.Log
	d.SetCatalog(catalog.New(nil, 0))
	return d
}

// SetCatalog replaces the configuration for the calls that follow.
func (d *Dispatcher) SetCatalog(c *catalog.Catalog) {
	t := &routingTable{
		catalog:    c,
		placements: map[string]*placement.Set{},
		targets:    map[string]map[string]catalog.Target{},
	}
	for _, s := range c.Services() {
		t.addService(s)
	}
	d.table.Store(t)
}

// Catalog returns the current configuration.
func (d *Dispatcher) Catalog() *catalog.Catalog {
	return d.table.Load().catalog
}

func (t *routingTable) addService(s *catalog.Service) {
	byName := make(map[string]catalog.Target, len(s.Targets))
	candidates := make([]placement.Target, 0, len(s.Targets))
	for _, target := range s.Targets {
		byName[target.Name] = target
		if target.Leaving {
			continue
		}
		candidates = append(candidates, placement.Target{
			Name: target.Name, FailureDomain: target.FailureDomain, Weight: effectiveWeight(s, target),
		})
	}
	t.targets[s.Name] = byName
	t.placements[s.Name] = placement.NewSet(candidates)
}

// effectiveWeight returns the target's weight, scaled by its deployment's traffic share.
func effectiveWeight(s *catalog.Service, t catalog.Target) float64 {
	w := t.Weight
	if w == 0 {
		w = 1
	}
	if share, ok := s.Policy.Shares[t.Deployment]; ok {
		w *= share
	}
	return w
}
