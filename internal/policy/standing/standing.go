// Package standing keeps what a router knows of its targets: the calls that it
// and the other routers have in flight there, and whether they answer. It has
// no clock of its own.
package standing

import (
	"math"
	"sync"
	"time"
)

const (
	// asideFirst is the first time for which a target gets no new calls; each
	// further time in short order doubles it up to asideMost.
	asideFirst = time.Second
	asideMost  = 4 * time.Second
	// forgiveAfter is the time without a failure after which doubling starts anew.
	forgiveAfter = 8 * time.Second
	// failureHalfLife is the age at which a result counts half.
	failureHalfLife = 2 * time.Second
	// outlierFailures and outlierShare are what a target's failures must exceed,
	// over all routers, before it is set aside: a single failure says little.
	outlierFailures = 1.5
	outlierShare    = 0.25
	// outlierFactor is how many times the others' share of failures a target
	// must exceed: failures that all targets give are not the target's.
	outlierFactor = 2.5
	// peerAge is the age at which another router's loads are no longer counted.
	peerAge = 1500 * time.Millisecond
	// peerAsideShare is the share of targets beyond which a router that sets
	// them aside is taken to have trouble of its own.
	peerAsideShare = 0.4
	// answersFor is how long a sign of a target outweighs what others cannot reach.
	answersFor = 300 * time.Millisecond
	// negligible failures are not told to the others.
	negligible = 0.1
)

type (
	// Book holds the standing of all targets of a router.
	Book struct {
		// changed is told when a target's failures set it aside, and of its return.
		changed func(Change)

		mu      sync.Mutex
		targets map[uint64]*entry
		peers   map[string]peerReport
	}

	// Load is what one router has in flight at a target and has seen of it.
	Load struct {
		Target uint64
		Calls  int
		// Unread is the number of prompt tokens that the target has still to read.
		Unread int
		// Results and Failures are decayed counts.
		Results  float64
		Failures float64
		// Unreachable targets accept no connection from the router.
		Unreachable bool
	}

	// Summary is what is known of a target for one decision.
	Summary struct {
		// Calls and Unread are over all routers.
		Calls  int `json:"calls"`
		Unread int `json:"unread-tokens"`
		// Aside targets should get no new calls.
		Aside bool `json:"aside"`
	}

	// Change says that a target's failures set it aside, or no longer do.
	Change struct {
		Target   uint64
		Aside    bool
		Results  float64
		Failures float64
		// Common is the share of failures of the other targets.
		Common float64
	}

	// Ticket is one call in flight.
	Ticket struct {
		book   *Book
		target uint64
		unread int
		signed bool
		ended  bool
	}

	entry struct {
		calls      int
		unread     int
		lastSign   time.Time
		results    float64
		failures   float64
		resultsAt  time.Time
		asideUntil time.Time
		asideFor   time.Duration
		failedAt   time.Time
		outlier    bool
	}

	peerReport struct {
		at    time.Time
		loads map[uint64]Load
		// expected holds prompt tokens that have been announced since the report.
		expected map[uint64]int
		// cut is set when the router sets too many targets aside.
		cut bool
	}
)

// NewBook returns an empty book that tells changed when failures set a target
// aside or no longer do.
func NewBook(changed func(Change)) *Book {
	return &Book{changed: changed, targets: make(map[uint64]*entry), peers: make(map[string]peerReport)}
}

// Begin counts a call to a target; its ticket must be ended.
func (b *Book) Begin(target uint64, unread int, now time.Time) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(target)
	if e.calls == 0 {
		e.lastSign = now
	}
	e.calls++
	e.unread += unread
	return &Ticket{book: b, target: target, unread: unread}
}

// Sign notes that something came from the target; the first sign of a call
// means that its prompt has been read.
func (t *Ticket) Sign(now time.Time) {
	t.book.mu.Lock()
	defer t.book.mu.Unlock()
	e := t.book.entry(t.target)
	e.lastSign = now
	e.unread -= t.unread
	t.unread = 0
	t.signed = true
}

// Overdue counts a failure of the target when nothing has come from the call yet.
func (t *Ticket) Overdue(now time.Time) {
	t.book.mu.Lock()
	defer t.book.mu.Unlock()
	if t.signed || t.ended {
		return
	}
	t.book.entry(t.target).count(now, 1)
}

// End counts the call's end.
func (t *Ticket) End() {
	t.book.mu.Lock()
	defer t.book.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	e := t.book.entry(t.target)
	e.calls--
	e.unread -= t.unread
}

// Succeeded counts an answer of a target.
func (b *Book) Succeeded(target uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(target)
	e.count(now, 0)
	e.lastSign = now
}

// Failed counts a failure of a target.
func (b *Book) Failed(target uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(target).count(now, 1)
}

// Unreachable sets a target aside to which no connection could be made.
func (b *Book) Unreachable(target uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(target).setAside(now)
}

// Silent reports how long nothing has come from a target that has calls in flight.
func (b *Book) Silent(target uint64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.targets[target]
	if e == nil || e.calls == 0 {
		return 0
	}
	return now.Sub(e.lastSign)
}

// Awake starts all silences anew, after the process itself did not run.
func (b *Book) Awake(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.targets {
		e.lastSign = now
	}
}

// Summaries returns what is known of the targets of a service, in their order.
func (b *Book) Summaries(targets []uint64, now time.Time) []Summary {
	b.mu.Lock()
	out := make([]Summary, len(targets))
	results := make([]float64, len(targets))
	failures := make([]float64, len(targets))
	for i, t := range targets {
		if e := b.targets[t]; e != nil {
			e.decay(now)
			out[i] = Summary{Calls: e.calls, Unread: e.unread, Aside: now.Before(e.asideUntil)}
			results[i], failures[i] = e.results, e.failures
		}
	}
	for name, p := range b.peers {
		age := now.Sub(p.at)
		if age > peerAge {
			delete(b.peers, name)
			continue
		}
		fresh := math.Exp2(-float64(age) / float64(failureHalfLife))
		for i, t := range targets {
			out[i].Unread += p.expected[t]
			l, ok := p.loads[t]
			if !ok {
				continue
			}
			out[i].Calls += l.Calls
			out[i].Unread += l.Unread
			results[i] += fresh * l.Results
			failures[i] += fresh * l.Failures
			if l.Unreachable && !p.cut && !b.answers(t, now) {
				out[i].Aside = true
			}
		}
	}
	changes := b.outliers(targets, out, results, failures)
	b.mu.Unlock()
	for _, c := range changes {
		b.changed(c)
	}
	return out
}

// answers reports whether a target has lately given a sign to this router,
// which then does not go by what others cannot reach.
func (b *Book) answers(target uint64, now time.Time) bool {
	e := b.targets[target]
	return e != nil && now.Sub(e.lastSign) < answersFor
}

// outliers sets the targets aside that fail more often than the others.
func (b *Book) outliers(targets []uint64, out []Summary, results, failures []float64) []Change {
	var allResults, allFailures float64
	for i := range targets {
		allResults += results[i]
		allFailures += failures[i]
	}
	var changes []Change
	for i, t := range targets {
		common := 0.0
		if others := allResults - results[i]; others > 0 {
			common = (allFailures - failures[i]) / others
		}
		outlier := failures[i] >= outlierFailures && failures[i] >= results[i]*max(outlierShare, outlierFactor*common)
		out[i].Aside = out[i].Aside || outlier
		e := b.targets[t]
		if e == nil || e.outlier == outlier {
			continue
		}
		e.outlier = outlier
		changes = append(changes, Change{
			Target: t, Aside: outlier, Results: results[i], Failures: failures[i], Common: common,
		})
	}
	return changes
}

// Loads returns this router's own loads, for the others.
func (b *Book) Loads(now time.Time) []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make([]Load, 0, len(b.targets))
	for t, e := range b.targets {
		e.decay(now)
		l := Load{
			Target: t, Calls: e.calls, Unread: e.unread, Results: e.results, Failures: e.failures,
			Unreachable: now.Before(e.asideUntil),
		}
		if l.Calls == 0 && l.Failures < negligible && !l.Unreachable {
			continue
		}
		loads = append(loads, l)
	}
	return loads
}

// Report takes in another router's loads out of a number of targets.
func (b *Book) Report(router string, loads []Load, targets int, now time.Time) {
	p := peerReport{at: now, loads: make(map[uint64]Load, len(loads))}
	aside := 0
	for _, l := range loads {
		p.loads[l.Target] = l
		if l.Unreachable {
			aside++
		}
	}
	p.cut = float64(aside) > peerAsideShare*float64(targets)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[router] = p
}

// Expect adds prompt tokens that another router has just sent to a target; its
// next report counts them itself.
func (b *Book) Expect(router string, target uint64, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[router]
	if !ok {
		return
	}
	if p.expected == nil {
		p.expected = make(map[uint64]int)
		b.peers[router] = p
	}
	p.expected[target] += tokens
}

// Keep forgets the targets that are not listed and have no calls.
func (b *Book) Keep(listed map[uint64]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for t, e := range b.targets {
		if !listed[t] && e.calls == 0 {
			delete(b.targets, t)
		}
	}
}

func (b *Book) entry(target uint64) *entry {
	e := b.targets[target]
	if e == nil {
		e = new(entry)
		b.targets[target] = e
	}
	return e
}

// count adds a result that is a failure or not.
func (e *entry) count(now time.Time, failures float64) {
	e.decay(now)
	e.results++
	e.failures += failures
}

func (e *entry) decay(now time.Time) {
	if since := now.Sub(e.resultsAt); since > 0 {
		f := math.Exp2(-float64(since) / float64(failureHalfLife))
		e.results *= f
		e.failures *= f
		e.resultsAt = now
	}
}

func (e *entry) setAside(now time.Time) {
	if now.Before(e.asideUntil) {
		return
	}
	if e.asideFor == 0 || now.Sub(e.failedAt) > forgiveAfter {
		e.asideFor = asideFirst
	} else {
		e.asideFor = min(2*e.asideFor, asideMost)
	}
	e.failedAt = now
	e.asideUntil = now.Add(e.asideFor)
}
