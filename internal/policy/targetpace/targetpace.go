// Package targetpace limits the calls of all routers to targets that are not ready for their
// full share: targets that are cold, have just started, or return after an ejection, a wait, a
// limit or an evacuation. A cold target has a bound on its calls a second, which static shares
// keep. A new or recovered target has a window of calls in flight, which grows with successful
// answers. It has no clock and no network: callers pass the current time, and exchange reports.
package targetpace

import (
	"math"
	"sync"
	"time"
)

const (
	// LimitEnded is the reason of a recovery after a limit that the target had named.
	LimitEnded = "target-limits"

	// maxTargets bounds the targets, services and calls that a tracker remembers.
	maxTargets = 4096
	// retention is how long the epoch of a settled target is remembered, so that a late report
	// does not limit it again.
	retention = 10 * time.Minute
	// pruneInterval is the shortest time between two searches for targets to forget while there
	// are too many.
	pruneInterval = time.Second
	// serviceTTL is how long a service has windows after the last call of SetMean.
	serviceTTL = time.Minute
	// maxSkew is how far in the future a start time may be: clocks of VMs differ.
	maxSkew = time.Minute
	// fullWait is the wait that is named to a caller while a window is full: when a call ends
	// or the window grows is not known.
	fullWait = time.Second
)

type (
	// State is what the entry or an answer of a target says of it, with the settings that apply.
	State struct {
		// Started is the start time of the incarnation, or zero if it is not known.
		Started time.Time
		// ColdStart is how long a target of the service is cold after its start.
		ColdStart time.Duration
		// ColdStated is set if the target says how long it stays cold: ColdLeft, zero if it is
		// not cold.
		ColdStated bool
		ColdLeft   time.Duration
		// At is when the statement was received, or zero for now. An entry that is observed
		// again keeps its time, so that it does not make the target cold for longer.
		At time.Time
		Limit
	}

	// Change is a change of a target's pace.
	Change struct {
		Target   uint64
		Service  string
		From, To Pace
		// Why is the reason in kebab case.
		Why string
		// IsReported is set if another router has decided on the window that changes.
		IsReported bool
	}

	// Tracker holds the targets that are not settled and this router's shares of them. It is
	// safe for concurrent use.
	Tracker struct {
		opts Options

		mu       sync.Mutex
		fleet    fleet
		targets  map[uint64]*target
		services map[string]*service
		// inFlight counts this router's calls by target.
		inFlight map[uint64]int
		// prunedAt is when settled targets were last forgotten for lack of room.
		prunedAt time.Time
		// changes are announced when the lock has been released.
		changes []Change
	}

	target struct {
		hash    uint64
		service string
		cold    cold
		window  window
		// why and changedAt are those of the last Change.
		why       string
		changedAt time.Time
		// ranks are the numbers of routers that rank higher, as of fleet.version.
		ranks        ranks
		ranksVersion uint64
	}

	// service is what SetMean says of a service.
	service struct {
		targets []uint64
		// mean is negative if it is not known.
		mean float64
		at   time.Time
		// isNew is set if more than half of the targets are new, or none is usable.
		isNew bool
	}
)

// NewTracker returns an empty tracker. routers returns this router and the others that are heard
// or listed; it is called with the tracker's lock held.
func NewTracker(routers Routers, opts ...Option) *Tracker {
	o := newOptions(opts)
	if o.LiveRouters == nil {
		o.LiveRouters = routers
	}
	return &Tracker{
		opts: o, fleet: newFleet(routers, o.LiveRouters), targets: make(map[uint64]*target),
		services: make(map[string]*service), inFlight: make(map[uint64]int),
	}
}

// Observe records what an entry or an answer says of a target. The window of a target that has
// just started opens when it is observed after SetMean has named its service.
func (t *Tracker) Observe(hash uint64, service string, s State, now time.Time) {
	t.lock(now)
	defer t.unlock()
	known := t.targets[hash]
	isNew := (known == nil || known.window.epoch == 0) && s.hasStarted(now) && now.Sub(s.Started) < settleTime
	if known == nil {
		if !isNew && !s.coldEnd(now).After(now) {
			return
		}
		if known = t.add(hash, service, now); known == nil {
			return
		}
	}
	known.service = service
	t.observeCold(known, s, now)
	if isNew && !known.window.open {
		t.open(known, "started", now)
	}
	t.advance(known, now)
}

// RecoveredSince records that a target may be used again after an ejection, a wait, a limit or an
// evacuation, which this router saw last at excludedAt; why names it in kebab case. It does not open
// a window again that has just opened or is in use: routers notice the same recovery at different
// times. A window that has opened after excludedAt is that of the same recovery, however late the
// router notices it: routers with few calls do so after seconds. After LimitEnded the window also
// grows with time until the first setback.
func (t *Tracker) RecoveredSince(hash uint64, service, why string, excludedAt, now time.Time) {
	t.lock(now)
	defer t.unlock()
	known := t.targets[hash]
	if known == nil {
		if known = t.add(hash, service, now); known == nil {
			return
		}
	}
	known.service = service
	t.advance(known, now)
	if !known.window.openedAt.After(excludedAt) && !known.window.hasRecovered(now) {
		t.open(known, why, now)
	}
	if why == LimitEnded {
		known.window.growWithTime(now)
		t.advance(known, now)
	}
}

// IsSettled reports whether a target is neither cold nor has an open window.
func (t *Tracker) IsSettled(hash uint64, now time.Time) bool {
	t.lock(now)
	defer t.unlock()
	known := t.targets[hash]
	if known == nil {
		return true
	}
	t.advance(known, now)
	return known.pace() == Pace{}
}

// Allows reports whether this router may send a call to a target now, and if not, how long it
// has to wait at most. The time is a guess while a window is full.
func (t *Tracker) Allows(hash uint64, now time.Time) (wait time.Duration, ok bool) {
	t.lock(now)
	defer t.unlock()
	return t.allows(hash, now)
}

// AllowsCold is Allows without the window, for calls whose number is bounded elsewhere.
func (t *Tracker) AllowsCold(hash uint64, now time.Time) (wait time.Duration, ok bool) {
	t.lock(now)
	defer t.unlock()
	return t.allowsCold(hash, now)
}

// TryBegin counts a call to a target as in flight if Allows permits it, and reports whether it
// did. Calls that are chosen at the same time can't pass the bound together. If it did, End must
// follow.
func (t *Tracker) TryBegin(hash uint64, now time.Time) bool { return t.tryBegin(hash, now, t.allows) }

// TryBeginCold is TryBegin without the window, for calls whose number is bounded elsewhere.
func (t *Tracker) TryBeginCold(hash uint64, now time.Time) bool {
	return t.tryBegin(hash, now, t.allowsCold)
}

func (t *Tracker) tryBegin(hash uint64, now time.Time, allows func(uint64, time.Time) (time.Duration, bool)) bool {
	t.lock(now)
	defer t.unlock()
	if _, ok := allows(hash, now); !ok {
		return false
	}
	t.begin(hash, now)
	return true
}

// End counts a call that has begun as ended.
func (t *Tracker) End(hash uint64, now time.Time) {
	t.lock(now)
	defer t.unlock()
	if t.inFlight[hash] <= 1 {
		delete(t.inFlight, hash)
		return
	}
	t.inFlight[hash]--
}

// SetMean sets the usable targets of a service and the mean number of calls that all routers
// have in flight at each of those which IsSettled reports. A negative mean or NaN means that it is
// not known. Targets that can't take more load, such as those that name a limit, are not usable.
// Windows apply to services that are named at least once a minute.
func (t *Tracker) SetMean(name string, targets []uint64, mean float64, now time.Time) {
	t.lock(now)
	defer t.unlock()
	s := t.services[name]
	if s == nil {
		if len(t.services) >= maxTargets {
			return
		}
		s = &service{}
		t.services[name] = s
	}
	if math.IsNaN(mean) || mean < 0 {
		mean = -1
	}
	s.targets = append(s.targets[:0], targets[:min(len(targets), maxTargets)]...)
	s.mean, s.at = min(mean, maxWindow), now
	for _, hash := range s.targets {
		if known := t.targets[hash]; known != nil {
			known.service = name
			t.advance(known, now)
		}
	}
	t.count(name)
}

// allows is Allows with the lock held.
func (t *Tracker) allows(hash uint64, now time.Time) (time.Duration, bool) {
	if wait, ok := t.allowsCold(hash, now); !ok {
		return wait, false
	}
	known := t.targets[hash]
	if known == nil || !t.isLimited(known, now) || t.inFlight[hash] < t.share(known) {
		return 0, true
	}
	return min(known.window.settlesIn(now), fullWait), false
}

// allowsCold is AllowsCold with the lock held.
func (t *Tracker) allowsCold(hash uint64, now time.Time) (time.Duration, bool) {
	known := t.targets[hash]
	if known == nil {
		return 0, true
	}
	t.advance(known, now)
	return t.coldWait(known, now)
}

func (t *Tracker) begin(hash uint64, now time.Time) {
	if known := t.targets[hash]; known != nil {
		t.advance(known, now)
		t.takeCold(known, now)
	}
	if _, ok := t.inFlight[hash]; ok || len(t.inFlight) < maxTargets {
		t.inFlight[hash]++
	}
}

// advance ends what has ended by time or by the growth of the window.
func (t *Tracker) advance(known *target, now time.Time) {
	if known.cold.active && !known.cold.until.After(now) {
		from := known.pace()
		known.cold.active = false
		t.announce(known, from, "warm", now)
	}
	w := &known.window
	if !w.open {
		return
	}
	w.updateFloor(now)
	goal, hasGoal := t.goal(known.service)
	switch {
	case w.settlesIn(now) <= 0:
		t.settle(known, "time", now)
	case hasGoal && !known.cold.active && w.size() >= goal:
		t.settle(known, "mean-reached", now)
	}
}

// add remembers a target, or returns nil if there are too many.
func (t *Tracker) add(hash uint64, service string, now time.Time) *target {
	if len(t.targets) >= maxTargets && now.Sub(t.prunedAt) >= pruneInterval {
		t.prunedAt = now
		t.prune(now, 0)
	}
	if len(t.targets) >= maxTargets {
		return nil
	}
	known := &target{hash: hash, service: service, changedAt: now}
	t.targets[hash] = known
	return known
}

// prune forgets targets that have been settled for longer than age, and services that are no
// longer named.
func (t *Tracker) prune(now time.Time, age time.Duration) {
	for hash, known := range t.targets {
		t.advance(known, now)
		if !known.window.open && !known.cold.active && now.Sub(known.changedAt) >= age {
			delete(t.targets, hash)
		}
	}
	for name, s := range t.services {
		if now.Sub(s.at) > serviceTTL {
			delete(t.services, name)
		}
	}
}

func (t *Tracker) lock(now time.Time) {
	t.mu.Lock()
	t.fleet.refresh(now)
}

// unlock releases the lock and announces the changes made under it.
func (t *Tracker) unlock() {
	changes := t.changes
	t.changes = nil
	t.mu.Unlock()
	for _, c := range changes {
		t.opts.OnChange(c)
	}
}

// announce queues a Change if the pace of a target differs from the one before.
func (t *Tracker) announce(known *target, from Pace, why string, now time.Time) {
	to := known.pace()
	if to == from {
		return
	}
	t.changes = append(t.changes, Change{Target: known.hash, Service: known.service, From: from, To: to, Why: why, IsReported: known.window.isReported})
	known.why, known.changedAt = why, now
}

// hasStarted reports whether the start time is known and plausible.
func (s State) hasStarted(now time.Time) bool {
	return !s.Started.IsZero() && s.Started.Sub(now) <= maxSkew
}
