package gossip

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/targetload"
)

const (
	// maxFigures is the number of targets whose load figures a beacon carries.
	maxFigures = 16
	// maxBeaconBytes is the size of a beacon that is still below 1,400 bytes with the byte of the
	// datagram's kind, and the fields that broadcast sets.
	maxBeaconBytes = 1360
	// percent is the factor of slowdowns on the wire.
	percent = 100
)

// takeFigures returns the load figures that this router has received since the last call.
func (f *Fleet) takeFigures(now time.Time) []*peerv1.LoadFigures {
	reports := f.opts.LoadFigures.Reports(now, maxFigures)
	out := make([]*peerv1.LoadFigures, len(reports))
	for i, r := range reports {
		out[i] = &peerv1.LoadFigures{
			Target: r.Target, Running: uint32(r.Running), Waiting: uint32(r.Waiting), Slots: uint32(r.Slots),
			SlowdownPercent: uint32(math.Round(r.Slowdown * percent)), AgeMs: uint32(r.Age.Milliseconds()),
		}
	}
	return out
}

// hasRoomForFigures reports whether load figures fit into a regular beacon.
func hasRoomForFigures(b *peerv1.Beacon, figures []*peerv1.LoadFigures) bool {
	return proto.Size(b)+proto.Size(&peerv1.Beacon{Figures: figures}) <= maxBeaconBytes
}

// sendFigures tells all peers load figures, if there are any, in a beacon of its own.
func (f *Fleet) sendFigures(figures []*peerv1.LoadFigures) {
	if len(figures) > 0 {
		b := f.newBeacon()
		b.Figures = figures
		f.broadcast(b)
	}
}

// mergeFigures takes over the load figures that another router has received. The beacon must be
// newer than the sender's last one: the age of figures in a delayed or repeated beacon is too low.
func (f *Fleet) mergeFigures(b *peerv1.Beacon, now time.Time) {
	if len(b.GetFigures()) == 0 {
		return
	}
	reports := make([]targetload.Report, len(b.GetFigures()))
	for i, r := range b.GetFigures() {
		reports[i] = targetload.Report{
			Target: r.GetTarget(), Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
			Figures: targetload.Figures{
				Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()), Slots: int(r.GetSlots()),
				Slowdown: float64(r.GetSlowdownPercent()) / percent,
			},
		}
	}
	f.opts.LoadFigures.Merge(reports, now)
}
