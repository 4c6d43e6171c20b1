package router

import (
	"sync/atomic"

	"hickoryrock/internal/platform/objects"
)

// roleTarget is the role of targets in the platform's list of VMs.
const roleTarget = "target"

// leavingTargets holds the targets that the platform's list of VMs marks as leaving. It is
// safe for concurrent use.
type leavingTargets struct {
	names atomic.Pointer[map[string]bool]
}

// set replaces the targets by those of a new list of VMs.
func (l *leavingTargets) set(vms []objects.VM) {
	names := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == roleTarget && vm.State == objects.VMLeaving {
			names[vm.Name] = true
		}
	}
	l.names.Store(&names)
}

// has reports whether a target is marked as leaving.
func (l *leavingTargets) has(target string) bool {
	names := l.names.Load()
	return names != nil && (*names)[target]
}
