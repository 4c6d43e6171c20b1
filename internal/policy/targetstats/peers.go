package targetstats

import "time"

// Loads returns this router's own loads, to be reported to other routers.
func (tr *Tracker) Loads(now time.Time) []Load {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	loads := make([]Load, 0, len(tr.targets))
	for t, e := range tr.targets {
		e.decay(now)
		l := Load{
			Target: t, Calls: e.calls, PendingTokens: e.pendingTokens, Results: e.results, Failures: e.failures,
			Unreachable: now.Before(e.ejectedUntil),
		}
		if l.Calls == 0 && l.Failures < minReportedFailures && !l.Unreachable {
			continue
		}
		loads = append(loads, l)
	}
	return loads
}

// UpdatePeer stores another router's report of its loads; targets is the number of
// targets that this router knows.
func (tr *Tracker) UpdatePeer(router string, loads []Load, targets int, now time.Time) {
	p := peerReport{at: now, loads: make(map[uint64]Load, len(loads))}
	unreachable := 0
	for _, l := range loads {
		p.loads[l.Target] = l
		if l.Unreachable {
			unreachable++
		}
	}
	p.isolated = float64(unreachable) > maxPeerUnreachableShare*float64(targets)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.peers[router] = p
}

// AddPendingTokens adds prompt tokens that another router has just sent to a target. They
// are dropped on its next report, which includes them.
func (tr *Tracker) AddPendingTokens(router string, target uint64, tokens int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	p, ok := tr.peers[router]
	if !ok {
		return
	}
	if p.announcedTokens == nil {
		p.announcedTokens = make(map[uint64]int)
		tr.peers[router] = p
	}
	p.announcedTokens[target] += tokens
}
