package gossip

import (
	"time"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/targetpace"
)

// listedTime is how long a router that was listed counts as known without a beacon.
const listedTime = 10 * time.Second

// maxLoadsBesideWindows is the number of loads beside which maxReported windows fit into a
// datagram of 1,400 bytes.
const maxLoadsBesideWindows = 15

// hasRoomForWindows reports whether the datagram of a regular beacon has room for windows.
func hasRoomForWindows(b *peerv1.Beacon) bool { return len(b.GetLoads()) <= maxLoadsBesideWindows }

// sendWindows tells all peers the windows of new and recovered targets that have changed, in a
// beacon of its own.
func (f *Fleet) sendWindows() {
	if windows := f.takeWindows(); len(windows) > 0 {
		b := f.newBeacon()
		b.Windows = windows
		f.broadcast(b)
	}
}

func (f *Fleet) takeWindows() []*peerv1.TargetWindow {
	var windows []*peerv1.TargetWindow
	for _, r := range f.opts.Pace.TakeReport(time.Now()) {
		windows = append(windows, &peerv1.TargetWindow{Target: r.Target, Epoch: r.Epoch, Level: r.Level, Successes: r.Successes})
	}
	return windows
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
