// Package oracle checks the invariants of a soak test from the events that
// callers and targets record.
package oracle

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Invariants, each described by its violation.
const (
	DuplicateRun          Invariant = "an at-most-once call ran more than once"
	TooManyTargets        Invariant = "a call ran on more targets than its route allows"
	RetryBudget           Invariant = "the fleet retried more calls than its retry budget allows"
	RefusedButRan         Invariant = "a call that was rejected as not run has run"
	WrongResponse         Invariant = "a response is incomplete or belongs to another call"
	CallToDrainingTarget  Invariant = "a draining target received a new call"
	ConfigurationLate     Invariant = "a configuration was not in force in time"
	ConfigurationReverted Invariant = "a router reverted to an older configuration"
	CallToEvacuatedTarget Invariant = "a target of an evacuated failure domain received a call"
	InterruptedEvacuated  Invariant = "an evacuation interrupted a call in progress"
	InterruptedByStop     Invariant = "a planned stop interrupted a call"
	WorkAfterDisconnect   Invariant = "a target kept working for a caller that has disconnected"
	TooManyToCold         Invariant = "a cold target received more calls than it can take"
	NotServedAfterCrowd   Invariant = "too few calls were served after a crowd had gone"
	TooFewServed          Invariant = "too few calls were served without faults"
	ProcessFailure        Invariant = "a process failed"
	// HarnessFailure is not an invariant of the product: the soak test itself failed.
	HarnessFailure Invariant = "the soak test could not execute a step"
)

const (
	// maxExamples is how many violations of each invariant are kept with details.
	maxExamples = 5
	// retryWindow, retryRatio and retrySlack are the fleet's retry budget, the same
	// as in the settings of the soak test's routers.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 50
)

// SettleTime is how long the fleet must have been without faults before timing
// invariants apply.
const SettleTime = 3 * time.Second

type (
	// Invariant is a property that must hold, described by its violation.
	Invariant string

	// Violation is one violation of an invariant.
	Violation struct {
		Invariant Invariant
		At        time.Duration
		Detail    string
	}

	// Recorder collects the events of callers and targets and checks the
	// invariants; calls are identified by id.
	Recorder struct {
		start time.Time

		mu       sync.Mutex
		runs     map[string]int
		arrivals map[string]int
		work     map[string]*work
		// sent holds the times at which callers sent calls in the last two retry windows;
		// retries holds the times of arrivals after the first of each call, in the last
		// window.
		sent       []time.Time
		retries    []time.Time
		refused    map[string]string
		counts     map[Invariant]int
		violations []Violation
		outcomes   map[string]int
		// disconnected holds the time at which callers disconnected, by call.
		disconnected map[string]time.Time
		// activeFaults counts the faults that have not ended; lastFaultEnd is when the
		// latest one ended.
		activeFaults int
		lastFaultEnd time.Time
		// domains holds the failure domains of targets.
		domains map[string]string
		// evacuated holds the time since which each evacuated failure domain is, and
		// evacuatedLast the start of the latest evacuation of each.
		evacuated, evacuatedLast map[string]time.Time
	}
)

// New returns an empty recorder.
func New() *Recorder {
	now := time.Now()
	return &Recorder{
		start: now, lastFaultEnd: now, runs: make(map[string]int), arrivals: make(map[string]int),
		refused: make(map[string]string), counts: make(map[Invariant]int), outcomes: make(map[string]int),
		disconnected: make(map[string]time.Time), work: make(map[string]*work),
		domains: make(map[string]string), evacuated: make(map[string]time.Time), evacuatedLast: make(map[string]time.Time),
	}
}

// BeginFault records the start of a fault; the returned function records its end.
func (r *Recorder) BeginFault() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFaults++
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.activeFaults--
		r.lastFaultEnd = time.Now()
	})
}

// FaultFreeFor returns how long there has been no active fault, or 0 while there is one.
func (r *Recorder) FaultFreeFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeFaults > 0 {
		return 0
	}
	return time.Since(r.lastFaultEnd)
}

// RecordSent records that a caller sends a call.
func (r *Recorder) RecordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.sent = append(notBefore(r.sent, now.Add(-2*retryWindow)), now)
}

// RecordArrival records that a call has reached a target, whether or not it runs there.
func (r *Recorder) RecordArrival(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[call]++
	if r.arrivals[call] == 1 {
		return
	}
	now := time.Now()
	r.retries = append(notBefore(r.retries, now.Add(-retryWindow)), now)
	recent := len(notBefore(r.sent, now.Add(-retryWindow)))
	// The budget is based on the current window or the previous one, whichever has more calls.
	calls := max(recent, len(r.sent)-recent)
	if limit := retryRatio*float64(calls) + retrySlack; float64(len(r.retries)) > limit {
		r.recordLocked(RetryBudget, "%d retries in %v with %d calls", len(r.retries), retryWindow, calls)
	}
}

func notBefore(times []time.Time, from time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	return times[i:]
}

// SettledFor reports whether the fleet has been without faults for the window
// and for SettleTime before it.
func (r *Recorder) SettledFor(window time.Duration) bool { return r.FaultFreeFor() > window+SettleTime }

// RecordRun records that a target began to run a call that may run at most
// maxRuns times.
func (r *Recorder) RecordRun(call string, maxRuns int, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[call]++
	r.work[call] = &work{target: target, began: time.Now()}
	atMostOnce := maxRuns == 1
	switch {
	case r.runs[call] > maxRuns && atMostOnce:
		r.recordLocked(DuplicateRun, "call %s, most recently at %s", call, target)
	case r.runs[call] > maxRuns:
		r.recordLocked(TooManyTargets, "call %s ran %d times, most recently at %s", call, r.runs[call], target)
	}
	if status, ok := r.refused[call]; ok && atMostOnce {
		r.recordLocked(RefusedButRan, "call %s was answered %s and ran at %s later", call, status, target)
	}
}

// RunCount returns how many times a call has run.
func (r *Recorder) RunCount(call string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[call]
}

// RecordRefusal records the status with which a router reported that an
// at-most-once call has not run.
func (r *Recorder) RecordRefusal(call, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[call] = status
	if r.runs[call] > 0 {
		r.recordLocked(RefusedButRan, "call %s was answered %s after it had run", call, status)
	}
}

// RecordDisconnect records that a caller has disconnected before its call ended.
func (r *Recorder) RecordDisconnect(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected[call] = time.Now()
}

// DisconnectedFor returns how long ago a call's caller disconnected; false when it did not.
func (r *Recorder) DisconnectedFor(call string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.disconnected[call]
	return time.Since(at), ok
}

// RecordOutcome counts the outcome of a call.
func (r *Recorder) RecordOutcome(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}

// Outcomes returns the number of calls by outcome.
func (r *Recorder) Outcomes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.outcomes))
	for k, v := range r.outcomes {
		out[k] = v
	}
	return out
}

// RecordViolation records a violation of an invariant.
func (r *Recorder) RecordViolation(invariant Invariant, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLocked(invariant, format, args...)
}

// Violations returns the first violations of each invariant, and the number of
// violations by invariant.
func (r *Recorder) Violations() ([]Violation, map[Invariant]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.violations...), r.counts
}

func (r *Recorder) recordLocked(invariant Invariant, format string, args ...any) {
	r.counts[invariant]++
	if r.counts[invariant] <= maxExamples {
		r.violations = append(r.violations, Violation{Invariant: invariant, At: time.Since(r.start), Detail: fmt.Sprintf(format, args...)})
	}
}
