package ownership

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/policy/permits"
	"hickoryrock/internal/target/dispatch"
)

// idBase is the number base of permit IDs. It keeps them short, since they are sent with
// every permit.
const idBase = 36

type (
	// heldPermits are the permits that this router holds, by target. It is safe for
	// concurrent use.
	heldPermits struct {
		holder string
		// processPrefix distinguishes the permits of this process from those of an earlier
		// process with the same holder name, whose requests may still be running.
		processPrefix string
		lastID        atomic.Uint64

		mu      sync.Mutex
		targets map[string]*targetPermits
	}

	targetPermits struct {
		service string
		target  catalog.Target
		permits map[string]uint32
	}
)

func newHeldPermits(holder string) heldPermits {
	prefix := strconv.FormatUint(uint64(rand.Uint32()), idBase) + "-"
	return heldPermits{holder: holder, processPrefix: prefix, targets: map[string]*targetPermits{}}
}

// Acquire implements dispatch.Permits.
func (o *Owner) Acquire(ctx context.Context, service string, t catalog.Target, weight int) (dispatch.Verdict, func()) {
	owner, address, ok := o.ownerOf(t)
	if !ok {
		return dispatch.OwnerUnreachable, nil
	}
	p := o.held.add(service, t, uint32(weight))
	requestedAt := o.opts.Now()
	verdict, responded := o.requestPermit(ctx, owner, address, service, t.Name, p)
	if !responded || o.opts.Now().Sub(requestedAt) > GrantTerm {
		// The owner may have granted the permit although no response arrived. And if this
		// router was paused meanwhile, the owner may no longer count the permit.
		o.release(t, p)
		return dispatch.OwnerUnreachable, nil
	}
	if verdict != permits.Granted {
		o.held.remove(t.Name, p.ID)
		return dispatchVerdict(verdict), nil
	}
	var once sync.Once
	return dispatch.Granted, func() { once.Do(func() { o.release(t, p) }) }
}

func (o *Owner) requestPermit(ctx context.Context, owner, address, service, target string, p permits.Permit) (permits.Verdict, bool) {
	if owner == o.self {
		return o.Grant(target, p), true
	}
	return o.peers.Acquire(ctx, address, service, target, p)
}

// release returns a permit to the current owner of the target, which may be another than
// the one that granted it.
func (o *Owner) release(t catalog.Target, p permits.Permit) {
	o.held.remove(t.Name, p.ID)
	owner, address, ok := o.ownerOf(t)
	if !ok {
		return
	}
	if owner == o.self {
		o.ledger.Release(t.Name, p.Holder, p.ID)
		return
	}
	o.peers.Release(address, t.Name, p)
}

// announce reports the held permits to the owners of their targets.
func (o *Owner) announce() {
	now := o.opts.Now()
	for _, h := range o.held.snapshot() {
		owner, address, ok := o.ownerOf(h.target)
		switch {
		case !ok:
		case owner == o.self:
			o.ledger.Announce(now, h.target.Name, h.list)
		default:
			o.peers.Announce(address, h.service, h.target.Name, h.list)
		}
	}
}

func dispatchVerdict(v permits.Verdict) dispatch.Verdict {
	switch v {
	case permits.Granted:
		return dispatch.Granted
	case permits.Full:
		return dispatch.Full
	case permits.Leaving:
		return dispatch.Leaving
	case permits.Contested:
		return dispatch.Contested
	default:
		return dispatch.OwnerUnreachable
	}
}

func (h *heldPermits) add(service string, t catalog.Target, weight uint32) permits.Permit {
	p := permits.Permit{Holder: h.holder, ID: h.processPrefix + strconv.FormatUint(h.lastID.Add(1), idBase), Weight: weight}
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, ok := h.targets[t.Name]
	if !ok {
		entry = &targetPermits{service: service, target: t, permits: map[string]uint32{}}
		h.targets[t.Name] = entry
	}
	entry.permits[p.ID] = weight
	return p
}

func (h *heldPermits) remove(target, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, ok := h.targets[target]
	if !ok {
		return
	}
	delete(entry.permits, id)
	if len(entry.permits) == 0 {
		delete(h.targets, target)
	}
}

// announcement is a copy of the permits held on one target.
type announcement struct {
	service string
	target  catalog.Target
	list    []permits.Permit
}

func (h *heldPermits) snapshot() []announcement {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]announcement, 0, len(h.targets))
	for _, entry := range h.targets {
		a := announcement{service: entry.service, target: entry.target}
		for id, weight := range entry.permits {
			a.list = append(a.list, permits.Permit{Holder: h.holder, ID: id, Weight: weight})
		}
		all = append(all, a)
	}
	return all
}
