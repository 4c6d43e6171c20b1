package replica

import (
	"maps"
	"slices"
	"strconv"
	"time"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

type (
	// State implements the configuration protocol of one router. It does no I/O: its
	// methods take received messages and the current time, and return the requests to
	// send. It is not safe for concurrent use.
	State struct {
		self        Peer
		incarnation uint64
		timing      Timing
		config      *Configuration
		peers       []Peer
		roles       roles
		acks        acknowledgements
		// bootstrapped maps each router that pulled its first configuration from this
		// one to its incarnation. This router forwards their acknowledgements.
		bootstrapped map[string]uint64
		peerAcks     map[string]*peerAcknowledgements
		// statusRevision is incremented on every change that may affect the status.
		statusRevision uint64

		ready               bool
		stopped             bool
		registrationVersion uint64
		hasPlatformList     bool
		readyResponses      int
		joinAttempts        int
		pendingPulls        map[string]time.Time
		started             time.Time
		nextJoin            time.Time

		// requireConfirm means that changes count as applied only once they are
		// confirmed. changeSequence counts change batches, and confirmedSequence is
		// the last batch confirmed.
		requireConfirm    bool
		changeSequence    uint64
		confirmedSequence uint64
		// confirmedVersion is the applied version while there are unconfirmed
		// changes.
		confirmedVersion uint64

		// lastUpToDate is when the configuration was last known to match the
		// platform's or a peer's.
		lastUpToDate        time.Time
		lastRelayResponse   time.Time
		nextHeartbeat       time.Time
		acknowledgedVersion uint64
		pushedVersion       uint64
		lastAdvance         time.Time
		nextRepair          time.Time
		absences            map[string]absence
	}

	// Timing holds the timeouts and intervals of a State.
	Timing struct {
		// HeartbeatInterval is the interval between acknowledgements without new
		// information.
		HeartbeatInterval time.Duration
		// ForwardDelay is how long other routers' acknowledgements are batched before
		// they are forwarded.
		ForwardDelay time.Duration
		// JoinTimeout is how long a starting router waits for responses from its
		// peers.
		JoinTimeout time.Duration
		// PullTimeout is how long a pull without a response blocks further pulls from
		// the same peer.
		PullTimeout time.Duration
		// RepairDelay is how long a relay waits for the distribution tree to deliver
		// a change before it pushes directly to routers that lack it.
		RepairDelay time.Duration
		// RelayTimeout is how long a router waits for a response from its relays
		// before it contacts other peers and the platform.
		RelayTimeout time.Duration
		// IsolationTimeout is how long a router keeps serving without contact to the
		// platform or any peer.
		IsolationTimeout time.Duration
		// AbsenceTimeout is how long a registered router must be missing from the
		// platform's VM list before it is removed.
		AbsenceTimeout time.Duration
		// UnlistedTimeout is the same for a router that has never been listed.
		UnlistedTimeout time.Duration
	}

	// Request is one request to a peer. Exactly one of Push, Pull and Acknowledge is
	// set.
	Request struct {
		To          Peer
		Push        *peerv1.PushRequest
		Pull        *peerv1.PullRequest
		Acknowledge *peerv1.AcknowledgeRequest
	}

	// peerAcknowledgements tracks the acknowledgements that one peer has confirmed.
	peerAcknowledgements struct {
		incarnation uint64
		confirmed   map[string]acknowledgement
		// lastSent is when acknowledgements were last sent to the peer.
		lastSent time.Time
	}
)

// DefaultTiming returns the default timeouts and intervals.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 2 * time.Second,
		ForwardDelay:      200 * time.Millisecond,
		JoinTimeout:       1500 * time.Millisecond,
		PullTimeout:       time.Second,
		RepairDelay:       500 * time.Millisecond,
		RelayTimeout:      3 * time.Second,
		IsolationTimeout:  5 * time.Second,
		AbsenceTimeout:    5 * time.Second,
		UnlistedTimeout:   30 * time.Second,
	}
}

// NewState returns the state of a router that starts now with an empty configuration.
func NewState(self Peer, incarnation uint64, timing Timing, now time.Time) *State {
	s := &State{
		self: self, incarnation: incarnation, timing: timing, config: NewConfiguration(),
		acks: acknowledgements{}, bootstrapped: map[string]uint64{}, peerAcks: map[string]*peerAcknowledgements{},
		pendingPulls: map[string]time.Time{}, absences: map[string]absence{},
		started: now, nextJoin: now, lastRelayResponse: now, lastUpToDate: now,
	}
	s.SetPeers(nil)
	return s
}

// SetPeers replaces the list of live routers that this one can reach, excluding
// itself.
func (s *State) SetPeers(peers []Peer) {
	s.peers = peers
	s.roles = newRoles(s.self, peers)
	maps.DeleteFunc(s.peerAcks, func(name string, _ *peerAcknowledgements) bool {
		return !slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
	})
}

// Ready reports whether the router has a configuration that it may serve with.
func (s *State) Ready() bool { return s.ready }

// Serving reports whether the router may accept new work. A router that knows of
// others but reaches neither them nor the platform cannot tell whether its
// configuration is stale. It stops serving, because its callers can use other
// addresses.
func (s *State) Serving(now time.Time) bool {
	return s.ready && !s.stopped && (s.isOnlyRouter() || now.Sub(s.lastUpToDate) <= s.timing.IsolationTimeout)
}

// isOnlyRouter reports whether no other router is registered.
func (s *State) isOnlyRouter() bool {
	only := true
	s.config.registrations(func(o objects.Object, _ status.Registration) {
		only = only && o.Name == s.self.Name
	})
	return only
}

// Stop records that the router permanently stops accepting new work.
func (s *State) Stop() {
	s.stopped = true
	s.nextHeartbeat = time.Time{}
}

// SetRegistrationVersion sets the version of the router's own registration, which
// must be written before the initial list is read.
func (s *State) SetRegistrationVersion(version uint64) {
	s.registrationVersion = version
}

// HandleList applies a list of the platform's whole configuration as of a version.
func (s *State) HandleList(now time.Time, all []objects.Object, version uint64) []Change {
	updates := make([]Update, 0, len(all))
	for _, o := range all {
		updates = append(updates, Update{Newest: o})
	}
	s.lastUpToDate = now
	s.hasPlatformList = s.registrationVersion > 0
	return s.updateConfig(now, func() []Change { return s.config.ApplySnapshot(updates, version) })
}

// HandleWatchEvent applies one event of the platform's watch. Parameter after is the
// version that the watch had reached before the event.
func (s *State) HandleWatchEvent(now time.Time, after uint64, e objects.Event) []Change {
	s.lastUpToDate = now
	if e.Bookmark {
		return nil
	}
	return s.updateConfig(now, func() []Change {
		changes := s.config.Apply([]Update{{Newest: e.Object}})
		s.config.AdvanceTo(after, e.Object.Version)
		return changes
	})
}

// ShouldWatch reports whether the router should watch the platform itself: because it
// is a relay, or because its relays do not respond.
func (s *State) ShouldWatch(now time.Time) bool {
	return s.roles.isRelay || now.Sub(s.lastRelayResponse) > s.timing.RelayTimeout
}

// Tick returns the requests that are due.
func (s *State) Tick(now time.Time) []Request {
	var reqs []Request
	if !s.ready {
		reqs = s.join(now)
	}
	if s.ready {
		reqs = append(reqs, s.startPush()...)
		reqs = append(reqs, s.repair(now)...)
		reqs = append(reqs, s.sendAcknowledgements(now)...)
	}
	return reqs
}

// join pulls from peers in each failure domain until the router may serve.
func (s *State) join(now time.Time) []Request {
	timedOut := now.Sub(s.started) >= s.timing.JoinTimeout
	if (s.hasPlatformList || s.readyResponses > 0) && (timedOut || s.allPullsDone()) && s.activeVersion() >= s.registrationVersion && s.confirmedSequence == s.changeSequence {
		s.ready = true
		s.statusRevision++
		s.nextHeartbeat = now
		s.lastRelayResponse = now
		return nil
	}
	if now.Before(s.nextJoin) {
		return nil
	}
	s.nextJoin = now.Add(s.timing.PullTimeout)
	s.joinAttempts++
	var reqs []Request
	pullsByDomain := map[string]int{}
	for _, p := range rankPeers("join/"+s.self.Name+strconv.Itoa(s.joinAttempts), s.peers) {
		if pullsByDomain[p.FailureDomain] >= relaysPerDomain {
			continue
		}
		pullsByDomain[p.FailureDomain]++
		reqs = append(reqs, s.pull(now, p)...)
	}
	return reqs
}

// allPullsDone reports whether every pull has received a response or has failed.
func (s *State) allPullsDone() bool {
	return len(s.peers) == 0 || len(s.pendingPulls) == 0 && s.joinAttempts > 0
}

// pull returns a request for the changes that this router lacks, unless one to the
// same peer is pending.
func (s *State) pull(now time.Time, p Peer) []Request {
	if at, ok := s.pendingPulls[p.Name]; ok && now.Sub(at) < s.timing.PullTimeout {
		return nil
	}
	s.pendingPulls[p.Name] = now
	m := &peerv1.PullRequest{Requester: s.self.Name, AfterVersion: s.config.CompleteVersion(),
		Incarnation: s.incarnation, Joining: !s.ready, FailureDomain: s.self.FailureDomain}
	return []Request{{To: p, Pull: m}}
}

// updateConfig runs change, which modifies the configuration, and handles the
// consequences: it drops the acknowledgements of routers whose registration was
// deleted, and rejoins if the router's own registration was deleted.
func (s *State) updateConfig(now time.Time, change func() []Change) []Change {
	s.statusRevision++
	completeBefore := s.config.CompleteVersion()
	registeredBefore := map[string]uint64{}
	s.config.registrations(func(o objects.Object, r status.Registration) { registeredBefore[o.Name] = r.Incarnation })
	changes := change()
	for name, incarnation := range registeredBefore {
		if e := s.config.entries[registrationKey(name)]; e == nil || e.newest.Deleted {
			s.acks.drop(name, incarnation)
		}
	}
	if s.config.CompleteVersion() > completeBefore {
		s.lastAdvance = now
	}
	if s.requireConfirm && len(changes) > 0 {
		if s.changeSequence == s.confirmedSequence {
			s.confirmedVersion = completeBefore
		}
		s.changeSequence++
	}
	own := s.config.entries[registrationKey(s.self.Name)]
	if s.registrationVersion > 0 && own != nil && own.newest.Deleted && own.newest.Version > s.registrationVersion {
		s.rejoin(now)
	}
	return changes
}

// activeVersion returns the version up to which this router has applied every change.
func (s *State) activeVersion() uint64 {
	if s.changeSequence == s.confirmedSequence {
		return s.config.CompleteVersion()
	}
	return s.confirmedVersion
}

// Confirm records that the router has applied the configuration as of a version and a
// number of change batches.
func (s *State) Confirm(version, changeSequence uint64) {
	s.statusRevision++
	s.confirmedVersion = max(s.confirmedVersion, version)
	s.confirmedSequence = max(s.confirmedSequence, changeSequence)
}

// rejoin restarts the join procedure after the router's registration was removed,
// because changes no longer wait for this router.
func (s *State) rejoin(now time.Time) {
	s.ready, s.hasPlatformList, s.registrationVersion, s.readyResponses, s.joinAttempts = false, false, 0, 0, 0
	s.incarnation++
	s.started, s.nextJoin = now, now
}

// registrationKey returns the key of a router's registration.
func registrationKey(name string) objects.Key {
	return objects.Key{Kind: status.KindRouter, Name: name}
}
