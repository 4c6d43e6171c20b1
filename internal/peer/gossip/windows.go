package gossip

import (
	"time"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/targetpace"
)

// listedTime is how long a router that was listed counts as known without a beacon.
const listedTime = 10 * time.Second

// sendWindows tells all peers the windows of new and recovered targets, if they have changed.
func (f *Fleet) sendWindows() {
	reports := f.opts.Pace.TakeReport(time.Now())
	if len(reports) == 0 {
		return
	}
	b := f.newBeacon()
	for _, r := range reports {
		b.Windows = append(b.Windows, &peerv1.TargetWindow{Target: r.Target, Epoch: r.Epoch, Level: r.Level, Successes: r.Successes})
	}
	f.broadcast(b)
}

// mergeWindows takes over the windows that another router knows.
func (f *Fleet) mergeWindows(b *peerv1.Beacon, now time.Time) {
	if len(b.GetWindows()) == 0 {
		return
	}
	reports := make([]targetpace.Report, len(b.GetWindows()))
	for i, w := range b.GetWindows() {
		reports[i] = targetpace.Report{Target: w.GetTarget(), Epoch: w.GetEpoch(), Level: w.GetLevel(), Successes: w.GetSuccesses()}
	}
	f.opts.Pace.Merge(processHash(b), reports, now)
}

// processHash identifies the process that has sent a beacon.
func processHash(b *peerv1.Beacon) uint64 {
	return uint64(senderID(b.GetPeerAddress())) ^ b.GetIncarnation()
}

// KnownRouters returns the hash of this router and those of the others that are live or were
// listed lately, also if they do not serve callers yet.
func (f *Fleet) KnownRouters() (self uint64, others []uint64) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	others = make([]uint64, 0, len(f.peers))
	for address, p := range f.peers {
		if p.live || now.Sub(p.listedAt) <= listedTime {
			others = append(others, uint64(senderID(address)))
		}
	}
	return uint64(f.senderID), others
}
