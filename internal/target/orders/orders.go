// Package orders reconciles engines with the desired state of their deployment. One
// controller per deployment compares the engines' reports with the desired state and
// sends orders to load models and adapters and to change roles.
package orders

import (
	"context"
	"errors"
	"maps"
	"slices"
)

const (
	// LoadModel loads a version of a model.
	LoadModel Kind = "load-model"
	// LoadAdapter loads a version of an adapter of a model.
	LoadAdapter Kind = "load-adapter"
	// SetRole changes the engine's role.
	SetRole Kind = "set-role"
)

// ErrFenced means that the engine has already seen a higher fencing token.
var ErrFenced = errors.New("engine rejected a stale fencing token")

type (
	// Engine sends orders to engines and reads their reports.
	Engine interface {
		// Order sends an order to the engine at an address. It returns ErrFenced if the
		// engine checks fencing tokens and has seen a higher one.
		Order(ctx context.Context, address string, o Order) error
		// Report returns the current state of the engine at an address.
		Report(ctx context.Context, address string) (Report, error)
	}

	// Order tells an engine to change its state.
	Order struct {
		Kind    Kind   `json:"kind"`
		Model   string `json:"model,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
		Role    string `json:"role,omitempty"`
		Fencing uint64 `json:"fencing"`
	}

	// Kind is the type of change that an order makes.
	Kind string

	// Report is the state of an engine. Models holds versions by model; adapters are listed as
	// model:adapter.
	Report struct {
		Role    string            `json:"role"`
		Models  map[string]string `json:"models"`
		Fencing uint64            `json:"fencing"`
	}

	// DesiredState is the desired state of each engine of a deployment.
	DesiredState struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		// Adapters maps adapter names to versions.
		Adapters map[string]string `json:"adapters,omitempty"`
		Role     string            `json:"role,omitempty"`
	}

	// Deployment is a set of engines with the same desired state.
	Deployment struct {
		Name    string
		Desired DesiredState
		// Targets maps target names to addresses.
		Targets map[string]string
		// MaxConcurrentLoads bounds how many targets load at the same time, so that the service
		// keeps enough capacity.
		MaxConcurrentLoads int
	}

	// plannedOrder is an order and the target that it is for.
	plannedOrder struct {
		target string
		order  Order
	}
)

// SatisfiedBy reports whether an engine has reached the desired state. Only such engines
// receive traffic, so that a delayed order of a paused controller cannot cause
// responses from the wrong model version.
func (s DesiredState) SatisfiedBy(r Report) bool {
	_, differs := s.nextOrder(r)
	return !differs
}

// nextOrder returns the next order towards the desired state, and whether one is needed.
func (s DesiredState) nextOrder(r Report) (Order, bool) {
	if s.Model != "" && r.Models[s.Model] != s.Version {
		return Order{Kind: LoadModel, Model: s.Model, Version: s.Version}, true
	}
	for _, name := range slices.Sorted(maps.Keys(s.Adapters)) {
		if version := s.Adapters[name]; r.Models[s.Model+":"+name] != version {
			return Order{Kind: LoadAdapter, Model: s.Model, Adapter: name, Version: version}, true
		}
	}
	if s.Role != "" && r.Role != s.Role {
		return Order{Kind: SetRole, Role: s.Role}, true
	}
	return Order{}, false
}

// appliedIn reports whether the engine's report shows that the order was applied.
func (o Order) appliedIn(r Report) bool {
	switch o.Kind {
	case LoadModel:
		return r.Models[o.Model] == o.Version
	case LoadAdapter:
		return r.Models[o.Model+":"+o.Adapter] == o.Version
	}
	return r.Role == o.Role
}

// plan returns the orders to send now. It skips targets without a report and targets
// with a pending order; the latter count against MaxConcurrentLoads.
func plan(d Deployment, reports map[string]Report, pending map[string]pendingOrder, fencing uint64) []plannedOrder {
	var planned []plannedOrder
	available := d.MaxConcurrentLoads - len(pending)
	for _, target := range slices.Sorted(maps.Keys(d.Targets)) {
		r, ok := reports[target]
		if _, isPending := pending[target]; !ok || isPending {
			continue
		}
		o, differs := d.Desired.nextOrder(r)
		if !differs {
			continue
		}
		if available <= 0 {
			break
		}
		available--
		o.Fencing = fencing
		planned = append(planned, plannedOrder{target: target, order: o})
	}
	return planned
}
