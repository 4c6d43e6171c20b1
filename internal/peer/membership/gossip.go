package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
)

const (
	// headerBytes is the size of the UDP and IPv4 headers.
	headerBytes = 28
	// maxPacketBytes keeps a packet, headers included, within one Ethernet frame.
	maxPacketBytes = 1200
	// probeReserveFraction is the fraction of the byte cap that piggybacked updates
	// leave to the probes themselves; urgent updates may use half of it.
	probeReserveFraction = 0.4
	// addressSampleRate: on average, one in addressSampleRate repeated claims
	// carries addresses, because most receivers know them from the VM list.
	addressSampleRate = 4
	// pushFanout is the number of routers that an urgent update is sent to immediately.
	pushFanout = 4
	// maxQueuedForUrgent is the number of queued updates above which only updates
	// on leaving routers are urgent: full regular packets then carry more.
	maxQueuedForUrgent = 8
)

// enqueue queues the update on a member. It is sent a number of times that grows
// with the logarithm of the fleet. A router that misses it has a different digest,
// and catches up through addNextMembers.
func (d *Detector) enqueue(name string) {
	if e, ok := d.members[name]; ok && e.Incarnation == 0 {
		return
	}
	d.remainingSends[name] = bits.Len(uint(len(d.members) + 1))
}

// push sends an urgent update to pushFanout random routers.
func (d *Detector) push(now time.Time, name string) []Packet {
	var out []Packet
	for _, m := range d.randomMembers(pushFanout, name) {
		out = append(out, d.buildPacket(now, m.PeerAddress, peerv1.Probe_KIND_UPDATE, 0, "", name)...)
	}
	return out
}

// randomMembers returns up to n random members that are not dead, other than the
// named one and the router itself.
func (d *Detector) randomMembers(n int, except string) []Member {
	var candidates []Member
	for _, m := range d.View().Members {
		if m.Name != d.self.Name && m.Name != except && m.State != Dead {
			candidates = append(candidates, m)
		}
	}
	n = min(n, len(candidates))
	for i := range n {
		j := i + d.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

// buildPacket builds one packet, or none when the byte cap does not allow it. The
// updates on the priority names are added before all others.
func (d *Detector) buildPacket(now time.Time, address string, k peerv1.Probe_Kind, sequence uint64, subject string, priority ...string) []Packet {
	p := &peerv1.Probe{
		Kind:          k,
		Sequence:      sequence,
		Sender:        d.self.Name,
		Subject:       subject,
		ConfigVersion: d.configVersion,
		Digest:        d.digest,
	}
	if k == peerv1.Probe_KIND_REPORT {
		p.Loads = d.sums.ownLoads
	}
	size := headerBytes + proto.Size(p)
	reserve := 0
	if k == peerv1.Probe_KIND_UPDATE {
		reserve = d.probeReserve() / 2
	}
	if size+reserve > d.budget.available(now) || !d.budget.spend(now, size) {
		d.skipped++
		return nil
	}
	d.piggyback(now, p, maxPacketBytes-size, priority)
	return []Packet{{Address: address, Probe: p}}
}

// probeReserve returns the part of the byte cap reserved for probes, in bytes.
func (d *Detector) probeReserve() int {
	return int(probeReserveFraction * float64(d.budget.limit))
}

// piggyback adds updates and sums to a packet. The priority names, such as claims
// that the receiver must refute, are added first and may use the probe reserve.
// Nothing else is added to a report, because a relay receives the reports of a
// whole failure domain.
func (d *Detector) piggyback(now time.Time, p *peerv1.Probe, available int, priority []string) {
	k := p.GetKind()
	added := make(map[string]bool, len(priority))
	available = min(available, d.budget.available(now))
	unused := available
	for _, name := range priority {
		unused = d.addMember(p, name, unused, added, k == peerv1.Probe_KIND_UPDATE)
	}
	if d.digestMismatch && k != peerv1.Probe_KIND_REPORT {
		unused = d.addMember(p, d.self.Name, unused, added, d.sampleAddresses())
	}
	d.budget.spend(now, available-unused)
	if k == peerv1.Probe_KIND_UPDATE || k == peerv1.Probe_KIND_REPORT {
		return
	}
	available = min(unused, d.budget.available(now)-d.probeReserve())
	unused = d.addSums(now, p, d.addMembers(p, available, added))
	d.budget.spend(now, available-unused)
}

// addMembers piggybacks queued updates and returns the bytes still available.
func (d *Detector) addMembers(p *peerv1.Probe, available int, added map[string]bool) int {
	for _, name := range d.queuedNames() {
		if !added[name] {
			available = d.addMember(p, name, available, added, d.needsAddresses(name))
		}
	}
	if d.digestMismatch {
		available = d.addNextMembers(p, available, added)
	}
	return available
}

// addNextMembers fills the available bytes with the next members in a cycle over
// all, so that routers whose digests differ converge.
func (d *Detector) addNextMembers(p *peerv1.Probe, available int, added map[string]bool) int {
	all := d.View().Members
	i, _ := slices.BinarySearchFunc(all, d.syncCursor, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	for n := range all {
		m := all[(i+n)%len(all)]
		if added[m.Name] || m.Incarnation == 0 {
			continue
		}
		left := d.addMember(p, m.Name, available, added, d.sampleAddresses())
		if left == available {
			d.syncCursor = m.Name
			break
		}
		available = left
	}
	return available
}

// sampleAddresses decides at random whether a repeated claim carries addresses.
func (d *Detector) sampleAddresses() bool { return d.random.IntN(addressSampleRate) == 0 }

// addMember piggybacks the update on one member if it fits, and returns the bytes
// still available.
func (d *Detector) addMember(p *peerv1.Probe, name string, available int, added map[string]bool, withAddresses bool) int {
	m := d.self
	if name != m.Name {
		e, ok := d.members[name]
		if !ok || e.Incarnation == 0 {
			return available
		}
		m = e.Member
	}
	pm := m.toProto(withAddresses)
	n := fieldSize(pm)
	if n > available {
		return available
	}
	p.Members = append(p.Members, pm)
	added[name] = true
	if left, ok := d.remainingSends[name]; ok {
		d.remainingSends[name] = left - 1
		if left <= 1 {
			delete(d.remainingSends, name)
		}
	}
	return available - n
}

// queuedNames returns the names with queued updates: leaving routers first, then
// those whose updates were sent least often.
func (d *Detector) queuedNames() []string {
	names := make([]string, 0, len(d.remainingSends))
	for name := range d.remainingSends {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(d.urgency(b), d.urgency(a)),
			cmp.Compare(d.remainingSends[b], d.remainingSends[a]),
			strings.Compare(a, b),
		)
	})
	return names
}

// needsAddresses reports whether an update on the member must carry its addresses.
func (d *Detector) needsAddresses(name string) bool {
	if name == d.self.Name {
		return d.selfAddressesChanged
	}
	e, ok := d.members[name]
	return ok && e.addressesChanged
}

// urgency ranks queued updates: 1 for a leaving router, 0 for all others.
func (d *Detector) urgency(name string) int {
	if name == d.self.Name && d.self.State == Leaving {
		return 1
	}
	if e, ok := d.members[name]; ok && e.State == Leaving {
		return 1
	}
	return 0
}

// fieldSize returns the encoded size of a message as an element of a repeated field
// with a one-byte tag.
func fieldSize(m proto.Message) int {
	return 1 + protowire.SizeBytes(proto.Size(m))
}
