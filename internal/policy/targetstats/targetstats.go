// Package targetstats tracks the calls that a router and its peers have in flight
// at each target and how many of them fail, and ejects targets that fail more
// often than the others or accept no connection. Callers pass the current time
// to every function that needs it.
package targetstats

import (
	"math"
	"sync"
	"time"
)

const (
	// minEjection is the first time for which an unreachable target gets no new
	// calls. Each further ejection within ejectionReset doubles it, up to
	// maxEjection.
	minEjection = time.Second
	maxEjection = 4 * time.Second
	// ejectionReset is the time since the last ejection after which the next
	// one starts at minEjection again.
	ejectionReset = 8 * time.Second
	// failureHalfLife is the age at which a result counts half.
	failureHalfLife = 2 * time.Second
	// outlierFailures and outlierRate are the minimum number and share of
	// failures, over all routers, at which a target is ejected: a single
	// failure is not enough evidence.
	outlierFailures = 1.5
	outlierRate     = 0.25
	// outlierFactor is the multiple of the other targets' failure rate that a
	// target must reach to be ejected: failures that all targets return are not
	// caused by one target.
	outlierFactor = 2.5
	// peerReportTTL is the age beyond which another router's report is
	// discarded.
	peerReportTTL = 1500 * time.Millisecond
	// maxPeerUnreachableShare is the share of unreachable targets beyond which the
	// reporting router itself is assumed to be cut off.
	maxPeerUnreachableShare = 0.4
	// largeFleet is the number of other routers from which minReporters of them must find a
	// target unreachable for this router to believe it. In a large fleet some router's link is
	// always full or cut, while a target that is down is soon found so by several.
	largeFleet   = 20
	minReporters = 2
	// activityWindow is how long data received from a target outweighs other
	// routers' reports that it is unreachable.
	activityWindow = 300 * time.Millisecond
	// minReportedFailures is the decayed failure count below which an idle
	// target is left out of the report to other routers.
	minReportedFailures = 0.1
	// minReportedPaces is the same for the decayed count of measured paces: those of the
	// last second are reported.
	minReportedPaces = 0.7
)

type (
	// Tracker tracks all targets of a router. It is safe for concurrent use.
	Tracker struct {
		// onChange is called when failures eject a target and when they no
		// longer do.
		onChange func(Change)

		mu      sync.Mutex
		targets map[uint64]*entry
		peers   map[string]*peerReport
	}

	// Load is what one router has in flight at a target and the results that it
	// has seen.
	Load struct {
		Target uint64
		Calls  int
		// PendingTokens is the number of prompt tokens that the target has still to
		// prefill.
		PendingTokens int
		// Results and Failures are counts that decay with failureHalfLife.
		Results  float64
		Failures float64
		// PaceSum and PaceCount are the decayed sum and count of the paces that
		// RecordPace has been given.
		PaceSum   float64
		PaceCount float64
		// Unreachable is set when the target accepts no connection from the router.
		Unreachable bool
	}

	// Summary is the state of a target over all routers.
	Summary struct {
		// Calls in flight and prompt tokens still to prefill, summed over all routers.
		Calls         int `json:"calls"`
		PendingTokens int `json:"unread-tokens"`
		// Ejected targets should get no new calls.
		Ejected bool `json:"aside"`
		// Slowness is how much longer the target takes than usual in its service, at
		// least 1.
		Slowness float64 `json:"slowness"`
	}

	// Change says that a target's failures have ejected it, or no longer do.
	Change struct {
		Target   uint64
		Ejected  bool
		Results  float64
		Failures float64
		// OthersFailureRate is the failure rate of the other targets.
		OthersFailureRate float64
	}

	// Call tracks one call in flight.
	Call struct {
		tracker       *Tracker
		target        uint64
		pendingTokens int
		active        bool
		ended         bool
	}

	entry struct {
		calls         int
		pendingTokens int
		lastActivity  time.Time
		results       float64
		failures      float64
		paceSum       float64
		paceCount     float64
		resultsAt     time.Time
		ejectedUntil  time.Time
		ejectedFor    time.Duration
		ejectedAt     time.Time
		outlier       bool
		// peers is the sum of the other routers' reports.
		peers peerSums
	}
)

// NewTracker returns an empty tracker. It calls onChange, without holding a lock,
// when failures eject a target or no longer do.
func NewTracker(onChange func(Change)) *Tracker {
	return &Tracker{onChange: onChange, targets: make(map[uint64]*entry), peers: make(map[string]*peerReport)}
}

// Begin counts a call to a target. The caller must call End on the result.
func (tr *Tracker) Begin(target uint64, pendingTokens int, now time.Time) *Call {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.entry(target)
	if e.calls == 0 {
		e.lastActivity = now
	}
	e.calls++
	e.pendingTokens += pendingTokens
	return &Call{tracker: tr, target: target, pendingTokens: pendingTokens}
}

// Progress records that data has been received from the target. The first data of a
// call means that its prompt has been prefilled.
func (c *Call) Progress(now time.Time) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	e := c.tracker.entry(c.target)
	e.lastActivity = now
	e.pendingTokens -= c.pendingTokens
	c.pendingTokens = 0
	c.active = true
}

// Overdue counts a failure of the target if the call is in flight and has
// received no data.
func (c *Call) Overdue(now time.Time) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.active || c.ended {
		return
	}
	c.tracker.entry(c.target).count(now, 1)
}

// End removes the call from the target's counts. It may be called more than
// once.
func (c *Call) End() {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	e := c.tracker.entry(c.target)
	e.calls--
	e.pendingTokens -= c.pendingTokens
}

// RecordSuccess counts a successful response of a target.
func (tr *Tracker) RecordSuccess(target uint64, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.entry(target)
	e.count(now, 0)
	e.lastActivity = now
}

// RecordFailure counts a failure of a target.
func (tr *Tracker) RecordFailure(target uint64, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.entry(target).count(now, 1)
}

// RecordUnreachable ejects a target to which no connection could be made.
func (tr *Tracker) RecordUnreachable(target uint64, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.entry(target).eject(now)
}

// SilentFor returns the time since data was last received from a target with calls
// in flight; it is 0 for an idle target.
func (tr *Tracker) SilentFor(target uint64, now time.Time) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.targets[target]
	if e == nil || e.calls == 0 {
		return 0
	}
	return now.Sub(e.lastActivity)
}

// ResetSilence makes SilentFor count from now on for every target, for use after
// the process itself was suspended.
func (tr *Tracker) ResetSilence(now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, e := range tr.targets {
		e.lastActivity = now
	}
}

// Summaries returns the state of the given targets, which are those of one
// service, in their order.
func (tr *Tracker) Summaries(targets []uint64, now time.Time) []Summary {
	tr.mu.Lock()
	tr.expireReports(now)
	out := make([]Summary, len(targets))
	results := make([]float64, len(targets))
	failures := make([]float64, len(targets))
	paces := make([]pace, len(targets))
	reporters := 1
	if len(tr.peers) >= largeFleet {
		reporters = minReporters
	}
	for i, t := range targets {
		e := tr.targets[t]
		if e == nil {
			continue
		}
		e.decay(now)
		e.peers.decay(now)
		out[i] = Summary{
			Calls: e.calls + e.peers.calls, PendingTokens: e.pendingTokens + e.peers.pendingTokens,
			Ejected: now.Before(e.ejectedUntil) || (e.peers.unreachable >= reporters && !tr.recentlyActive(t, now)),
		}
		results[i], failures[i] = e.results+e.peers.results, e.failures+e.peers.failures
		paces[i] = pace{e.paceSum + e.peers.paceSum, e.paceCount + e.peers.paceCount}
	}
	setSlowness(out, paces)
	changes := tr.detectOutliers(targets, out, results, failures)
	tr.mu.Unlock()
	for _, c := range changes {
		tr.onChange(c)
	}
	return out
}

// recentlyActive reports whether this router has received data from a target
// within activityWindow. Other routers' reports that it is unreachable are then
// ignored.
func (tr *Tracker) recentlyActive(target uint64, now time.Time) bool {
	e := tr.targets[target]
	return e != nil && now.Sub(e.lastActivity) < activityWindow
}

// detectOutliers ejects the targets that fail more often than the others and
// returns what changed. The lock must be held.
func (tr *Tracker) detectOutliers(targets []uint64, out []Summary, results, failures []float64) []Change {
	var allResults, allFailures float64
	for i := range targets {
		allResults += results[i]
		allFailures += failures[i]
	}
	var changes []Change
	for i, t := range targets {
		othersRate := 0.0
		if others := allResults - results[i]; others > 0 {
			othersRate = (allFailures - failures[i]) / others
		}
		outlier := failures[i] >= outlierFailures && failures[i] >= results[i]*max(outlierRate, outlierFactor*othersRate)
		out[i].Ejected = out[i].Ejected || outlier
		e := tr.targets[t]
		if e == nil || e.outlier == outlier {
			continue
		}
		e.outlier = outlier
		changes = append(changes, Change{
			Target: t, Ejected: outlier, Results: results[i], Failures: failures[i], OthersFailureRate: othersRate,
		})
	}
	return changes
}

// Prune removes the targets that are not listed and have no calls in flight at any
// router.
func (tr *Tracker) Prune(listed map[uint64]bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for t, e := range tr.targets {
		if !listed[t] && e.calls == 0 && e.peers.reports == 0 {
			delete(tr.targets, t)
		}
	}
}

func (tr *Tracker) entry(target uint64) *entry {
	e := tr.targets[target]
	if e == nil {
		e = new(entry)
		tr.targets[target] = e
	}
	return e
}

// count adds a result; failures is 1 for a failure and 0 for a success.
func (e *entry) count(now time.Time, failures float64) {
	e.decay(now)
	e.results++
	e.failures += failures
}

func (e *entry) decay(now time.Time) {
	if since := now.Sub(e.resultsAt); since > 0 {
		f := decayFactor(since)
		e.results *= f
		e.failures *= f
		e.paceSum *= f
		e.paceCount *= f
		e.resultsAt = now
	}
}

// decayFactor returns the weight of a result of the given age.
func decayFactor(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(failureHalfLife))
}

func (e *entry) eject(now time.Time) {
	if now.Before(e.ejectedUntil) {
		return
	}
	if e.ejectedFor == 0 || now.Sub(e.ejectedAt) > ejectionReset {
		e.ejectedFor = minEjection
	} else {
		e.ejectedFor = min(2*e.ejectedFor, maxEjection)
	}
	e.ejectedAt = now
	e.ejectedUntil = now.Add(e.ejectedFor)
}
