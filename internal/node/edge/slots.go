package edge

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/policy/eligibility"
	"hickoryrock/internal/policy/slots"
)

// slotPort returns the port for the exchange of slots, which is the same on all VMs, and false if
// the platform leaves none free.
func (r *Router) slotPort() (uint16, bool) {
	p := r.settings.PeerPorts
	return uint16(p[0] + 1), p[1] > p[0] && p[0] < 1<<16-1
}

// listenForSlots starts the exchange of slots with the other routers where callers compete for room
// and operators have switched it on.
func (r *Router) listenForSlots() error {
	if !r.settings.HasPressure || !r.settings.AssignsSlots {
		return nil
	}
	port, ok := r.slotPort()
	if !ok {
		r.log.Warn().Ints("ports", r.settings.PeerPorts[:]).Msg("no port is left for the exchange of slots")
		return nil
	}
	address := net.JoinHostPort(r.settings.IP, strconv.Itoa(int(port)))
	client, closeClient, err := slotgrant.New(address, r.slotMembers, r.slotTargets, r.log)
	if err != nil {
		return err
	}
	r.slots = client
	r.cleanups = append(r.cleanups, closeClient)
	return nil
}

// slotSource returns the client of slots, or nil.
func (r *Router) slotSource() forward.SlotSource {
	if r.slots == nil {
		return nil // Not a nil client in an interface.
	}
	return r.slots
}

// slotMembers returns the routers that may coordinate the slots of a service.
func (r *Router) slotMembers() []slotgrant.Member {
	port, _ := r.slotPort()
	identities, includesSelf := r.fleet.ServingIdentities()
	members := make([]slotgrant.Member, 0, len(identities))
	for i, identity := range identities {
		peer, err := netip.ParseAddrPort(identity.PeerAddress)
		if err != nil {
			continue // Of a router that states no address there is no beacon to answer.
		}
		members = append(members, slotgrant.Member{
			Address: netip.AddrPortFrom(peer.Addr(), port), Hash: xxhash.Sum64String(identity.PeerAddress),
			CPUShare: identity.CPUShare, IsSelf: includesSelf && i == 0,
		})
	}
	return members
}

// slotTargets returns the targets of a plain service whose slots are assigned, or none if the
// slots of one of them are not known. Targets that fail are assigned only if all do.
func (r *Router) slotTargets(service string) []slots.Target {
	v := r.watcher.View()
	if v.Configuration == nil || v.Configuration.Services[service].Slots > 0 {
		return nil
	}
	targets := v.Targets.ByService[service]
	now := time.Now()
	summaries := r.tracker.Summaries(state.Hashes(targets), now)
	checker := eligibility.New()
	list := make([]slots.Target, len(targets))
	isAnyHealthy := false
	for i, t := range targets {
		if t.Slots <= 0 {
			return nil
		}
		isEligible := checker.Check(t, now).Reason == eligibility.Eligible
		list[i] = slots.Target{Hash: t.Hash, Slots: t.Slots, IsEligible: isEligible}
		if window, ok := r.pace.Window(t.Hash, now); ok {
			list[i].Window = window
		}
		isAnyHealthy = isAnyHealthy || (isEligible && !summaries[i].Ejected)
	}
	for i := range list {
		list[i].IsEligible = list[i].IsEligible && (!summaries[i].Ejected || !isAnyHealthy)
	}
	return list
}
