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
	// failuresAside and failureShare set a target aside that fails often: a
	// single failure among many answers says little.
	failuresAside = 1.6
	failureShare  = 0.25
	// outlierFactor is how many times the service's own share of failures a
	// target must exceed: errors that all targets give are the callers'.
	outlierFactor = 2.5
	// peerAge is the age at which another router's loads are no longer counted.
	peerAge = 1500 * time.Millisecond
	// peerAsideShare is the share of targets beyond which a router that sets
	// them aside is taken to have trouble of its own.
	peerAsideShare = 0.4
)

type (
	// Book holds the standing of all targets of a router.
	Book struct {
		mu      sync.Mutex
		targets map[uint64]*entry
		peers   map[string]peerReport
	}

	// Load is what one router has in flight at a target.
	Load struct {
		Target uint64
		Calls  int
		// Unread is the number of prompt tokens that the target has still to read.
		Unread int
		// Aside targets get no new calls from the router.
		Aside bool
	}

	// Summary is what is known of a target for one decision.
	Summary struct {
		// Calls and Unread are over all routers.
		Calls  int
		Unread int
		// Aside targets should get no new calls.
		Aside bool
	}

	// Ticket is one call in flight.
	Ticket struct {
		book   *Book
		target uint64
		unread int
		ended  bool
	}

	entry struct {
		calls  int
		unread int
		// waiting is the number of calls from which nothing has come yet.
		lastSign   time.Time
		results    float64
		failures   float64
		resultsAt  time.Time
		asideUntil time.Time
		asideFor   time.Duration
		failedAt   time.Time
	}

	peerReport struct {
		at    time.Time
		loads map[uint64]Load
		// cut is set when the router sets too many targets aside.
		cut bool
	}
)

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{targets: make(map[uint64]*entry), peers: make(map[string]peerReport)}
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
	e.decay(now)
	e.results++
	e.lastSign = now
}

// Failed counts a failure of a target among the others of its service, and
// reports whether the target is set aside for it.
func (b *Book) Failed(target uint64, service []uint64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(target)
	e.decay(now)
	e.results++
	e.failures++
	var results, failures float64
	for _, t := range service {
		if o := b.targets[t]; o != nil && t != target {
			o.decay(now)
			results += o.results
			failures += o.failures
		}
	}
	common := 0.0
	if results > 0 {
		common = failures / results
	}
	share := e.failures / e.results
	if e.failures < failuresAside || share < failureShare || share < outlierFactor*common {
		return false
	}
	e.setAside(now)
	return true
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

// Summaries returns what is known of targets, in their order.
func (b *Book) Summaries(targets []uint64, now time.Time) []Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Summary, len(targets))
	for i, t := range targets {
		if e := b.targets[t]; e != nil {
			out[i] = Summary{Calls: e.calls, Unread: e.unread, Aside: now.Before(e.asideUntil)}
		}
	}
	for name, p := range b.peers {
		if now.Sub(p.at) > peerAge {
			delete(b.peers, name)
			continue
		}
		for i, t := range targets {
			l, ok := p.loads[t]
			if !ok {
				continue
			}
			out[i].Calls += l.Calls
			out[i].Unread += l.Unread
			out[i].Aside = out[i].Aside || (l.Aside && !p.cut)
		}
	}
	return out
}

// Loads returns this router's own loads, for the others.
func (b *Book) Loads(now time.Time) []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make([]Load, 0, len(b.targets))
	for t, e := range b.targets {
		aside := now.Before(e.asideUntil)
		if e.calls == 0 && !aside {
			continue
		}
		loads = append(loads, Load{Target: t, Calls: e.calls, Unread: e.unread, Aside: aside})
	}
	return loads
}

// Report takes in another router's loads out of a number of targets.
func (b *Book) Report(router string, loads []Load, targets int, now time.Time) {
	p := peerReport{at: now, loads: make(map[uint64]Load, len(loads))}
	aside := 0
	for _, l := range loads {
		p.loads[l.Target] = l
		if l.Aside {
			aside++
		}
	}
	p.cut = float64(aside) > peerAsideShare*float64(targets)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[router] = p
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
	e.failures, e.results = 0, 0
}
