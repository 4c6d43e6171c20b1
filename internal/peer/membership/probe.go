package membership

import (
	"math/bits"
	"time"

	peerv1 "hickoryrock/api/peer/v1"
)

const (
	// indirectProbes is the number of routers that are asked to ping a member that
	// did not respond.
	indirectProbes = 3
	// minSuspicionPeriods is the minimum time, in periods, that a suspect has to
	// refute the suspicion.
	minSuspicionPeriods = 4
	// retryPeriods is the time, in periods, in which each dead member is pinged
	// about once. With more than retryPeriods dead members it takes longer, because
	// at most one is pinged per period.
	retryPeriods = 5
	// retryReserveBytes is the number of bytes, beyond half the probe reserve, that
	// must be available before a dead member is pinged.
	retryReserveBytes = 150
	// syncsPerPeriod is the number of additional pings per period while the digests
	// differ.
	syncsPerPeriod = 4
	// pausePeriods is the gap between two steps, in periods, above which the router
	// itself is assumed to have been paused. Indirect probes expire after it too.
	pausePeriods = 2
	// pingTimeoutFraction is the fraction of a period after which indirect probes start.
	pingTimeoutFraction = 2.0 / 5
)

type (
	// pendingProbe is this router's probe that awaits an ack.
	pendingProbe struct {
		name     string
		sequence uint64
		sent     time.Time
		indirect bool
	}

	// indirectProbe is a probe made on behalf of another router.
	indirectProbe struct {
		address  string
		sequence uint64
		subject  string
		sent     time.Time
	}
)

// Tick advances the detector to now and returns the packets to send. It must be
// called several times per period.
func (d *Detector) Tick(now time.Time) []Packet {
	d.compensatePause(now)
	d.expire(now)
	var out []Packet
	out = append(out, d.checkProbe(now)...)
	if d.pending == nil && !now.Before(d.nextProbe) {
		out = append(out, d.startProbe(now)...)
	}
	if !now.Before(d.nextRetry) {
		out = append(out, d.retryDead(now)...)
	}
	if d.digestMismatch && !now.Before(d.nextSync) {
		out = append(out, d.sync(now)...)
	}
	return append(out, d.tickSums(now)...)
}

// Receive processes a packet and returns the packets to send in response.
func (d *Detector) Receive(now time.Time, p Packet) []Packet {
	sender := p.Probe.GetSender()
	if sender == "" || sender == d.self.Name {
		return nil
	}
	d.compensatePause(now)
	var out []Packet
	for _, pm := range p.Probe.GetMembers() {
		m, ok := memberFromProto(pm)
		if ok && d.apply(now, m) {
			out = append(out, d.push(now, m.Name)...)
		}
	}
	d.receiveSums(now, p.Probe)
	d.digestMismatch = p.Probe.GetDigest() != d.digest
	if e, ok := d.members[sender]; ok {
		e.configVersion = p.Probe.GetConfigVersion()
		e.lastContact = now
	}
	switch p.Probe.GetKind() {
	case peerv1.Probe_KIND_PING:
		out = append(out, d.handlePing(now, p)...)
	case peerv1.Probe_KIND_ACK:
		out = append(out, d.handleAck(now, p)...)
	case peerv1.Probe_KIND_PING_REQUEST:
		out = append(out, d.handlePingRequest(now, p)...)
	case peerv1.Probe_KIND_UPDATE, peerv1.Probe_KIND_REPORT, peerv1.Probe_KIND_UNSPECIFIED:
	}
	return out
}

// Skipped returns how many packets were not sent because of the byte cap.
func (d *Detector) Skipped() uint64 { return d.skipped }

// suspicionTimeout returns how long a suspect has to refute the suspicion. It grows
// with the logarithm of the fleet, as does the number of periods in which updates
// spread.
func (d *Detector) suspicionTimeout() time.Duration {
	n := max(minSuspicionPeriods, bits.Len(uint(len(d.members)+1)))
	return time.Duration(n) * d.options.period
}

// compensatePause extends the deadlines of all members by the time that the router
// itself was paused, and drops its pending probe.
func (d *Detector) compensatePause(now time.Time) {
	gap := now.Sub(d.lastStep)
	d.lastStep = now
	if gap <= pausePeriods*d.options.period {
		return
	}
	d.pending = nil
	for _, e := range d.members {
		if !e.deadline.IsZero() {
			e.deadline = e.deadline.Add(gap)
		}
	}
}

// expire declares members dead whose deadline passed, and removes old dead members
// and indirect probes.
func (d *Detector) expire(now time.Time) {
	for name, e := range d.members {
		if !e.deadline.IsZero() && now.After(e.deadline) {
			m := e.Member
			m.State = Dead
			d.set(now, e, m)
		}
		if e.State == Dead && !d.listed[name] && now.Sub(e.diedAt) > d.options.forgetAfter {
			delete(d.members, name)
			delete(d.remainingSends, name)
			d.viewStale = true
		}
	}
	for s, r := range d.indirect {
		if now.Sub(r.sent) > pausePeriods*d.options.period {
			delete(d.indirect, s)
		}
	}
}

// checkProbe requests indirect probes of a member that did not respond in time, and
// suspects it at the end of the period.
func (d *Detector) checkProbe(now time.Time) []Packet {
	if d.pending == nil {
		return nil
	}
	waited := now.Sub(d.pending.sent)
	if waited >= d.options.period {
		d.suspect(now, d.pending.name)
		d.pending = nil
		return nil
	}
	if d.pending.indirect || waited < time.Duration(pingTimeoutFraction*float64(d.options.period)) {
		return nil
	}
	d.pending.indirect = true
	var out []Packet
	for _, m := range d.randomMembers(indirectProbes, d.pending.name) {
		out = append(out, d.buildPacket(now, m.PeerAddress, peerv1.Probe_KIND_PING_REQUEST, d.pending.sequence, d.pending.name, d.pending.name)...)
	}
	return out
}

// suspect records that a member did not respond. A joining or leaving router gets a
// deadline but keeps its announced state, because a suspect counts as live.
func (d *Detector) suspect(now time.Time, name string) {
	e, ok := d.members[name]
	if !ok || e.State == Dead || !e.deadline.IsZero() {
		return
	}
	if e.State != Live {
		e.deadline = now.Add(d.suspicionTimeout())
		return
	}
	m := e.Member
	m.State = Suspect
	d.set(now, e, m)
}

// startProbe pings the next member of the pass. If the byte cap forbids the ping,
// the member is kept for the next call.
func (d *Detector) startProbe(now time.Time) []Packet {
	name, ok := d.nextMember()
	if !ok {
		return nil
	}
	d.sequence++
	out := d.buildPacket(now, d.members[name].PeerAddress, peerv1.Probe_KIND_PING, d.sequence, name, d.disputedName(name)...)
	if len(out) == 0 {
		d.probeOrder = append(d.probeOrder, name)
		return nil
	}
	d.nextProbe = now.Add(d.options.period)
	d.pending = &pendingProbe{name: name, sequence: d.sequence, sent: now}
	return out
}

// nextMember removes the next member from the pass, and starts a new pass when the
// current one is complete. It returns false when there is no member to probe.
func (d *Detector) nextMember() (string, bool) {
	for range 2 {
		for len(d.probeOrder) > 0 {
			name := d.probeOrder[len(d.probeOrder)-1]
			d.probeOrder = d.probeOrder[:len(d.probeOrder)-1]
			if e, ok := d.members[name]; ok && e.State != Dead {
				return name, true
			}
		}
		for _, m := range d.View().Members {
			if m.Name != d.self.Name && m.State != Dead {
				d.schedule(m.Name)
			}
		}
	}
	return "", false
}

// schedule inserts a member at a random position in the current pass.
func (d *Detector) schedule(name string) {
	d.viewStale = true
	d.probeOrder = append(d.probeOrder, name)
	i := d.random.IntN(len(d.probeOrder))
	d.probeOrder[i], d.probeOrder[len(d.probeOrder)-1] = name, d.probeOrder[i]
}

// retryDead pings one random dead member, so that the sides of a healed partition
// rediscover each other.
func (d *Detector) retryDead(now time.Time) []Packet {
	var dead []Member
	for _, m := range d.View().Members {
		if m.State == Dead {
			dead = append(dead, m)
		}
	}
	d.nextRetry = now.Add(max(d.options.period, retryPeriods*d.options.period/time.Duration(max(1, len(dead)))))
	if len(dead) == 0 || d.budget.available(now) < d.probeReserve()/2+retryReserveBytes {
		return nil
	}
	m := dead[d.random.IntN(len(dead))]
	d.sequence++
	return d.buildPacket(now, m.PeerAddress, peerv1.Probe_KIND_PING, d.sequence, m.Name, d.disputedName(m.Name)...)
}

// sync pings a random member to exchange updates with it, if the byte cap allows a
// full packet beyond the probe reserve.
func (d *Detector) sync(now time.Time) []Packet {
	d.nextSync = now.Add(d.options.period / syncsPerPeriod)
	if d.budget.available(now) < d.probeReserve()+maxPacketBytes {
		return nil
	}
	var out []Packet
	for _, m := range d.randomMembers(1, "") {
		d.sequence++
		out = append(out, d.buildPacket(now, m.PeerAddress, peerv1.Probe_KIND_PING, d.sequence, m.Name, d.disputedName(m.Name)...)...)
	}
	return out
}

func (d *Detector) handlePing(now time.Time, p Packet) []Packet {
	if p.Probe.GetSubject() != d.self.Name {
		return nil
	}
	return d.buildPacket(now, p.Address, peerv1.Probe_KIND_ACK, p.Probe.GetSequence(), d.self.Name, d.disputedName(p.Probe.GetSender())...)
}

func (d *Detector) handlePingRequest(now time.Time, p Packet) []Packet {
	e, ok := d.members[p.Probe.GetSubject()]
	if !ok {
		return nil
	}
	d.sequence++
	d.indirect[d.sequence] = indirectProbe{address: p.Address, sequence: p.Probe.GetSequence(), subject: e.Name, sent: now}
	return d.buildPacket(now, e.PeerAddress, peerv1.Probe_KIND_PING, d.sequence, e.Name, d.disputedName(e.Name)...)
}

func (d *Detector) handleAck(now time.Time, p Packet) []Packet {
	sequence, subject := p.Probe.GetSequence(), p.Probe.GetSubject()
	if r, ok := d.indirect[sequence]; ok && r.subject == subject {
		delete(d.indirect, sequence)
		return d.buildPacket(now, r.address, peerv1.Probe_KIND_ACK, r.sequence, subject, d.disputedName(subject)...)
	}
	if d.pending == nil || d.pending.sequence != sequence || d.pending.name != subject {
		return nil
	}
	d.pending = nil
	if e, ok := d.members[subject]; ok && e.State != Suspect {
		e.deadline = time.Time{}
	}
	return nil
}

// disputedName returns the name of a member that this router considers suspect or
// dead, so that the member receives the claim and can refute it.
func (d *Detector) disputedName(name string) []string {
	e, ok := d.members[name]
	if ok && (e.State == Suspect || e.State == Dead) {
		return []string{name}
	}
	return nil
}
