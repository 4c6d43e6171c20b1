// Package membership tracks which routers of a fleet are joining, live, suspect,
// leaving or dead.
//
// It implements a SWIM-like failure detector without I/O: the caller passes in the
// current time and received packets, and sends the packets that are returned.
package membership

import (
	"math/rand/v2"
	"time"

	peerv1 "hickoryrock/api/peer/v1"
)

type (
	// Detector is one router's instance of the failure detector.
	//
	// It is not safe for concurrent use.
	Detector struct {
		options options
		random  *rand.Rand
		budget  budget

		self Member
		// selfAddressesChanged is set while updates on the router itself must carry
		// its addresses.
		selfAddressesChanged bool
		members              map[string]*entry
		listed               map[string]bool

		// remainingSends holds how often the queued update on each member is still
		// to be sent, by name.
		remainingSends map[string]int
		digest         uint64
		// digestMismatch is set while the last digest received differs from digest.
		digestMismatch bool
		// syncCursor is the name of the next member that addNextMembers repeats.
		syncCursor string

		// probeOrder holds the names still to probe in the current pass over all members.
		probeOrder []string
		nextProbe  time.Time
		nextRetry  time.Time
		nextSync   time.Time
		lastStep   time.Time
		sequence   uint64
		pending    *pendingProbe
		indirect   map[uint64]indirectProbe
		skipped    uint64

		sums sums
		view View
		// viewStale is set when members or listed changed after view was built.
		viewStale     bool
		configVersion uint64
	}

	// Packet is a datagram. Address is the receiver of a packet to send and the
	// sender of a received one.
	Packet struct {
		Address string
		Probe   *peerv1.Probe
	}

	// entry is the state that a router keeps about another one.
	entry struct {
		Member
		// addressesChanged is set while updates on the member must carry its addresses.
		addressesChanged bool
		// deadline is when a suspect, or a joining or leaving router that did not
		// respond, is declared dead; zero when there is none.
		deadline time.Time
		// diedAt is when the member was declared dead.
		diedAt time.Time
		// configVersion is the configuration version that the member last reported.
		configVersion uint64
		// lastContact is when the last packet sent by the member itself arrived.
		lastContact time.Time
	}
)

// New returns the detector of the router self, which is Joining until Ready is called.
func New(self Member, now time.Time, opts ...Option) *Detector {
	o := newOptions(opts...)
	self.State = Joining
	self.Incarnation = max(o.incarnation, 1)
	d := &Detector{
		options:              o,
		random:               o.random,
		budget:               budget{limit: o.bytesPerSecond, start: now},
		self:                 self,
		members:              make(map[string]*entry),
		listed:               make(map[string]bool),
		remainingSends:       make(map[string]int),
		indirect:             make(map[uint64]indirectProbe),
		sums:                 newSums(),
		nextProbe:            now,
		nextRetry:            now,
		nextSync:             now,
		lastStep:             now,
		viewStale:            true,
		selfAddressesChanged: true,
	}
	d.digest = d.self.hash()
	d.syncCursor = self.Name
	d.enqueue(self.Name)
	return d
}

// Ready announces that the router accepts work.
func (d *Detector) Ready(now time.Time) []Packet {
	if d.self.State != Joining {
		return nil
	}
	return d.announce(now, Live)
}

// Leave announces that the router takes no new work from now on.
func (d *Detector) Leave(now time.Time) []Packet {
	if d.self.State == Leaving {
		return nil
	}
	return d.announce(now, Leaving)
}

// Seed adds the routers of the platform's VM list. The list lags behind the fleet:
// a router that is missing from it is not considered dead, and a listed router
// counts as live only once it has responded.
func (d *Detector) Seed(listed []Member) {
	before := len(d.listed)
	clear(d.listed)
	for _, m := range listed {
		if m.Name == d.self.Name {
			continue
		}
		d.listed[m.Name] = true
		e, ok := d.members[m.Name]
		if !ok {
			m.State, m.Incarnation = Joining, 0
			d.members[m.Name] = &entry{Member: m}
			d.schedule(m.Name)
			continue
		}
		if (e.Incarnation == 0 || e.State == Dead) && !e.sameAddresses(m) {
			d.viewStale = true
			e.PeerAddress, e.CallerAddress, e.FailureDomain = m.PeerAddress, m.CallerAddress, m.FailureDomain
		}
	}
	d.viewStale = d.viewStale || len(d.listed) != before
}

// HeardWithin returns the number of routers whose last packet arrived no longer ago
// than the given time, plus one for this router. In a fleet too large for every router
// to send one in that time, the result says nothing about the size of the fleet.
func (d *Detector) HeardWithin(now time.Time, within time.Duration) int {
	n := 1
	for _, e := range d.members {
		if now.Sub(e.lastContact) <= within {
			n++
		}
	}
	return n
}

// SetConfigVersion sets the configuration version that this router's packets carry.
func (d *Detector) SetConfigVersion(version uint64) { d.configVersion = version }

// ConfigVersion returns the configuration version that the named router last
// reported, or 0 when it is unknown.
func (d *Detector) ConfigVersion(name string) uint64 {
	e, ok := d.members[name]
	if !ok {
		return 0
	}
	return e.configVersion
}

// announce changes the state of the router itself and sends the update immediately.
func (d *Detector) announce(now time.Time, s State) []Packet {
	d.setSelf(s, d.self.Incarnation+1)
	d.selfAddressesChanged = true
	return d.push(now, d.self.Name)
}

func (d *Detector) setSelf(s State, incarnation uint64) {
	d.digest ^= d.self.hash()
	d.self.State, d.self.Incarnation = s, incarnation
	d.digest ^= d.self.hash()
	d.viewStale = true
	d.enqueue(d.self.Name)
}

// refute raises the router's incarnation above that of a claim about itself that
// it did not make.
func (d *Detector) refute(m Member) {
	if m.Incarnation < d.self.Incarnation {
		return
	}
	if m.Incarnation == d.self.Incarnation && m.State == d.self.State {
		return
	}
	d.setSelf(d.self.State, m.Incarnation+1)
	d.selfAddressesChanged = false
}

// apply merges a claim about a member and reports whether the update is urgent.
//
// A claim that a member is dead only raises a suspicion: after a partition, each
// side considers the other side's routers dead, and must not convince that side
// that its own routers are dead.
func (d *Detector) apply(now time.Time, m Member) bool {
	if m.Name == d.self.Name {
		d.refute(m)
		return false
	}
	e, ok := d.members[m.Name]
	if !ok {
		if m.State == Dead || m.PeerAddress == "" {
			return false
		}
		e = &entry{}
		e.Name = m.Name
		d.members[m.Name] = e
		d.schedule(m.Name)
	} else if !m.supersedes(e.Member) {
		return false
	}
	if m.State == Dead && e.State != Dead {
		d.suspect(now, m.Name)
		return false
	}
	wasLive := e.State == Live || e.State == Suspect
	d.set(now, e, m)
	if m.State == Leaving {
		return true
	}
	return m.State == Live && !wasLive && len(d.remainingSends) <= maxQueuedForUrgent
}

// set replaces the state of a member with that of a claim, updates the digest and
// queues the update.
func (d *Detector) set(now time.Time, e *entry, m Member) {
	d.digest ^= e.hash()
	_, queued := d.remainingSends[e.Name]
	e.addressesChanged = e.addressesChanged && queued
	if m.PeerAddress != "" {
		e.addressesChanged = e.addressesChanged || !e.sameAddresses(m)
		e.PeerAddress, e.CallerAddress, e.FailureDomain = m.PeerAddress, m.CallerAddress, m.FailureDomain
	}
	e.State, e.Incarnation = m.State, m.Incarnation
	e.deadline, e.diedAt = time.Time{}, time.Time{}
	switch m.State {
	case Suspect:
		e.deadline = now.Add(d.suspicionTimeout())
	case Dead:
		e.diedAt = now
		d.sums.removeReport(e.Name)
	case Joining, Live, Leaving:
	}
	d.digest ^= e.hash()
	d.viewStale = true
	d.enqueue(e.Name)
}
