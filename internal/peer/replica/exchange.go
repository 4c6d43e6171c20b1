package replica

import (
	"slices"
	"time"

	peerv1 "hickoryrock/api/peer/v1"
)

// maxRepairPushes limits the direct pushes of one repair round.
const maxRepairPushes = 8

// HandlePull returns the response to a peer's request for changes. A ready router that
// sends a joining peer its configuration includes that peer in its acknowledgements
// from then on, with the version in the peer's request because the response may be
// lost.
func (s *State) HandlePull(m *peerv1.PullRequest) *peerv1.PullResponse {
	updates, snapshot := s.config.ChangesAfter(m.GetAfterVersion())
	resp := &peerv1.PullResponse{Objects: updatesToProto(updates), CompleteVersion: s.config.CompleteVersion(),
		Snapshot: snapshot, Ready: s.ready && !s.stopped}
	if m.GetJoining() && resp.GetReady() {
		s.mergeAcknowledgement(&peerv1.Acknowledgement{Router: m.GetRequester(), Version: m.GetAfterVersion(),
			Incarnation: m.GetIncarnation(), FailureDomain: m.GetFailureDomain()})
		s.bootstrapped[m.GetRequester()] = m.GetIncarnation()
	}
	return resp
}

// HandlePullResponse applies a peer's response to a pull.
func (s *State) HandlePullResponse(now time.Time, from Peer, after uint64, m *peerv1.PullResponse) []Change {
	delete(s.pendingPulls, from.Name)
	changes := s.applyUpdates(now, updatesFromProto(m.GetObjects()), after, m.GetCompleteVersion(), m.GetSnapshot())
	if m.GetReady() {
		s.readyResponses++
	}
	if s.ready || m.GetReady() {
		s.lastUpToDate = now
	}
	return changes
}

// HandlePullFailure records that a pull failed, so that the peer can be pulled from again.
func (s *State) HandlePullFailure(from Peer) {
	delete(s.pendingPulls, from.Name)
}

// applyUpdates applies updates that cover all changes after one version and up to
// another, or a snapshot.
func (s *State) applyUpdates(now time.Time, updates []Update, after, complete uint64, snapshot bool) []Change {
	return s.updateConfig(now, func() []Change {
		if snapshot {
			return s.config.ApplySnapshot(updates, complete)
		}
		changes := s.config.Apply(updates)
		s.config.AdvanceTo(after, complete)
		return changes
	})
}

// HandlePush applies a pushed change and returns the pushes to forward. If changes
// before it are missing, it returns a pull request to the sender instead.
func (s *State) HandlePush(now time.Time, m *peerv1.PushRequest) (*peerv1.PushResponse, []Change, []Request) {
	before := s.config.CompleteVersion()
	changes := s.applyUpdates(now, updatesFromProto(m.GetObjects()), m.GetAfterVersion(), m.GetCompleteVersion(), false)
	complete := s.config.CompleteVersion()
	resp := &peerv1.PushResponse{CompleteVersion: complete}
	if complete < m.GetCompleteVersion() {
		return resp, changes, s.pullByName(now, m.GetSender())
	}
	if s.ready {
		s.lastUpToDate = now
	}
	if complete == before || m.GetRoot() == "" {
		return resp, changes, nil
	}
	return resp, changes, s.forwardPush(m.GetRoot(), m.GetAfterVersion(), m.GetObjects(), m.GetCompleteVersion())
}

// forwardPush returns the pushes to the router's children in the distribution tree of
// the root relay.
func (s *State) forwardPush(root string, after uint64, objs []*peerv1.Object, complete uint64) []Request {
	members := append(peersInDomain(s.self.FailureDomain, s.peers), s.self)
	var reqs []Request
	for _, p := range pushChildren(s.self.Name, root, complete, members) {
		m := &peerv1.PushRequest{Sender: s.self.Name, Objects: objs, AfterVersion: after, CompleteVersion: complete, Root: root}
		reqs = append(reqs, Request{To: p, Push: m})
	}
	return reqs
}

// startPush returns the first pushes of changes that are not distributed yet, if this
// router is the first relay of its failure domain.
func (s *State) startPush() []Request {
	after, complete := s.pushedVersion, s.config.CompleteVersion()
	if complete == after {
		return nil
	}
	s.pushedVersion = complete
	if after == 0 || !s.roles.isFirstRelay {
		return nil
	}
	updates, snapshot := s.config.ChangesAfter(after)
	if snapshot {
		return nil
	}
	return s.forwardPush(s.self.Name, after, updatesToProto(updates), complete)
}

// repair returns direct pushes to routers of the relay's failure domain that have not
// acknowledged the last change within the repair delay.
func (s *State) repair(now time.Time) []Request {
	if !s.roles.isRelay || now.Sub(s.lastAdvance) < s.timing.RepairDelay || now.Before(s.nextRepair) {
		return nil
	}
	s.nextRepair = now.Add(s.timing.PullTimeout)
	var reqs []Request
	for _, p := range peersInDomain(s.self.FailureDomain, s.peers) {
		a, ok := s.acks[p.Name]
		if !ok || a.stopped || a.version >= s.config.CompleteVersion() || len(reqs) == maxRepairPushes {
			continue
		}
		updates, snapshot := s.config.ChangesAfter(a.version)
		if snapshot {
			continue
		}
		m := &peerv1.PushRequest{Sender: s.self.Name, Objects: updatesToProto(updates), AfterVersion: a.version, CompleteVersion: s.config.CompleteVersion()}
		reqs = append(reqs, Request{To: p, Push: m})
	}
	return reqs
}

// sendAcknowledgements returns acknowledgements to the relays and, on a relay, to the
// writers. They are sent on each heartbeat, when this router has a newer version, and
// when there are unconfirmed acknowledgements to forward.
func (s *State) sendAcknowledgements(now time.Time) []Request {
	due := !now.Before(s.nextHeartbeat) || s.activeVersion() > s.acknowledgedVersion
	if due {
		s.nextHeartbeat = now.Add(s.timing.HeartbeatInterval)
		s.acknowledgedVersion = s.activeVersion()
	}
	var reqs []Request
	for _, p := range s.acknowledgementReceivers(now) {
		list, acks := s.unconfirmedBy(p), s.peerAcksOf(p.Name)
		if !due && (len(list) == 0 || now.Sub(acks.lastSent) < s.timing.ForwardDelay) {
			continue
		}
		acks.lastSent = now
		list = append(list, s.ownAcknowledgement().toProto(s.self.Name))
		m := &peerv1.AcknowledgeRequest{Acknowledgements: list, Sender: s.self.Name, CompleteVersion: s.config.CompleteVersion()}
		reqs = append(reqs, Request{To: p, Acknowledge: m})
	}
	return reqs
}

// ownAcknowledgement returns the acknowledgement of this router.
func (s *State) ownAcknowledgement() acknowledgement {
	return acknowledgement{incarnation: s.incarnation, version: s.activeVersion(), stopped: s.stopped, domain: s.self.FailureDomain}
}

// unconfirmedBy returns the acknowledgements of other routers to send to a peer that
// has not confirmed them. They are sent in the same message as this router's own
// acknowledgement, so that a peer that knows this router's version also knows every
// router whose acknowledgement it forwards.
func (s *State) unconfirmedBy(p Peer) []*peerv1.Acknowledgement {
	acks := s.peerAcksOf(p.Name)
	all := !s.roles.isRelay || s.roles.isWriter(p.Name)
	var list []*peerv1.Acknowledgement
	for name, a := range s.acks {
		_, bootstrapped := s.bootstrapped[name]
		if name != p.Name && (all || bootstrapped) && acks.confirmed[name] != a {
			list = append(list, a.toProto(name))
		}
	}
	return list
}

func (s *State) peerAcksOf(name string) *peerAcknowledgements {
	acks := s.peerAcks[name]
	if acks == nil {
		acks = &peerAcknowledgements{confirmed: map[string]acknowledgement{}}
		s.peerAcks[name] = acks
	}
	return acks
}

// HandleAcknowledge merges the acknowledgements from a peer and returns a pull
// request if the peer has a higher complete version.
func (s *State) HandleAcknowledge(now time.Time, m *peerv1.AcknowledgeRequest) (*peerv1.AcknowledgeResponse, []Request) {
	for _, a := range m.GetAcknowledgements() {
		if a.GetRouter() != s.self.Name {
			s.mergeAcknowledgement(a)
		}
	}
	resp := &peerv1.AcknowledgeResponse{CompleteVersion: s.config.CompleteVersion(), Incarnation: s.incarnation}
	if m.GetCompleteVersion() <= s.config.CompleteVersion() {
		return resp, nil
	}
	return resp, s.pullByName(now, m.GetSender())
}

func (s *State) mergeAcknowledgement(a *peerv1.Acknowledgement) {
	if s.acks.merge(a) {
		s.statusRevision++
	}
}

// HandleAcknowledgeResponse records which acknowledgements a peer has confirmed and
// returns a pull request if the peer has a higher complete version.
func (s *State) HandleAcknowledgeResponse(now time.Time, to Peer, sent *peerv1.AcknowledgeRequest, m *peerv1.AcknowledgeResponse) []Request {
	acks := s.peerAcksOf(to.Name)
	if acks.incarnation > m.GetIncarnation() {
		return nil
	}
	if acks.incarnation < m.GetIncarnation() {
		// The peer has restarted and knows only the acknowledgements in this request.
		acks.incarnation, acks.confirmed = m.GetIncarnation(), map[string]acknowledgement{}
	}
	for _, a := range sent.GetAcknowledgements() {
		acks.confirmed[a.GetRouter()] = acknowledgement{incarnation: a.GetIncarnation(), version: a.GetVersion(),
			stopped: a.GetStopped(), domain: a.GetFailureDomain()}
	}
	if slices.Contains(s.roles.relays, to) {
		s.lastRelayResponse = now
	}
	if m.GetCompleteVersion() > s.config.CompleteVersion() {
		return s.pull(now, to)
	}
	s.lastUpToDate = now
	return nil
}

// HandlePeerVersion returns a pull request if a peer reports a higher complete
// version than this router's.
func (s *State) HandlePeerVersion(now time.Time, from string, version uint64) []Request {
	if version <= s.config.CompleteVersion() {
		return nil
	}
	return s.pullByName(now, from)
}

func (s *State) pullByName(now time.Time, name string) []Request {
	i := slices.IndexFunc(s.peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return s.pull(now, s.peers[i])
}

// acknowledgementReceivers returns the peers that acknowledgements are sent to. If no
// relay has responded within RelayTimeout, it adds one other peer, chosen round-robin.
func (s *State) acknowledgementReceivers(now time.Time) []Peer {
	var to []Peer
	add := func(p Peer) {
		if p.Name != s.self.Name && !slices.Contains(to, p) {
			to = append(to, p)
		}
	}
	for _, p := range s.roles.relays {
		add(p)
	}
	if s.roles.isRelay {
		for _, p := range s.roles.writers {
			add(p)
		}
	}
	if now.Sub(s.lastRelayResponse) > s.timing.RelayTimeout && len(s.peers) > 0 {
		add(s.peers[int(now.Sub(s.started)/s.timing.HeartbeatInterval)%len(s.peers)])
	}
	return to
}
