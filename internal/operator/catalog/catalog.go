// Package catalog compiles configuration resources into a router's lookup
// tables.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"hickoryrock/internal/operator/resource"
)

const (
	defaultLoadBound      = 1.25
	defaultLoadFloor      = 4
	defaultRetryBudget    = 0.1
	defaultSilenceTimeout = 10 * time.Second
	defaultMethodTimeout  = 10 * time.Second
	defaultLateAfter      = 2 * time.Second
)

type (
	// Catalog is an immutable set of lookup tables for one configuration version.
	Catalog struct {
		// Version is the highest object version that the catalog includes.
		Version     uint64
		services    map[string]*Service
		deployments map[string]*resource.ModelDeployment
		models      map[string]*Service
		workspaces  map[string]*Workspace
		tokens      map[string]*Workspace
	}

	// Service is a service with its targets and effective traffic policy.
	Service struct {
		Name     string
		Protocol resource.Protocol
		Model    string
		Methods  map[string]resource.Method
		Targets  []Target
		Policy   resource.TrafficPolicy
	}

	// Target is one back end of a service and the deployment that it belongs to.
	Target struct {
		resource.Target
		// Deployment is empty for targets of a plain service.
		Deployment string
		// Version is the model version that the target must serve.
		Version string
	}

	// Workspace is a customer with the set of services it may use.
	Workspace struct {
		resource.Workspace
		// Location is the workspace's time zone.
		Location *time.Location
		allowed  map[string]bool
	}
)

// New compiles the resources that are in force at a version. A resource that
// refers to a missing resource has no effect until the missing one exists.
func New(list []resource.Resource, version uint64) *Catalog {
	c := &Catalog{
		Version:     version,
		services:    map[string]*Service{},
		deployments: map[string]*resource.ModelDeployment{},
		models:      map[string]*Service{},
		workspaces:  map[string]*Workspace{},
		tokens:      map[string]*Workspace{},
	}
	// Sort by name so that every router compiles the same catalog, whatever order
	// it received the resources in.
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b resource.Resource) int { return strings.Compare(a.Key().Name, b.Key().Name) })
	addEach(sorted, c.addService)
	addEach(sorted, c.addDeployment)
	addEach(sorted, c.addPolicy)
	addEach(sorted, c.addWorkspace)
	return c
}

// Service returns a service by name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, ordered by name.
func (c *Catalog) Services() []*Service {
	list := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Deployments returns the model deployments by name; the map must not be changed.
func (c *Catalog) Deployments() map[string]*resource.ModelDeployment {
	return c.deployments
}

// Model returns the chat service that serves a model.
func (c *Catalog) Model(model string) (*Service, bool) {
	s, ok := c.models[model]
	return s, ok
}

// Workspaces returns all workspaces in unspecified order.
func (c *Catalog) Workspaces() []*Workspace {
	return slices.Collect(maps.Values(c.workspaces))
}

// Workspace returns a workspace by name.
func (c *Catalog) Workspace(name string) (*Workspace, bool) {
	w, ok := c.workspaces[name]
	return w, ok
}

// WorkspaceByToken returns the workspace that a bearer token belongs to. The
// table is keyed by the token's digest, so lookup timing does not leak the token.
func (c *Catalog) WorkspaceByToken(token string) (*Workspace, bool) {
	sum := sha256.Sum256([]byte(token))
	w, ok := c.tokens[hex.EncodeToString(sum[:])]
	return w, ok
}

// MayUse reports whether the workspace may use a service.
func (w *Workspace) MayUse(service string) bool {
	return w.allowed[service]
}

// Target returns a target of the service by name.
func (s *Service) Target(name string) (Target, bool) {
	for _, t := range s.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

func addEach[T resource.Resource](list []resource.Resource, add func(T)) {
	for _, r := range list {
		if v, ok := r.(T); ok {
			add(v)
		}
	}
}

func (c *Catalog) addService(r *resource.Service) {
	s := &Service{
		Name:     r.Name,
		Protocol: r.Protocol,
		Model:    r.Model,
		Methods:  map[string]resource.Method{},
		Policy: resource.TrafficPolicy{
			Service:        r.Name,
			LoadBound:      defaultLoadBound,
			LoadFloor:      defaultLoadFloor,
			RetryBudget:    defaultRetryBudget,
			SilenceTimeout: resource.Duration(defaultSilenceTimeout),
		},
	}
	for _, m := range r.Methods {
		if m.Timeout == 0 {
			m.Timeout = resource.Duration(defaultMethodTimeout)
		}
		s.Methods[m.Name] = m
	}
	for _, t := range r.Targets {
		s.Targets = append(s.Targets, Target{Target: t})
	}
	c.services[r.Name] = s
	if r.Model != "" {
		c.models[r.Model] = s
	}
}

func (c *Catalog) addDeployment(d *resource.ModelDeployment) {
	s, ok := c.services[d.Service]
	if !ok {
		return
	}
	c.deployments[d.Name] = d
	for _, t := range d.Targets {
		s.Targets = append(s.Targets, Target{Target: t, Deployment: d.Name, Version: d.Version})
	}
}

func (c *Catalog) addPolicy(r *resource.TrafficPolicy) {
	s, ok := c.services[r.Service]
	if !ok {
		return
	}
	p, d := *r, s.Policy
	p.LoadBound = orDefault(p.LoadBound, d.LoadBound)
	p.LoadFloor = orDefault(p.LoadFloor, d.LoadFloor)
	p.RetryBudget = orDefault(p.RetryBudget, d.RetryBudget)
	p.SilenceTimeout = orDefault(p.SilenceTimeout, d.SilenceTimeout)
	s.Policy = p
}

func (c *Catalog) addWorkspace(r *resource.Workspace) {
	w := &Workspace{Workspace: *r, Location: loadTimeZone(r), allowed: map[string]bool{}}
	w.LateAfter = orDefault(w.LateAfter, resource.Duration(defaultLateAfter))
	for _, s := range r.Services {
		w.allowed[s] = true
	}
	c.workspaces[r.Name] = w
	c.tokens[r.TokenSHA256] = w
}

// loadTimeZone returns the workspace's time zone, or UTC when it is unknown. It
// runs once per configuration because time.LoadLocation reads files.
func loadTimeZone(r *resource.Workspace) *time.Location {
	location, err := time.LoadLocation(r.TimeZone)
	if err != nil {
		return time.UTC
	}
	return location
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
