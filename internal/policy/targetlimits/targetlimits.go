// Package targetlimits keeps the calls of all routers to a target within the limit that the
// target names in its answers. Some routers may send to such a target; which ones follows
// from the routers that are live, so they need not agree on each call. While reports between
// routers are frequent, the senders share the limit by counting each other's calls;
// otherwise each has an equal part of it. Callers pass the current time to every function
// that needs it.
package targetlimits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRate is the rate, in calls a second, at which calls are sent to a target whose
	// limit is lower or zero: only an answer tells that the limit has changed.
	minRate = 0.5
	// maxRate is the rate from which a limit does not matter.
	maxRate = 1e6
	// observationTTL is how long a limit applies without an answer from the target.
	observationTTL = 30 * time.Second
	// clearedTTL is how long the end of a limit is told to other routers.
	clearedTTL = 5 * time.Second
	// reportInterval is the time between two reports of an unchanged limit.
	reportInterval = time.Second
	// maxReported bounds a report, so that it fits into a datagram.
	maxReported = 40
	// maxCounted bounds the number of targets whose calls are counted.
	maxCounted = 4096
)

type (
	// Limit is what a target's answer says of its limit.
	Limit struct {
		// Named is set if the target names a limit.
		Named bool
		// PerSecond is the number of calls that the target takes from all routers together.
		PerSecond float64
	}

	// Observation is the limit in an answer that was received at a time.
	Observation struct {
		Target uint64
		Limit
		At time.Time
	}

	// Report is what a router tells the others of one target.
	Report struct {
		Observation
		// Sent is the number of calls that the router has sent to the target, since its
		// process started, while it knew of a limit.
		Sent uint32
	}

	// Routers returns the hash of this router and those of the other live ones.
	Routers func() (self uint64, others []uint64)

	// Tracker holds the limits that a router knows and its part of them. It is safe for
	// concurrent use.
	Tracker struct {
		routers Routers
		opts    Options

		mu      sync.Mutex
		targets map[uint64]*target
		// sent counts this router's calls by target.
		sent map[uint64]uint32
	}

	// target is a target that names a limit or did so lately.
	target struct {
		Observation
		// own is set if this router has received the answer itself.
		own          bool
		reportedAt   time.Time
		reportedSent uint32
		// peerSent holds the other routers' counts of calls.
		peerSent map[uint64]uint32
		// isSender is set if this router may send to the target, isShared if the senders count
		// each other's calls; both are as of chosenAt.
		isSender bool
		isShared bool
		chosenAt time.Time
		bucket   *rate.Limiter
	}
)

// NewTracker returns an empty tracker.
func NewTracker(routers Routers, opts ...Option) *Tracker {
	return &Tracker{
		routers: routers, opts: newOptions(opts), targets: make(map[uint64]*target), sent: make(map[uint64]uint32),
	}
}

// Observe records what an answer of a target says of its limit.
func (t *Tracker) Observe(target uint64, limit Limit, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(Observation{Target: target, Limit: limit, At: now}, true)
}

// Allows reports whether this router may send a call to a target now.
func (t *Tracker) Allows(target uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limited(target, now)
	return known == nil || (t.choose(known, now) && known.bucket.TokensAt(now) >= 1)
}

// IsNamed reports whether a target names a limit that applies, also if it permits more calls than
// there are.
func (t *Tracker) IsNamed(target uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limited(target, now) != nil
}

// Take counts a call that is sent to a target. Calls that were not allowed count as well.
func (t *Tracker) Take(target uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limited(target, now)
	if known == nil {
		return
	}
	if _, ok := t.sent[target]; !ok && len(t.sent) >= maxCounted {
		clear(t.sent)
	}
	t.sent[target]++
	t.choose(known, now)
	known.spend(1, now)
}

// Wait returns the time until this router may send a call to one of the targets, and
// whether it may at all.
func (t *Tracker) Wait(targets []uint64, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest, found := time.Duration(0), false
	for _, hash := range targets {
		known := t.limited(hash, now)
		if known == nil {
			return 0, true
		}
		if !t.choose(known, now) {
			continue
		}
		missing := max(1-known.bucket.TokensAt(now), 0)
		wait := time.Duration(missing / float64(known.bucket.Limit()) * float64(time.Second))
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// Limits returns the limits that apply, by target.
func (t *Tracker) Limits(now time.Time) map[uint64]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[uint64]float64)
	for hash := range t.targets {
		if known := t.limited(hash, now); known != nil {
			out[hash] = known.PerSecond
		}
	}
	return out
}

// Merge adds the report of another router, identified by the hash of its process.
func (t *Tracker) Merge(router uint64, reports []Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		t.record(r.Observation, false)
		known := t.targets[r.Target]
		if known == nil {
			continue
		}
		before, ok := known.peerSent[router]
		if ok && r.Sent > before {
			t.choose(known, now)
			if known.isShared {
				known.spend(int(r.Sent-before), now)
			}
		}
		known.peerSent[router] = max(before, r.Sent)
	}
}

// TakeReport returns what the other routers should be told now.
func (t *Tracker) TakeReport(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for hash, known := range t.targets {
		age := now.Sub(known.At)
		if age > observationTTL || (!known.Named && age > clearedTTL) {
			delete(t.targets, hash)
			continue
		}
		sent := t.sent[hash]
		isDue := sent != known.reportedSent || (known.own && now.Sub(known.reportedAt) >= reportInterval)
		if isDue && len(out) < maxReported {
			known.reportedAt, known.reportedSent = now, sent
			out = append(out, Report{known.Observation, sent})
		}
	}
	return out
}

// ReportAll makes the next report carry all limits, for a router that has just started.
func (t *Tracker) ReportAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range t.targets {
		known.reportedAt = time.Time{}
	}
}

// limited returns a target to which a limit applies, or nil. The lock must be held.
func (t *Tracker) limited(target uint64, now time.Time) *target {
	known := t.targets[target]
	if known == nil || !known.Named || now.Sub(known.At) > observationTTL {
		return nil
	}
	return known
}

// record keeps the latest observation of a target. The lock must be held.
func (t *Tracker) record(o Observation, own bool) {
	if o.PerSecond >= maxRate {
		o.Limit = Limit{}
	}
	known := t.targets[o.Target]
	if known == nil {
		if !o.Named {
			return
		}
		known = &target{peerSent: make(map[uint64]uint32), reportedSent: t.sent[o.Target]}
		t.targets[o.Target] = known
	}
	if !o.At.After(known.At) {
		return
	}
	if known.Limit != o.Limit {
		known.reportedAt, known.chosenAt = time.Time{}, time.Time{}
	}
	known.Observation, known.own = o, own
}
