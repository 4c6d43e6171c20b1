package targetpace

import (
	"time"

	"hickoryrock/internal/policy/rendezvous"
)

const (
	// routerMemory is how long a router counts that is neither heard nor listed any more:
	// routers that do not hear each other for a time exist all the same.
	routerMemory = time.Minute
	// routersTTL is how long a list of routers is used.
	routersTTL = 100 * time.Millisecond
	// joinTime is the time without a further router after which a router that has started
	// knows the others, and they know it. It is as long as the window of the bound on cold
	// targets, so that the calls of a process that had the same address no longer count.
	joinTime = time.Second
	// maxJoinTime is the longest such time while the fleet itself starts.
	maxJoinTime = 3 * time.Second
	// aloneTime is the time after which a router that has never known another one takes
	// itself for the only one. It is far longer than a beacon or a list of VMs takes.
	aloneTime = 30 * time.Second
	// maxRouters bounds the routers that are remembered.
	maxRouters = 4096
)

type (
	// Routers returns the hash of this router and those of others.
	Routers func() (self uint64, others []uint64)

	// fleet holds the routers that share the bounds.
	fleet struct {
		known, live Routers
		self        uint64
		// lastSeen holds when the other routers of the last routerMemory were last heard or
		// listed, as the time since startedAt.
		lastSeen map[uint64]time.Duration
		// liveOthers holds the others that share windows.
		liveOthers []uint64
		version    uint64
		at         time.Time
		startedAt  time.Time
		grownAt    time.Time
		// joined is set when the router has known the others for joinTime.
		joined bool
	}

	// ranks holds how many routers rank higher than this one for a target.
	ranks struct {
		known, live int
	}
)

func newFleet(known, live Routers) fleet {
	return fleet{known: known, live: live, lastSeen: make(map[uint64]time.Duration)}
}

// refresh brings the lists of routers up to date.
func (f *fleet) refresh(now time.Time) {
	if f.startedAt.IsZero() {
		f.startedAt, f.grownAt = now, now
	} else if now.Sub(f.at) < routersTTL {
		return
	}
	f.at = now
	f.version++
	var others []uint64
	f.self, others = f.known()
	before, age := len(f.lastSeen), now.Sub(f.startedAt)
	for _, o := range others {
		if _, ok := f.lastSeen[o]; o != f.self && (ok || len(f.lastSeen) < maxRouters) {
			f.lastSeen[o] = age
		}
	}
	if len(f.lastSeen) > before {
		f.grownAt = now
	}
	for o, at := range f.lastSeen {
		if age-at > routerMemory {
			delete(f.lastSeen, o)
		}
	}
	_, f.liveOthers = f.live()
	switch {
	case len(f.lastSeen) == 0:
		f.joined = f.joined || now.Sub(f.startedAt) >= aloneTime
	case now.Sub(f.grownAt) >= joinTime || now.Sub(f.startedAt) >= maxJoinTime:
		f.joined = true
	}
}

// rank returns how many routers rank higher than this one for a target.
func (f *fleet) rank(target uint64) ranks {
	var r ranks
	own := rendezvous.Rank(target, f.self)
	isHigher := func(other uint64) bool {
		rank := rendezvous.Rank(target, other)
		return rank > own || (rank == own && other > f.self)
	}
	for o := range f.lastSeen {
		if isHigher(o) {
			r.known++
		}
	}
	for _, o := range f.liveOthers {
		if isHigher(o) {
			r.live++
		}
	}
	return r
}

// ranks returns this router's ranks for a target.
func (t *Tracker) ranks(known *target) ranks {
	if known.ranksVersion != t.fleet.version {
		known.ranks, known.ranksVersion = t.fleet.rank(known.hash), t.fleet.version
	}
	return known.ranks
}
