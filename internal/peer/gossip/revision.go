package gossip

import (
	"time"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/platform"
)

// maxDepartureReports bounds the departures in a snapshot.
const maxDepartureReports = 1024

// targetsRevision returns the revision of the sender's targets.
func targetsRevision(b *peerv1.Beacon) state.Revision {
	return state.Revision{Era: b.GetStoreEra(), Number: b.GetTargetsRevision()}
}

// listRevision returns the revision of the list that the sender's targets are based on.
func listRevision(b *peerv1.Beacon) state.Revision {
	return state.Revision{Era: b.GetStoreEra(), Number: b.GetTargetsListed()}
}

// isAhead reports whether the sender of a beacon has a newer configuration, or
// targets that this router does not have.
func (f *Fleet) isAhead(b *peerv1.Beacon, local State) bool {
	if b.GetConfigurationVersion() > local.ConfigurationVersion {
		return true
	}
	theirs := targetsRevision(b)
	if local.TargetsRevision.Before(theirs) {
		return local.TargetsRevision.NeedsSnapshot(theirs) || b.GetTargetsDigest() != local.TargetsDigest
	}
	return hasNewerList(b, local) || f.knowsDepartures(b, local)
}

// knowsDepartures reports whether the sender of a beacon may know of departures that this
// router lacks, since its process is older.
func (f *Fleet) knowsDepartures(b *peerv1.Beacon, local State) bool {
	return local.LacksDepartures && b.GetStoreEra() == local.TargetsRevision.Era && b.GetIncarnation() < f.self.Incarnation
}

// hasNewerList reports whether the sender of a beacon has different targets at the
// same revision, taken from a later list of the store.
func hasNewerList(b *peerv1.Beacon, local State) bool {
	return targetsRevision(b) == local.TargetsRevision && b.GetTargetsDigest() != local.TargetsDigest &&
		local.TargetsListRevision.Before(listRevision(b))
}

func newSnapshotRequest(local State) *peerv1.GetSnapshotRequest {
	return &peerv1.GetSnapshotRequest{
		ConfigurationVersion: local.ConfigurationVersion,
		StoreEra:             local.TargetsRevision.Era, TargetsRevision: local.TargetsRevision.Number,
	}
}

// encodeDelta returns a change of targets without its items.
func encodeDelta(d storewatch.Delta) *peerv1.TargetsChange {
	out := &peerv1.TargetsChange{
		AfterEra: d.After.Era, AfterRevision: d.After.Number, Era: d.Revision.Era, Revision: d.Revision.Number,
		Listed: d.ListRevision.Number,
	}
	for _, part := range d.Parts {
		out.Parts = append(out.Parts, &peerv1.TargetsPart{Last: part.Last, Revision: part.Revision})
	}
	return out
}

func encodeItem(item storewatch.TargetChange) *peerv1.TargetItem {
	return &peerv1.TargetItem{Entry: item.Entry, Deleted: item.Deleted, KeptMs: uint32(item.KeptFor.Milliseconds())}
}

func decodeChange(c *peerv1.TargetsChange) storewatch.Delta {
	out := storewatch.Delta{
		After:    state.Revision{Era: c.GetAfterEra(), Number: c.GetAfterRevision()},
		Revision: state.Revision{Era: c.GetEra(), Number: c.GetRevision()},
	}
	if c.GetListed() > 0 {
		out.ListRevision = state.Revision{Era: c.GetEra(), Number: c.GetListed()}
	}
	for _, part := range c.GetParts() {
		out.Parts = append(out.Parts, platform.ListPart{Last: part.GetLast(), Revision: part.GetRevision()})
	}
	for _, item := range c.GetItems() {
		out.Items = append(out.Items, storewatch.TargetChange{
			Entry: item.GetEntry(), Deleted: item.GetDeleted(), KeptFor: time.Duration(item.GetKeptMs()) * time.Millisecond,
		})
	}
	return out
}

func encodeDepartures(list []storewatch.Departure, now time.Time) []*peerv1.TargetDeparture {
	out := make([]*peerv1.TargetDeparture, 0, min(len(list), maxDepartureReports))
	for _, d := range list[:min(len(list), maxDepartureReports)] {
		out = append(out, &peerv1.TargetDeparture{
			Target: d.Target, Drained: d.Drained, Announced: d.Announced, Era: d.Era, AgeMs: ageMS(d.At, now),
		})
	}
	return out
}

func decodeDepartures(list []*peerv1.TargetDeparture, now time.Time) []storewatch.Departure {
	out := make([]storewatch.Departure, 0, len(list))
	for _, d := range list {
		out = append(out, storewatch.Departure{
			Target: d.GetTarget(), Drained: d.GetDrained(), Announced: d.GetAnnounced(), Era: d.GetEra(),
			At: timeBefore(now, d.GetAgeMs()),
		})
	}
	return out
}

// sendDepartures tells all peers which targets have said that they leave, if there is anything
// to tell.
func (f *Fleet) sendDepartures() {
	list := f.watcher.TakeAnnouncements()
	if len(list) == 0 {
		return
	}
	b := f.newBeacon()
	b.Departures = encodeDepartures(list, time.Now())
	f.broadcast(b)
}

// mergeDepartures takes over which targets have told another router that they leave.
func (f *Fleet) mergeDepartures(b *peerv1.Beacon, now time.Time) {
	if len(b.GetDepartures()) > 0 {
		f.watcher.ApplyAnnouncements(decodeDepartures(b.GetDepartures(), now))
	}
}
