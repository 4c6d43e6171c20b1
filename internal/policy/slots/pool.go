package slots

import (
	"math"
	"slices"
	"time"

	"hickoryrock/internal/policy/rendezvous"
)

const (
	// maxLeases bounds the leases, also those of targets that have left, whose releases can
	// be lost.
	maxLeases = 8192
	// maxReplies bounds the replies that are kept for the next call that returns replies.
	// A client whose reply is dropped gets it when it repeats its request.
	maxReplies = 1024
	// nearlyEqual is the ratio of expected times up to which targets count as equal. Without
	// it, the one whose measured pace is lowest by chance gets all calls while there are few.
	nearlyEqual = 1.05
)

type (
	// Pool assigns the slots of one service. Its methods must be called with times that do
	// not decrease; an earlier time counts as the latest one. It is not safe for concurrent
	// use.
	Pool struct {
		opts Options
		// now is the latest time that the pool was given.
		now     time.Time
		targets map[uint64]*target
		// listed holds the service's targets in the order in which they were set.
		listed  []*target
		leases  map[Key]*lease
		waiting []*waiter
		// nextEnd is the earliest end of a lease, or earlier. Valid if there is one.
		nextEnd time.Time
		// sequence is the number of requests that have waited, grants that of all grants.
		sequence, grants uint64
		// overdueGrant is the number of the last grant to an overdue request, or zero.
		overdueGrant uint64
		// answersWithCalls is the number of answers since one that stated no calls.
		answersWithCalls int
		// ended holds the granted and cancelled requests that are over.
		ended   *memory[Key, struct{}]
		refused *memory[Key, Reply]
		// replies are those to other requests than the one of the call that caused them.
		replies []Reply
		usage   *usage
	}

	// lease is a granted request that is not released yet.
	lease struct {
		Key
		target    *target
		priority  int
		grantedAt time.Time
		deadline  time.Time
		// isLost is set if the release seems to be lost; the lease occupies no place then.
		isLost bool
	}
)

// NewPool returns a pool without targets.
func NewPool(opts ...Option) *Pool {
	o := newOptions(opts)
	return &Pool{
		opts: o, targets: make(map[uint64]*target), leases: make(map[Key]*lease),
		ended:   newMemory[Key, struct{}](o.Remembered),
		refused: newMemory[Key, Reply](o.Remembered),
		usage:   newUsage(),
	}
}

// SetTargets replaces the service's targets and returns the replies to requests that have
// waited. Leases of targets that are no longer listed remain.
func (p *Pool) SetTargets(targets []Target, now time.Time) []Reply {
	p.advance(now)
	for _, t := range p.listed {
		t.isListed = false
	}
	p.listed = p.listed[:0]
	for _, set := range targets {
		t := p.targets[set.Hash]
		if t == nil {
			t = &target{}
			p.targets[set.Hash] = t
		}
		if !t.isListed {
			p.listed = append(p.listed, t)
		}
		t.Target, t.isListed = set, true
	}
	p.dropUnused()
	p.dispatch()
	p.refuseHopeless()
	return p.takeReplies()
}

// Request grants, queues or refuses a request. It is granted if a target has room. A repeated
// request gets the same reply, but one whose lease has ended is refused. Replies to other
// requests that this one has caused are returned by the next call of another method.
func (p *Pool) Request(r Request, now time.Time) Reply {
	p.advance(now)
	if reply, ok := p.recall(r.Key); ok {
		return reply
	}
	r.Priority = max(r.Priority, 0)
	p.usage.recordRequest(r.Priority, p.now)
	if !r.Deadline.After(p.now) {
		return p.refuse(r.Key, minRetryAfter)
	}
	// After advance, no waiting request can use a free place, so this one overtakes none.
	if t := p.choose(&r); t != nil {
		return p.grant(&r, t)
	}
	p.sequence++
	w := newWaiter(r, p.sequence, p.now)
	if wait, ok := p.canServe(w); !ok {
		return p.refuse(r.Key, wait)
	}
	p.waiting = append(p.waiting, w)
	if len(p.waiting) > p.opts.Capacity {
		shed := p.toShed()
		p.removeWaiting(shed.Key)
		wait, _ := p.canServe(shed)
		reply := p.refuse(shed.Key, wait)
		if shed == w {
			return reply
		}
		p.reply(reply)
	}
	return Reply{Key: r.Key, Kind: Waiting}
}

// Cancel ends a request whose caller no longer wants it, granted or not, and returns the
// replies to requests that have waited.
func (p *Pool) Cancel(k Key, now time.Time) []Reply {
	p.advance(now)
	p.removeWaiting(k)
	if l := p.leases[k]; l != nil {
		p.endLease(l)
	}
	p.ended.add(k, struct{}{})
	p.dispatch()
	return p.takeReplies()
}

// Release ends the lease of a granted request and returns the replies to requests that have
// waited. A release of a request that has no lease only prevents that it gets one later.
func (p *Pool) Release(k Key, r Result, now time.Time) []Reply {
	p.advance(now)
	if l := p.leases[k]; l != nil {
		p.record(l, r)
		p.endLease(l)
		p.freeLost(l.target)
	}
	p.removeWaiting(k)
	p.ended.add(k, struct{}{})
	p.dispatch()
	return p.takeReplies()
}

// Expire ends the leases of calls whose deadline has passed and refuses the waiting requests
// that can no longer be served. It returns these refusals and the replies to requests that
// have waited. It must be called every few milliseconds while requests wait: places also become
// free as knowledge fades.
func (p *Pool) Expire(now time.Time) []Reply {
	p.advance(now)
	p.refuseHopeless()
	return p.takeReplies()
}

// recall returns the reply to a request that was received before.
func (p *Pool) recall(k Key) (Reply, bool) {
	if l := p.leases[k]; l != nil {
		return Reply{Key: k, Kind: Granted, Target: l.target.Hash}, true
	}
	if _, ok := p.ended.get(k); ok {
		return Reply{Key: k, Kind: Refused, RetryAfter: minRetryAfter}, true
	}
	if reply, ok := p.refused.get(k); ok {
		return reply, true
	}
	if p.indexWaiting(k) >= 0 {
		return Reply{Key: k, Kind: Waiting}, true
	}
	return Reply{}, false
}

// advance moves the pool to a time: leases and requests end at their deadline, and places that
// have become free are granted.
func (p *Pool) advance(now time.Time) {
	if now.After(p.now) {
		p.usage.recordTime(p.now, now, len(p.waiting) > 0)
		p.now = now
	}
	p.expireLeases()
	p.expireWaiting()
	p.dispatch()
}

// expireWaiting refuses the waiting requests whose deadline has passed.
func (p *Pool) expireWaiting() {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		isOver := !w.Deadline.After(p.now)
		if isOver {
			p.reply(p.refuse(w.Key, minRetryAfter))
		}
		return isOver
	})
}

func (p *Pool) expireLeases() {
	if len(p.leases) == 0 || p.now.Before(p.nextEnd) {
		return
	}
	first := true
	for k, l := range p.leases {
		if !l.deadline.After(p.now) {
			p.endLease(l)
			p.ended.add(k, struct{}{})
			continue
		}
		if first || l.deadline.Before(p.nextEnd) {
			p.nextEnd, first = l.deadline, false
		}
	}
	p.dropUnused()
}

// dispatch grants free places to waiting requests in their order.
func (p *Pool) dispatch() {
	for len(p.waiting) > 0 {
		w, t := p.next()
		if w == nil {
			return
		}
		p.removeWaiting(w.Key)
		p.reply(p.grant(&w.Request, t))
		if !p.now.Before(w.overdueAt) {
			p.overdueGrant = p.grants
		}
	}
}

// choose returns the target with room where a request is expected to take the shortest time, of
// nearly equal ones the one that was granted least recently, or nil. Those that were never granted
// are chosen by the request's key: after the loss of all routers there are many new pools.
func (p *Pool) choose(r *Request) *target {
	if len(p.leases) >= maxLeases {
		return nil
	}
	shortest := math.Inf(1)
	for _, t := range p.listed {
		t.expected = math.Inf(1)
		if t.hasRoom(p.now) && !slices.Contains(r.Excluded, t.Hash) {
			t.expected = t.expectedTime(p.now)
			shortest = min(shortest, t.expected)
		}
	}
	var best *target
	var bestRank uint64
	for _, t := range p.listed {
		if t.expected > shortest*nearlyEqual || math.IsInf(t.expected, 1) {
			continue
		}
		rank := rendezvous.Rank(r.Process^r.Serial, t.Hash)
		if best == nil || t.lastGrant < best.lastGrant || (t.lastGrant == best.lastGrant && rank > bestRank) {
			best, bestRank = t, rank
		}
	}
	return best
}

func (p *Pool) grant(r *Request, t *target) Reply {
	l := &lease{Key: r.Key, target: t, priority: r.Priority, grantedAt: p.now, deadline: r.Deadline}
	if len(p.leases) == 0 || l.deadline.Before(p.nextEnd) {
		p.nextEnd = l.deadline
	}
	p.leases[r.Key] = l
	t.held++
	p.grants++
	t.lastGrant = p.grants
	p.usage.recordGrant(r.Workspace, p.now)
	return Reply{Key: r.Key, Kind: Granted, Target: t.Hash}
}

// endLease frees the place of a lease.
func (p *Pool) endLease(l *lease) {
	delete(p.leases, l.Key)
	if l.isLost {
		l.target.lost--
		return
	}
	l.target.held--
	p.usage.recordRelease(len(p.waiting) > 0, p.now)
}

// record uses what the end of a call tells about its target.
func (p *Pool) record(l *lease, r Result) {
	t := l.target
	// A target that refuses or fails quickly has few calls in flight. It must not seem idle.
	early := l.grantedAt.Add(earlyEndFactor * p.usage.usualLease(l.priority))
	if r.HasLoad && !l.isLost {
		p.recordLoad(t, max(r.Running, 0)+max(r.Queued, 0))
	}
	switch {
	case r.Refused:
		t.recordRefusal(l.grantedAt, p.now)
		t.recordEarlyEnd(early, p.now)
	case r.Succeeded:
		t.recordSuccess()
		took := r.workTime(t.Slots)
		if usual, ok := p.usage.known(l.priority); ok {
			t.pace.add(min(took.Seconds()/usual.Seconds(), maxPace), p.now, paceHalfLife)
		}
		p.usage.recordDurations(l.priority, took, p.now.Sub(l.grantedAt), p.now)
	default:
		t.recordEarlyEnd(early, p.now)
	}
}

func (p *Pool) refuse(k Key, wait time.Duration) Reply {
	reply := Reply{Key: k, Kind: Refused, RetryAfter: retryAfter(k, wait)}
	p.refused.add(k, reply)
	return reply
}

// reply keeps a reply for the next call that returns replies.
func (p *Pool) reply(r Reply) {
	if len(p.replies) >= maxReplies {
		p.replies = slices.Delete(p.replies, 0, 1)
	}
	p.replies = append(p.replies, r)
}

func (p *Pool) takeReplies() []Reply {
	replies := p.replies
	p.replies = nil
	return replies
}

// dropUnused forgets the targets that are neither listed nor have leases.
func (p *Pool) dropUnused() {
	for hash, t := range p.targets {
		if !t.isListed && t.held == 0 && t.lost == 0 {
			delete(p.targets, hash)
		}
	}
}
