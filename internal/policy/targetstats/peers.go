package targetstats

import "time"

type (
	// peerReport is the last report of another router. The sums of its targets
	// include it.
	peerReport struct {
		at    time.Time
		loads []Load
		// announcedTokens holds the prompt tokens by target that have been announced
		// since the report.
		announcedTokens map[uint64]int
		// isolated is set when the router reports so many targets as
		// unreachable that it is assumed to be cut off itself.
		isolated bool
	}

	// peerSums are sums over the reports of all other routers for one target. They are
	// kept up to date with each report, because a choice among many targets reads
	// them all while a large fleet has many reports of each.
	peerSums struct {
		calls         int
		pendingTokens int
		// unreachable counts the reports, but of isolated routers, by which the target
		// accepts no connection.
		unreachable int
		// The counts of results and paces decay like an entry's; they are as of decayedAt.
		results   float64
		failures  float64
		paceSum   float64
		paceCount float64
		decayedAt time.Time
		// reports counts the contributions in the sums.
		reports int
	}
)

// Loads returns this router's own loads, to be reported to other routers.
func (tr *Tracker) Loads(now time.Time) []Load {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	loads := make([]Load, 0, len(tr.targets))
	for t, e := range tr.targets {
		e.decay(now)
		l := Load{
			Target: t, Calls: e.calls, PendingTokens: e.pendingTokens, Results: e.results, Failures: e.failures,
			PaceSum: e.paceSum, PaceCount: e.paceCount,
			Unreachable: now.Before(e.ejectedUntil),
		}
		if l.Calls == 0 && l.Failures < minReportedFailures && l.PaceCount < minReportedPaces && !l.Unreachable {
			continue
		}
		loads = append(loads, l)
	}
	return loads
}

// UpdatePeer stores another router's report of its loads, which replaces its last one;
// targets is the number of targets that this router knows.
func (tr *Tracker) UpdatePeer(router string, loads []Load, targets int, now time.Time) {
	unreachable := 0
	for _, l := range loads {
		if l.Unreachable {
			unreachable++
		}
	}
	p := &peerReport{at: now, loads: loads, isolated: float64(unreachable) > maxPeerUnreachableShare*float64(targets)}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.removeReport(router, now)
	for _, l := range loads {
		tr.entry(l.Target).peers.add(l, 1, p.isolated, now)
	}
	tr.peers[router] = p
}

// PeerLoads returns the number of loads in the last reports of all other routers.
func (tr *Tracker) PeerLoads() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := 0
	for _, p := range tr.peers {
		n += len(p.loads)
	}
	return n
}

// AddPendingTokens adds prompt tokens that another router has just sent to a target. They
// are dropped on its next report, which includes them.
func (tr *Tracker) AddPendingTokens(router string, target uint64, tokens int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	p := tr.peers[router]
	if p == nil {
		return
	}
	if p.announcedTokens == nil {
		p.announcedTokens = make(map[uint64]int)
	}
	sums := &tr.entry(target).peers
	if _, ok := p.announcedTokens[target]; !ok {
		sums.reports++
	}
	p.announcedTokens[target] += tokens
	sums.pendingTokens += tokens
}

// expireReports removes the reports that are older than peerReportTTL. The lock must
// be held.
func (tr *Tracker) expireReports(now time.Time) {
	for router, p := range tr.peers {
		if now.Sub(p.at) > peerReportTTL {
			tr.removeReport(router, now)
		}
	}
}

// removeReport takes a router's last report, if any, out of the sums. The lock must be
// held.
func (tr *Tracker) removeReport(router string, now time.Time) {
	p := tr.peers[router]
	if p == nil {
		return
	}
	weight := decayFactor(max(now.Sub(p.at), 0))
	for _, l := range p.loads {
		l.Results *= weight
		l.Failures *= weight
		l.PaceSum *= weight
		l.PaceCount *= weight
		tr.entry(l.Target).peers.add(l, -1, p.isolated, now)
	}
	for target, tokens := range p.announcedTokens {
		sums := &tr.entry(target).peers
		sums.pendingTokens -= tokens
		sums.reports--
	}
	delete(tr.peers, router)
}

// add adds a load to the sums, or takes it out again with a sign of -1.
func (s *peerSums) add(l Load, sign int, isolated bool, now time.Time) {
	s.decay(now)
	s.calls += sign * l.Calls
	s.pendingTokens += sign * l.PendingTokens
	if l.Unreachable && !isolated {
		s.unreachable += sign
	}
	s.results += float64(sign) * l.Results
	s.failures += float64(sign) * l.Failures
	s.paceSum += float64(sign) * l.PaceSum
	s.paceCount += float64(sign) * l.PaceCount
	s.reports += sign
	if s.reports == 0 {
		s.results, s.failures, s.paceSum, s.paceCount = 0, 0, 0, 0 // Without rounding errors.
	}
}

func (s *peerSums) decay(now time.Time) {
	if since := now.Sub(s.decayedAt); since > 0 {
		if s.results > 0 || s.paceCount > 0 {
			f := decayFactor(since)
			s.results *= f
			s.failures *= f
			s.paceSum *= f
			s.paceCount *= f
		}
		s.decayedAt = now
	}
}
