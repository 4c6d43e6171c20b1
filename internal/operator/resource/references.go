package resource

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"hickoryrock/internal/platform/objects"
)

// ReferenceProblem is a conflicting or dangling reference between valid
// resources. It never keeps a resource from being in force, because operators
// may write the resources of a service in any order.
type ReferenceProblem struct {
	Key     objects.Key
	Message string
}

// CheckReferences checks the references between resources and returns the problems,
// ordered by the key of the resource that refers.
func CheckReferences(rs []Resource) []ReferenceProblem {
	sorted := slices.SortedFunc(slices.Values(rs), func(a, b Resource) int {
		return compareKeys(a.Key(), b.Key())
	})
	x := &references{services: map[string]bool{}, deployments: map[string]string{}, policies: map[string]string{}}
	for _, r := range sorted {
		x.add(r)
	}
	for _, r := range sorted {
		x.check(r)
	}
	return x.problems
}

// references indexes resources by the names that others refer to.
type references struct {
	services map[string]bool
	// deployments maps a model deployment to its service.
	deployments map[string]string
	// policies maps a service to its first traffic policy by name, which is
	// reported as the one in use.
	policies map[string]string
	problems []ReferenceProblem
}

func (x *references) add(r Resource) {
	switch r := r.(type) {
	case *Service:
		x.services[r.Name] = true
	case *ModelDeployment:
		x.deployments[r.Name] = r.Service
	case *TrafficPolicy:
		if _, ok := x.policies[r.Service]; !ok {
			x.policies[r.Service] = r.Name
		}
	}
}

func (x *references) check(r Resource) {
	k := r.Key()
	switch r := r.(type) {
	case *ModelDeployment:
		x.checkService(k, r.Service)
	case *Workspace:
		for _, s := range r.Services {
			x.checkService(k, s)
		}
	case *TrafficPolicy:
		x.checkService(k, r.Service)
		x.checkPolicy(k, r)
	}
}

func (x *references) checkService(k objects.Key, name string) {
	if !x.services[name] {
		x.report(k, "service %q does not exist", name)
	}
}

func (x *references) checkPolicy(k objects.Key, p *TrafficPolicy) {
	if used := x.policies[p.Service]; used != p.Name {
		x.report(k, "service %q has another traffic policy, %q, which is used", p.Service, used)
	}
	for _, name := range slices.Sorted(maps.Keys(p.Shares)) {
		if x.deployments[name] != p.Service {
			x.report(k, "model deployment %q of service %q does not exist", name, p.Service)
		}
	}
}

func (x *references) report(k objects.Key, format string, args ...any) {
	x.problems = append(x.problems, ReferenceProblem{Key: k, Message: fmt.Sprintf(format, args...)})
}

func compareKeys(a, b objects.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
