package replica

import (
	"cmp"
	"maps"
	"slices"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

type (
	// acknowledgement is the latest state that one router reported.
	acknowledgement struct {
		incarnation uint64
		version     uint64
		stopped     bool
		domain      string
	}

	// acknowledgements holds the latest acknowledgement of each other router by name.
	acknowledgements map[string]acknowledgement

	// servingRouter is a router that may be serving and the highest version it is
	// known to have. A change is in force only when every such router has it.
	servingRouter struct {
		name    string
		domain  string
		version uint64
	}
)

// merge merges an acknowledgement and reports whether it changed anything.
// Acknowledgements may arrive in any order and more than once.
func (acks acknowledgements) merge(a *peerv1.Acknowledgement) bool {
	next := acknowledgement{incarnation: a.GetIncarnation(), version: a.GetVersion(),
		stopped: a.GetStopped(), domain: a.GetFailureDomain()}
	current, ok := acks[a.GetRouter()]
	if ok && current.incarnation > next.incarnation {
		return false
	}
	if ok && current.incarnation == next.incarnation {
		next.version = max(next.version, current.version)
		next.stopped = next.stopped || current.stopped
	}
	acks[a.GetRouter()] = next
	return !ok || next != current
}

// drop deletes a router's acknowledgement unless it is from a later incarnation than
// the given one.
func (acks acknowledgements) drop(name string, incarnation uint64) {
	if a, ok := acks[name]; ok && a.incarnation <= incarnation {
		delete(acks, name)
	}
}

// toProto converts the acknowledgement to its wire format.
func (a acknowledgement) toProto(name string) *peerv1.Acknowledgement {
	return &peerv1.Acknowledgement{Router: name, Version: a.version, Incarnation: a.incarnation,
		Stopped: a.stopped, FailureDomain: a.domain}
}

// servingRouters returns every router that may be serving, with the version it is
// known to have.
//
// No such router is missing from the result. A router that starts through the platform
// writes its registration before it lists the configuration: a change with a version
// below the registration's is in that list, and a change with a higher version is
// complete at a peer only if the peer also has the registration. A router that starts
// through a peer during an outage is in that peer's acknowledgements from then on.
func (s *State) servingRouters() []servingRouter {
	routers := []servingRouter{{name: s.self.Name, domain: s.self.FailureDomain, version: s.activeVersion()}}
	registered := map[string]bool{s.self.Name: true}
	s.config.registrations(func(o objects.Object, r status.Registration) {
		if o.Name == s.self.Name {
			return
		}
		registered[o.Name] = true
		a := s.acks[o.Name]
		switch {
		case a.incarnation < r.Incarnation:
			routers = append(routers, servingRouter{name: o.Name, domain: r.FailureDomain})
		case !a.stopped:
			routers = append(routers, servingRouter{name: o.Name, domain: a.domain, version: a.version})
		}
	})
	for name, a := range s.acks {
		if !registered[name] && !a.stopped {
			routers = append(routers, servingRouter{name: name, domain: a.domain, version: a.version})
		}
	}
	return routers
}

// InForce returns the version up to which every change is in force, that is, applied
// by every router that may be serving. It returns 0 until this router is ready.
func (s *State) InForce() uint64 {
	if !s.ready {
		return 0
	}
	version := s.config.CompleteVersion()
	for _, r := range s.servingRouters() {
		version = min(version, r.version)
	}
	return version
}

// Status returns the fleet's configuration status as known to this router.
func (s *State) Status() status.Status {
	accepted := s.config.CompleteVersion()
	domains := map[string]status.Domain{}
	for _, r := range s.servingRouters() {
		d, ok := domains[r.domain]
		if !ok {
			d = status.Domain{Name: r.domain, InForce: accepted}
		}
		d.Routers++
		d.InForce = min(d.InForce, r.version)
		if r.version < accepted {
			d.Missing = append(d.Missing, r.name)
		}
		domains[r.domain] = d
	}
	result := status.Status{InForce: s.InForce(), Accepted: accepted, Conditions: s.config.conditions(), Writer: s.self.Name}
	for _, d := range slices.SortedFunc(maps.Values(domains), func(a, b status.Domain) int {
		return cmp.Compare(a.Name, b.Name)
	}) {
		slices.Sort(d.Missing)
		result.Domains = append(result.Domains, d)
	}
	return result
}
