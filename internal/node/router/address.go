package router

import (
	"time"

	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/peer/assignment"
	"hickoryrock/internal/peer/membership"
)

// maxAlternativeAddresses bounds the alternative addresses in a response.
const maxAlternativeAddresses = 3

func (r *Router) addressOptions() []assignment.Option {
	return []assignment.Option{assignment.TTL(r.settings.Callers.KeepAddress)}
}

// assignAddress returns the address of the router that a caller from the given failure
// domain should use.
func (r *Router) assignAddress(failureDomain string) server.Address {
	assigned := r.addresses.Assign(time.Now(), failureDomain)
	if assigned.Address == "" {
		// The view lists no live router, not even this one, whose address is better than
		// none.
		return server.Address{Address: r.settings.Listen.Callers, TTL: time.Second}
	}
	return server.Address{
		Address:      assigned.Address,
		TTL:          assigned.TTL,
		Alternatives: r.liveCallerAddresses(assigned.Router, maxAlternativeAddresses),
	}
}

// liveCallerAddresses returns the caller addresses of at most limit live routers, without
// the excluded one.
func (r *Router) liveCallerAddresses(excluded string, limit int) []string {
	var list []string
	for _, m := range r.probes.View().Live {
		if m.Name != excluded && m.State == membership.Live && len(list) < limit {
			list = append(list, m.CallerAddress)
		}
	}
	return list
}

// alternativeAddress returns the address of another router for a caller that this router
// refuses, or "" if there is none.
func (r *Router) alternativeAddress() string {
	others := r.liveCallerAddresses(r.settings.Name, 1)
	if len(others) == 0 {
		return ""
	}
	return others[0]
}
