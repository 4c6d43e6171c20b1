package membership

import (
	"slices"
	"strings"
)

// View is an immutable snapshot of the fleet as one router sees it.
type View struct {
	// Version increases with each change.
	Version uint64
	// Self is the router itself.
	Self Member
	// Members are all known routers, the router itself included, sorted by name.
	Members []Member
	// Live are the members that accept work, including suspects until their
	// timeout.
	Live []Member
	// Listed is the number of routers in the platform's VM list, the router
	// itself included. A much smaller number of live routers suggests a partition.
	Listed int
}

// NewlyDead returns the names of the members that are dead in this view but were not in
// a previous one.
func (v View) NewlyDead(previous View) []string {
	previousStates := make(map[string]State, len(previous.Members))
	for _, m := range previous.Members {
		previousStates[m.Name] = m.State
	}
	var names []string
	for _, m := range v.Members {
		if m.State == Dead && previousStates[m.Name] != Dead {
			names = append(names, m.Name)
		}
	}
	return names
}

// View returns the current view. The same view is returned until something changes.
func (d *Detector) View() View {
	if !d.viewStale {
		return d.view
	}
	d.viewStale = false
	v := View{Version: d.view.Version + 1, Self: d.self, Listed: len(d.listed) + 1}
	v.Members = make([]Member, 0, len(d.members)+1)
	v.Members = append(v.Members, d.self)
	for _, e := range d.members {
		v.Members = append(v.Members, e.Member)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	for _, m := range v.Members {
		if m.State == Live || m.State == Suspect {
			v.Live = append(v.Live, m)
		}
	}
	d.view = v
	return v
}
