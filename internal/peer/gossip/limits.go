package gossip

import (
	"time"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/targetlimits"
)

// sendLimits tells all peers the limits that targets have named in answers to this router,
// if there is anything to tell.
func (f *Fleet) sendLimits() {
	now := time.Now()
	reports := f.opts.Limits.TakeReport(now)
	if len(reports) == 0 {
		return
	}
	b := f.newBeacon()
	for _, r := range reports {
		limit := &peerv1.TargetLimit{Target: r.Target, AgeMs: ageMS(r.At, now), Sent: r.Sent}
		if r.Named {
			limit.PerSecond = &r.PerSecond
		}
		b.Limits = append(b.Limits, limit)
	}
	f.broadcast(b)
}

// mergeLimits takes over the limits that another router has seen.
func (f *Fleet) mergeLimits(b *peerv1.Beacon, now time.Time) {
	if len(b.GetLimits()) == 0 {
		return
	}
	reports := make([]targetlimits.Report, len(b.GetLimits()))
	for i, l := range b.GetLimits() {
		reports[i] = targetlimits.Report{
			Observation: targetlimits.Observation{
				Target: l.GetTarget(), At: timeBefore(now, l.GetAgeMs()),
				Limit: targetlimits.Limit{Named: l.PerSecond != nil, PerSecond: l.GetPerSecond()},
			},
			Sent: l.GetSent(),
		}
	}
	f.opts.Limits.Merge(processHash(b), reports, now)
}

// LiveRouters returns the hash of this router and those of the other live routers that
// serve callers.
func (f *Fleet) LiveRouters() (self uint64, others []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	others = make([]uint64, 0, len(f.peers))
	for address, p := range f.peers {
		if p.servesCallers() {
			others = append(others, uint64(senderID(address)))
		}
	}
	return uint64(f.senderID), others
}
