package dispatch

import (
	"hickoryrock/internal/policy/placement"
)

// PreferredEngine returns the address of the engine that placement prefers for a conversation
// of a service, and whether there is one. It skips engines that are draining and ignores load.
// The conversation is given in the form that engines use: workspace, separator, chat.
func (d *Dispatcher) PreferredEngine(service, conversation string) (string, bool) {
	t := d.table.Load()
	set, ok := t.placements[service]
	if !ok {
		return "", false
	}
	order := set.Order(placement.Key(conversation))
	for {
		candidate, ok := order.Next()
		if !ok {
			return "", false
		}
		if !d.opts.Leaving(candidate.Name) {
			return t.targets[service][candidate.Name].Address, true
		}
	}
}
