// Package targetload keeps the newest load figures of the targets that state how long work
// takes on their machine, whichever router has received them, and derives from them how long
// a call is expected to take at a target. Callers pass the current time to every function that
// needs it.
package targetload

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxAge is the age of figures from which nothing is known of a target: its slow periods
	// last for a few hundred milliseconds.
	maxAge = 2 * time.Second
	// minSlowdown, maxSlowdown and maxCalls bound plausible figures.
	minSlowdown = 0.1
	maxSlowdown = 20
	maxCalls    = 1 << 16
	// maxSent bounds the sending times that are kept of a target.
	maxSent = 64
	// maxTargets bounds the targets of which figures are kept.
	maxTargets = 4096
)

const (
	// Observed figures are those of an answer to this router.
	Observed Result = "observed"
	// Merged figures are those of another router that apply now.
	Merged Result = "merged"
	// Outdated figures are those of another router that are older than the known ones or than
	// maxAge.
	Outdated Result = "outdated"
	// Invalid figures are implausible, or of a target beyond maxTargets. No router has that many
	// targets within maxAge unless reports are forged or corrupted.
	Invalid Result = "invalid"
)

type (
	// Result is what became of figures.
	Result string

	// Figures is the load that a target reports.
	Figures struct {
		// Running and Waiting are numbers of calls, Slots is how many run at once.
		Running int `json:"running"`
		Waiting int `json:"waiting"`
		Slots   int `json:"slots"`
		// Slowdown is how long work takes on the target's machine as a multiple of the usual
		// time.
		Slowdown float64 `json:"slowdown"`
	}

	// Report is what a router tells the others of one target.
	Report struct {
		Target uint64
		Figures
		// Age is the time since the router has received the figures.
		Age time.Duration
	}

	// Tracker holds the load figures that a router knows. It is safe for concurrent use.
	Tracker struct {
		opts Options

		mu      sync.Mutex
		targets map[uint64]*target
	}

	target struct {
		figures Figures
		at      time.Time
		// unreported is set until Reports has returned this router's own observation.
		unreported bool
		// sent holds when this router has sent calls to the target, in order, newer than at.
		sent []time.Time
	}
)

// NewTracker returns an empty tracker.
func NewTracker(opts ...Option) *Tracker {
	return &Tracker{opts: newOptions(opts), targets: make(map[uint64]*target)}
}

// Observe records the figures in an answer of a target.
func (t *Tracker) Observe(target uint64, f Figures, now time.Time) {
	t.mu.Lock()
	result := t.record(target, f, now, now, true)
	t.mu.Unlock()
	t.opts.OnResult(result, 1)
}

// Sent records that this router sends a call to a target. It counts as running until newer
// figures are known.
func (t *Tracker) Sent(target uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.known(target, now); known != nil && len(known.sent) < maxSent {
		known.sent = append(known.sent, now)
	}
}

// Reports returns what this router has observed since the last call, the newest first and at
// most a number of targets. The others follow in the next call unless they are outdated then.
func (t *Tracker) Reports(now time.Time, most int) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for hash, known := range t.targets {
		age := now.Sub(known.at)
		switch {
		case age > maxAge:
			delete(t.targets, hash)
		case known.unreported:
			out = append(out, Report{hash, known.figures, max(age, 0)})
		}
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Target, b.Target))
	})
	out = out[:min(len(out), most)]
	for _, r := range out {
		t.targets[r.Target].unreported = false
	}
	return out
}

// Merge adds the reports of another router.
func (t *Tracker) Merge(reports []Report, now time.Time) {
	counts := make(map[Result]int)
	t.mu.Lock()
	for _, r := range reports {
		counts[t.record(r.Target, r.Figures, now.Add(-max(r.Age, 0)), now, false)]++
	}
	t.mu.Unlock()
	for result, n := range counts {
		t.opts.OnResult(result, n)
	}
}

// Expected returns how long a call is expected to take at a target relative to a free target
// at the usual speed, and whether this is known.
func (t *Tracker) Expected(target uint64, now time.Time) (float64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.known(target, now)
	if known == nil {
		return 0, false
	}
	f := known.figures
	weight := math.Exp2(-float64(max(now.Sub(known.at), 0)) / float64(t.opts.HalfLife))
	ahead := max(f.Running+f.Waiting+len(known.sent)+1-f.Slots, 0)
	return (1 + weight*(f.Slowdown-1)) * (1 + weight*float64(ahead)/float64(f.Slots)), true
}

// Known returns the figures of the targets of which something is known, and their ages.
func (t *Tracker) Known(now time.Time) map[uint64]Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[uint64]Report)
	for hash := range t.targets {
		if known := t.known(hash, now); known != nil {
			out[hash] = Report{hash, known.figures, max(now.Sub(known.at), 0)}
		}
	}
	return out
}

// known returns a target whose figures are not too old, or nil. The lock must be held.
func (t *Tracker) known(target uint64, now time.Time) *target {
	known := t.targets[target]
	if known == nil || now.Sub(known.at) > maxAge {
		return nil
	}
	return known
}

// record keeps figures if they are plausible and newer than the known ones. The lock must be
// held.
func (t *Tracker) record(hash uint64, f Figures, at, now time.Time, own bool) Result {
	if !f.arePlausible() {
		return Invalid
	}
	if now.Sub(at) > maxAge {
		return Outdated
	}
	known := t.targets[hash]
	if known == nil {
		if len(t.targets) >= maxTargets {
			return Invalid
		}
		known = new(target)
		t.targets[hash] = known
	} else if !own && !at.After(known.at) {
		return Outdated
	}
	known.figures, known.at, known.unreported = f, at, own
	known.sent = slices.DeleteFunc(known.sent, func(sent time.Time) bool { return !sent.After(at) })
	if own {
		return Observed
	}
	return Merged
}

func (f Figures) arePlausible() bool {
	return f.Running >= 0 && f.Running <= maxCalls && f.Waiting >= 0 && f.Waiting <= maxCalls &&
		f.Slots > 0 && f.Slots <= maxCalls && f.Slowdown >= minSlowdown && f.Slowdown <= maxSlowdown
}
