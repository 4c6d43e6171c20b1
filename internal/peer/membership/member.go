package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	peerv1 "hickoryrock/api/peer/v1"
)

const (
	// Joining means that the router does not accept work yet.
	Joining State = iota + 1
	// Live means that the router accepts work.
	Live
	// Suspect means that the router did not respond to a probe. It counts as live
	// until its timeout.
	Suspect
	// Leaving means that the router takes no new work and will stop soon.
	Leaving
	// Dead means that the router did not respond before its deadline.
	Dead
)

type (
	// State is the state of a router as another one sees it. Within the same
	// incarnation, a higher state supersedes a lower one.
	State uint8

	// Member is one router.
	Member struct {
		Name string
		// PeerAddress is where the router listens for peers, as IP:port.
		PeerAddress string
		// CallerAddress is where the router listens for callers, as IP:port.
		CallerAddress string
		FailureDomain string
		State         State
		// Incarnation is raised only by the router itself. It is 0 for a router that
		// is known only from the VM list.
		Incarnation uint64
	}
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// supersedes reports whether a claim replaces an older one about the same member.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// sameAddresses reports whether two claims have the same addresses and failure domain.
func (m Member) sameAddresses(other Member) bool {
	return m.PeerAddress == other.PeerAddress && m.CallerAddress == other.CallerAddress && m.FailureDomain == other.FailureDomain
}

// hash returns the member's contribution to the digest, which covers only what
// routers must agree on: dead members and those known only from the VM list
// contribute 0, and a suspect hashes as live.
func (m Member) hash() uint64 {
	if m.State == 0 || m.State == Dead || m.Incarnation == 0 {
		return 0
	}
	s := m.State
	if s == Suspect {
		s = Live
	}
	b := make([]byte, 0, 64)
	b = append(b, m.Name...)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	b = append(b, byte(s))
	return xxhash.Sum64(b)
}

// toProto encodes a claim. A claim without addresses is shorter, but useful only to
// routers that know the member; claims that a member is suspect or dead never carry
// addresses.
func (m Member) toProto(withAddresses bool) *peerv1.Member {
	p := &peerv1.Member{
		Name:        m.Name,
		State:       peerv1.MemberState(m.State),
		Incarnation: m.Incarnation,
	}
	if !withAddresses || m.State == Suspect || m.State == Dead {
		return p
	}
	p.PeerAddress, p.CallerAddress, p.FailureDomain = m.PeerAddress, m.CallerAddress, m.FailureDomain
	return p
}

// memberFromProto decodes a claim and reports whether it is valid.
func memberFromProto(p *peerv1.Member) (Member, bool) {
	m := Member{
		Name:          p.GetName(),
		PeerAddress:   p.GetPeerAddress(),
		CallerAddress: p.GetCallerAddress(),
		FailureDomain: p.GetFailureDomain(),
		State:         State(p.GetState()),
		Incarnation:   p.GetIncarnation(),
	}
	validState := p.GetState() >= peerv1.MemberState_MEMBER_STATE_JOINING && p.GetState() <= peerv1.MemberState_MEMBER_STATE_DEAD
	return m, validState && m.Name != "" && m.Incarnation > 0
}
