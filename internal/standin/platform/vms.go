package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"hickoryrock/internal/platform/objects"
)

type (
	// delayedVMList is an eventually consistent list of VMs: a change becomes visible after a
	// fixed lag.
	delayedVMList struct {
		mu      sync.Mutex
		lag     time.Duration
		visible map[string]objects.VM
		pending []vmChange
	}

	vmChange struct {
		name string
		// vm is nil if the VM was removed.
		vm        *objects.VM
		visibleAt time.Time
	}

	// VMListResponse is the response body of GET /v1/vms.
	VMListResponse struct {
		VMs []objects.VM `json:"vms"`
	}
)

func newDelayedVMList(lag time.Duration) *delayedVMList {
	return &delayedVMList{lag: lag, visible: make(map[string]objects.VM)}
}

// scheduleChange makes a change visible once the lag has passed; a nil vm removes the VM.
func (l *delayedVMList) scheduleChange(now time.Time, name string, vm *objects.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{name: name, vm: vm, visibleAt: now.Add(l.lag)})
}

// applyDueAndList applies the changes that are due at now and returns the VMs sorted by name.
func (l *delayedVMList) applyDueAndList(now time.Time) []objects.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.vm == nil {
			delete(l.visible, c.name)
			continue
		}
		l.visible[c.name] = *c.vm
	}
	out := make([]objects.VM, 0, len(l.visible))
	for _, name := range slices.Sorted(maps.Keys(l.visible)) {
		out = append(out, l.visible[name])
	}
	return out
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, VMListResponse{VMs: s.vmList.applyDueAndList(s.opts.Now())})
}

// putVM registers a VM or changes its state. The real platform has no such endpoint; only tests
// and demos call it.
func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm objects.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil || vm.Name == "" {
		writeError(w, http.StatusBadRequest, codeInvalid, "the body must be a VM with a name")
		return
	}
	s.PutVM(vm)
	writeJSON(w, http.StatusOK, vm)
}

// PutVM registers a VM or changes its state. The change is listed after the VM lag.
func (s *Server) PutVM(vm objects.VM) {
	s.vmList.scheduleChange(s.opts.Now(), vm.Name, &vm)
}

func (s *Server) deleteVM(w http.ResponseWriter, r *http.Request) {
	s.vmList.scheduleChange(s.opts.Now(), r.PathValue("name"), nil)
	w.WriteHeader(http.StatusNoContent)
}
