// Package oracle judges a soak by what callers and targets saw.
package oracle

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// What must hold.
const (
	Twice    Promise = "a call that runs once ran more than once"
	Attempts Promise = "a call ran at more targets than its route allows"
	Budget   Promise = "the fleet repeated more calls than its budget allows"
	Refused  Promise = "a call that was refused as not run has run"
	Mixed    Promise = "an answer is not the call's own or not whole"
	Leaving  Promise = "a leaving target got a new call"
	Applied  Promise = "a configuration is not in force in time"
	Reverted Promise = "a router went back to an older configuration"
	Cut      Promise = "a planned stop cut a call"
	Gone     Promise = "a target works on for a caller that has left"
	Served   Promise = "calm routers do not serve"
	Ended    Promise = "a process failed"
	// Stuck is no promise of the product: the soak itself could not go on.
	Stuck Promise = "the soak could not carry out a step"
)

const (
	// kept is how many examples of each broken promise are kept.
	kept = 5
	// budgetWindow, budgetShare and budgetSlack bound the repeats of the fleet as
	// the settings of the soak's routers say.
	budgetWindow = 10 * time.Second
	budgetShare  = 0.2
	budgetSlack  = 50
)

// Contact is how long the fleet must have been calm for bounds in time to hold.
const Contact = 3 * time.Second

type (
	// Promise is what must hold.
	Promise string

	// Break is one broken promise.
	Break struct {
		Promise Promise
		At      time.Duration
		Detail  string
	}

	// Book collects what callers and targets saw; calls are by id.
	Book struct {
		start time.Time

		mu       sync.Mutex
		runs     map[string]int
		arrivals map[string]int
		// sent and repeats are the times of callers' calls and of arrivals beyond
		// the first of each call, in two windows.
		sent     []time.Time
		repeats  []time.Time
		refused  map[string]string
		counts   map[Promise]int
		breaks   []Break
		outcomes map[string]int
		// left holds when callers have left their calls.
		left map[string]time.Time
		// busy counts the faults that have not ended, calmFrom is when the last one did.
		busy     int
		calmFrom time.Time
	}
)

// New returns an empty book.
func New() *Book {
	now := time.Now()
	return &Book{
		start: now, calmFrom: now, runs: make(map[string]int), arrivals: make(map[string]int),
		refused: make(map[string]string), counts: make(map[Promise]int), outcomes: make(map[string]int),
		left: make(map[string]time.Time),
	}
}

// Trouble says that a fault begins; the returned function says that it ends.
func (b *Book) Trouble() func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy++
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.busy--
		b.calmFrom = time.Now()
	})
}

// Calm returns for how long there has been no fault.
func (b *Book) Calm() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy > 0 {
		return 0
	}
	return time.Since(b.calmFrom)
}

// Sent notes that a caller sends a call.
func (b *Book) Sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.sent = append(since(b.sent, now.Add(-2*budgetWindow)), now)
}

// Arrived notes that a call has reached a target, run there or not.
func (b *Book) Arrived(call string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals[call]++
	if b.arrivals[call] == 1 {
		return
	}
	now := time.Now()
	b.repeats = append(since(b.repeats, now.Add(-budgetWindow)), now)
	last := len(since(b.sent, now.Add(-budgetWindow)))
	// The window that counts is this one or the one before, whichever has more calls.
	calls := max(last, len(b.sent)-last)
	if most := budgetShare*float64(calls) + budgetSlack; float64(len(b.repeats)) > most {
		b.broken(Budget, "%d repeats in %v beside %d calls", len(b.repeats), budgetWindow, calls)
	}
}

func since(times []time.Time, from time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	return times[i:]
}

// InTouch reports whether the fleet has been calm for a time and in touch before it.
func (b *Book) InTouch(through time.Duration) bool { return b.Calm() > through+Contact }

// Ran notes that a target began to work on a call that may run at some targets.
func (b *Book) Ran(call string, most int, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[call]++
	once := most == 1
	switch {
	case b.runs[call] > most && once:
		b.broken(Twice, "call %s, the last time at %s", call, target)
	case b.runs[call] > most:
		b.broken(Attempts, "call %s ran %d times, the last time at %s", call, b.runs[call], target)
	}
	if status, ok := b.refused[call]; ok && once {
		b.broken(Refused, "call %s was answered %s and runs at %s later", call, status, target)
	}
}

// Runs returns how often a call has run.
func (b *Book) Runs(call string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[call]
}

// Refused notes the status by which a router promised that a call that runs once has not run.
func (b *Book) Refused(call, status string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[call] = status
	if b.runs[call] > 0 {
		b.broken(Refused, "call %s was answered %s after it had run", call, status)
	}
}

// Left notes that a caller has left its call.
func (b *Book) Left(call string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[call] = time.Now()
}

// LeftFor returns how long ago a call's caller has left.
func (b *Book) LeftFor(call string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.left[call]
	return time.Since(at), ok
}

// Outcome counts how a call ended.
func (b *Book) Outcome(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[what]++
}

// Outcomes returns how calls ended.
func (b *Book) Outcomes() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.outcomes))
	for k, v := range b.outcomes {
		out[k] = v
	}
	return out
}

// Break notes a broken promise.
func (b *Book) Break(p Promise, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken(p, format, args...)
}

// Breaks returns the first examples of each broken promise, and how often each was broken.
func (b *Book) Breaks() ([]Break, map[Promise]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Break(nil), b.breaks...), b.counts
}

func (b *Book) broken(p Promise, format string, args ...any) {
	b.counts[p]++
	if b.counts[p] <= kept {
		b.breaks = append(b.breaks, Break{Promise: p, At: time.Since(b.start), Detail: fmt.Sprintf(format, args...)})
	}
}
