package targetpace

import (
	"math"
	"time"
)

const (
	// initialWindow is the number of calls in flight that a new target gets: one would stop
	// with the first router that holds its answer back.
	initialWindow = 2
	// doublingTime is the time in which the window after a limit at least doubles. A window of 32,
	// as engines need it, is reached after 0.8 s, so that calls of 500 ms restore the full share
	// within two seconds; with successes only it takes up to 3.1 s (0019).
	doublingTime = 200 * time.Millisecond
	// goalMargin is added to the mean of the settled targets; a target there is settled.
	goalMargin = 2
	// maxWindow is far above the calls in flight at any target.
	maxWindow = 1 << 20
	// maxEpoch leaves room for the epochs after one that is reported.
	maxEpoch = math.MaxUint32 - 1
	// settleTime is the time without a setback after which a target is settled.
	settleTime = 5 * time.Second
	// maxWarmTime is the time after which a target is settled although it has setbacks. What it
	// refuses and fails is the matter of ejections and waits, which open a new window when they
	// end; a target that is always slow would otherwise never get a share.
	maxWarmTime = 10 * time.Second
	// recoveryTime is the time in which routers notice the same recovery. After it, a recovery
	// opens a new window if the last one has not changed for inUseTime.
	recoveryTime = 2 * time.Second
	inUseTime    = time.Second
	// reportDelay is the time that a report takes, in addition to the interval.
	reportDelay = 50 * time.Millisecond
	// maxProcesses bounds the processes whose successes are counted for one target.
	maxProcesses = 1024
)

// window is the fleet's window of calls in flight at a target: the level of an epoch and the
// successful answers in it. The counts are a grow-only counter, merged by maximum.
type window struct {
	open bool
	// isReported is set if another router has begun the epoch.
	isReported   bool
	epoch, level uint32
	// own counts this process's successes; peers holds those of others by process, peerSum
	// is their sum.
	own     uint32
	peers   map[uint64]uint32
	peerSum uint64
	// openedAt is the time of the opening, setbackAt of the last epoch that a setback or a
	// report began, steadySince of the later of both, changedAt of the last change.
	openedAt    time.Time
	setbackAt   time.Time
	steadySince time.Time
	changedAt   time.Time
	// openingEpoch is the epoch in which the window opened, or zero if it is not known. growsFrom is
	// the time from which the window grows with time in that epoch, or zero if it does not; floor is
	// what it has grown to, in calls in flight.
	openingEpoch uint32
	growsFrom    time.Time
	floor        uint32
	// reportsDue is the number of reports that still have to carry the window.
	reportsDue int
}

// RecordSuccess records a successful answer of a target.
func (t *Tracker) RecordSuccess(hash uint64, now time.Time) {
	t.lock(now)
	defer t.unlock()
	known := t.targets[hash]
	if known == nil || !known.window.open {
		return
	}
	w := &known.window
	w.own = min(w.own+1, maxWindow)
	w.changedAt, w.reportsDue = now, maxReports
	t.advance(known, now)
}

// RecordSetback records a refusal or a failure of a target; why names it in kebab case. It halves
// the window, and has no effect on a settled target.
func (t *Tracker) RecordSetback(hash uint64, why string, now time.Time) {
	t.lock(now)
	defer t.unlock()
	if known := t.targets[hash]; known != nil && known.window.open {
		known.window.steadySince = now
		t.halve(known, 1, why, now)
	}
}

// RecordSlow records that the first answer of a target took more than three times the usual time.
// It halves the window, but not below the initial one, and does not put off the time at which the
// target is settled: a target that is slow with two calls in flight is not slow because of them.
func (t *Tracker) RecordSlow(hash uint64, now time.Time) {
	t.lock(now)
	defer t.unlock()
	if known := t.targets[hash]; known != nil && known.window.open && known.window.size() > initialWindow {
		steadySince := known.window.steadySince
		t.halve(known, initialWindow, "slow", now)
		known.window.steadySince = steadySince
	}
}

// halve begins an epoch with half of the window, but not less than least. Within the time of a
// report, routers see setbacks of calls that were sent under the same window; it is halved once
// for all of them.
func (t *Tracker) halve(known *target, least int, why string, now time.Time) {
	w := &known.window
	if !w.setbackAt.IsZero() && now.Sub(w.setbackAt) < t.opts.ReportInterval()+reportDelay {
		return
	}
	from := known.pace()
	w.begin(w.epoch+1, uint32(max(w.size()/2, least)), now)
	w.setbackAt, w.reportsDue = now, maxReports
	t.announce(known, from, why, now)
}

// Window returns the fleet's window of calls in flight for a target, and whether it applies.
func (t *Tracker) Window(hash uint64, now time.Time) (int, bool) {
	t.lock(now)
	defer t.unlock()
	known := t.targets[hash]
	if known == nil {
		return 0, false
	}
	t.advance(known, now)
	if !t.isLimited(known, now) {
		return 0, false
	}
	return t.limit(known), true
}

// open begins the window of a target that is new or has recovered, if its service has windows.
func (t *Tracker) open(known *target, why string, now time.Time) {
	if t.services[known.service] == nil {
		return
	}
	from, w := known.pace(), &known.window
	w.begin(w.epoch+1, initialWindow, now)
	w.open, w.openedAt, w.setbackAt, w.reportsDue, w.openingEpoch = true, now, time.Time{}, maxReports, w.epoch
	t.announce(known, from, why, now)
	t.count(known.service)
}

func (t *Tracker) settle(known *target, why string, now time.Time) {
	from := known.pace()
	known.window.open = false
	t.announce(known, from, why, now)
	t.count(known.service)
}

// count updates whether a service has too few settled targets that could take the load of new ones.
func (t *Tracker) count(name string) {
	s := t.services[name]
	if s == nil {
		return
	}
	n := 0
	for _, hash := range s.targets {
		if known := t.targets[hash]; known != nil && known.window.open {
			n++
		}
	}
	s.isNew = 2*n > len(s.targets) || len(s.targets) == 0
}

// isLimited reports whether a target's window applies. It does not if there are no other targets
// to take the load.
func (t *Tracker) isLimited(known *target, now time.Time) bool {
	s := t.services[known.service]
	return known.window.open && s != nil && !s.isNew && now.Sub(s.at) <= serviceTTL
}

// goal returns the window at which the targets of a service are settled, and false if the mean is
// not known. It is above initialWindow, so that a target has answered once.
func (t *Tracker) goal(name string) (int, bool) {
	s := t.services[name]
	if s == nil || s.mean < 0 {
		return 0, false
	}
	return max(int(math.Ceil(s.mean))+goalMargin, initialWindow+1), true
}

// limit returns the window of a target, at most the goal.
func (t *Tracker) limit(known *target) int {
	size := known.window.size()
	if goal, ok := t.goal(known.service); ok {
		return min(size, goal)
	}
	return size
}

// share returns how many calls this router may have in flight at a target. The shares of all
// routers add up to the window, except for proportional ones.
func (t *Tracker) share(known *target) int {
	size, routers := t.limit(known), len(t.fleet.liveOthers)+1
	share := size / routers
	if t.ranks(known).live < size%routers {
		share++
	}
	if share == 0 && t.opts.ProportionalShares {
		if goal, ok := t.goal(known.service); ok && t.ranks(known).live < routers*size/goal {
			return 1
		}
	}
	return share
}

// begin starts an epoch. After the last one only the level changes.
func (w *window) begin(epoch, level uint32, now time.Time) {
	w.epoch, w.level = min(epoch, maxEpoch), min(max(level, 1), maxWindow)
	w.own, w.peers, w.peerSum, w.isReported = 0, nil, 0, false
	w.growsFrom, w.floor = time.Time{}, 0
	w.steadySince, w.changedAt, w.reportsDue = now, now, 0
}

// size returns the window, at most maxWindow.
func (w *window) size() int {
	return int(min(max(uint64(w.level)+uint64(w.own)+w.peerSum, uint64(w.floor)), maxWindow))
}

// growWithTime makes a window that has just opened double at least once in doublingTime. It has no
// effect after a setback. Routers notice the end of a limit themselves, so reports need not say it.
func (w *window) growWithTime(now time.Time) {
	if w.open && w.openingEpoch == w.epoch && w.growsFrom.IsZero() && now.Sub(w.openedAt) < recoveryTime {
		w.growsFrom = w.openedAt
	}
}

// updateFloor brings what the window has grown to with time up to date.
func (w *window) updateFloor(now time.Time) {
	if w.growsFrom.IsZero() {
		return
	}
	doublings := min(max(now.Sub(w.growsFrom)/doublingTime, 0), 30)
	w.floor = uint32(min(initialWindow<<doublings, maxWindow))
}

func (w *window) settlesIn(now time.Time) time.Duration {
	return min(settleTime-now.Sub(w.steadySince), maxWarmTime-now.Sub(w.openedAt))
}

// hasRecovered reports whether the window follows from a recovery that is noticed now.
func (w *window) hasRecovered(now time.Time) bool {
	isNew := !w.openedAt.IsZero() && now.Sub(w.openedAt) < recoveryTime
	return isNew || (w.open && now.Sub(w.changedAt) < inUseTime)
}

// merge takes over what another process reports and reports whether anything has changed. A
// report of an earlier epoch or with an earlier count changes nothing.
func (w *window) merge(process uint64, r Report, now time.Time) bool {
	level := min(max(r.Level, 1), maxWindow)
	switch {
	case r.Epoch < w.epoch || r.Epoch > maxEpoch:
		return false
	case r.Epoch > w.epoch:
		if !w.open {
			w.open, w.openedAt, w.openingEpoch = true, now, 0
			if r.Epoch == w.epoch+1 && level == initialWindow {
				w.openingEpoch = r.Epoch
			}
		}
		w.begin(r.Epoch, level, now)
		w.setbackAt, w.isReported = now, true
		w.count(process, r.Successes)
		return true
	}
	isLower := level < w.level
	w.level = min(w.level, level)
	if w.count(process, r.Successes) || isLower {
		w.changedAt = now
		return true
	}
	return false
}

// count raises the count of a process and reports whether it did.
func (w *window) count(process uint64, successes uint32) bool {
	successes = min(successes, maxWindow)
	before, ok := w.peers[process]
	if successes <= before || (!ok && len(w.peers) >= maxProcesses) {
		return false
	}
	if w.peers == nil {
		w.peers = make(map[uint64]uint32)
	}
	w.peers[process] = successes
	w.peerSum += uint64(successes - before)
	return true
}
