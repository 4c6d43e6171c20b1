package gossip

import (
	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/state"
)

// sendEvacuations tells all peers which failure domains are evacuated if the store has just
// changed that. Each beacon with the identity does, too.
func (f *Fleet) sendEvacuations() {
	if _, ok := f.watcher.TakeEvacuations(); !ok {
		return
	}
	b := f.newBeacon()
	b.Evacuations = f.encodeEvacuations()
	f.broadcast(b)
}

// encodeEvacuations returns the evacuated failure domains, or nil if this router does not know
// them.
func (f *Fleet) encodeEvacuations() *peerv1.Evacuations {
	e, ok := f.watcher.Evacuations()
	if !ok {
		return nil
	}
	return &peerv1.Evacuations{Era: e.Revision.Era, Revision: e.Revision.Number, Domains: e.NamesForPeers(f.watcher.View().Targets)}
}

// mergeEvacuations takes over which failure domains another router knows to be evacuated.
func (f *Fleet) mergeEvacuations(e *peerv1.Evacuations, router string) {
	if e != nil {
		f.watcher.ApplyEvacuations(state.Revision{Era: e.GetEra(), Number: e.GetRevision()}, e.GetDomains(), router)
	}
}
