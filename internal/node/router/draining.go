package router

import (
	"context"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/target/drain"
)

// drainTargets drains the engines that are leaving and owned by this router.
func (r *Router) drainTargets(ctx context.Context) {
	r.drainer.Watch(ctx, r.leavingEngines)
}

func (r *Router) leavingEngines() []drain.Target {
	var list []drain.Target
	for _, s := range r.dispatch.Catalog().Services() {
		if s.Protocol != resource.ProtocolChat {
			continue
		}
		for _, t := range s.Targets {
			if (t.Leaving || r.leavingTargets.has(t.Name)) && r.owns(t) {
				list = append(list, r.drainTarget(s.Name, t))
			}
		}
	}
	return list
}

func (r *Router) owns(t catalog.Target) bool {
	owner, _, ok := r.owner.Of(t.Name, t.FailureDomain)
	return ok && owner == r.settings.Name
}

func (r *Router) drainTarget(service string, t catalog.Target) drain.Target {
	return drain.Target{
		Name:    t.Name,
		Address: t.Address,
		Destination: func(conversation string) (string, bool) {
			return r.dispatch.PreferredEngine(service, conversation)
		},
	}
}
