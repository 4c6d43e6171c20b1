package permits

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 64

type (
	// Ledger holds the permits of the targets that one router owns. It is safe
	// for concurrent use.
	Ledger struct {
		options Options
		shards  [shardCount]shard
		lease   lease

		mu       sync.RWMutex
		services map[string]service
	}

	shard struct {
		mu      sync.Mutex
		entries map[string]*entry
		epoch   uint64
	}
)

// NewLedger returns a ledger that owns no target.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{options: newOptions(opts), services: make(map[string]service)}
	for i := range l.shards {
		l.shards[i].entries = make(map[string]*entry)
	}
	return l
}

// Confirm extends the router's lease. It must be called only while the router
// reaches at least half of the listed routers, itself included. After a lapse
// every target is contested again.
func (l *Ledger) Confirm(now time.Time) {
	l.lease.confirm(now, l.options.LeaseTerm)
}

// SetBound sets the bound of a service's targets.
func (l *Ledger) SetBound(name string, b Bound) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	s.bound = b
	l.services[name] = s
}

// SetMean sets a service's mean load per unit of target weight.
func (l *Ledger) SetMean(now time.Time, name string, mean float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	s.mean, s.meanAt, s.hasMean = mean, now, true
	l.services[name] = s
}

// Adopt starts to own a target, or updates one that is owned. It returns the
// epoch of the adoption, which a handover must repeat.
func (l *Ledger) Adopt(now time.Time, t Target) uint64 {
	s := l.shard(t.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, _ := l.lease.read(now)
	e, ok := s.entries[t.Name]
	if !ok {
		e = &entry{grants: make(map[grantKey]grant)}
		s.entries[t.Name] = e
	}
	if !ok || e.cededTo != "" {
		s.contest(e, lease.generation, now)
	}
	e.target, e.cededTo = t, ""
	s.contestAfterLapse(e, lease)
	return e.epoch
}

// Cede stops granting permits of a target, which another router owns now, and
// keeps those in flight for a Handover to that router.
func (l *Ledger) Cede(now time.Time, target, to string) {
	s := l.shard(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[target]; ok && e.cededTo == "" {
		e.cededTo, e.cededAt = to, now
	}
}

// Drop removes a target and its permits.
func (l *Ledger) Drop(target string) {
	s := l.shard(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, target)
}

// Handover returns the permits of a ceded target for the new owner, which asks
// with its name and with the epoch that its Adopt returned, and removes the
// target. It returns false if the permits may be incomplete, for example
// because the new owner could have granted some after its contest or because
// the target was ceded to another router.
func (l *Ledger) Handover(now time.Time, target, to string, epoch uint64) (Handover, bool) {
	s := l.shard(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[target]
	if !ok || e.cededTo != to {
		return Handover{}, false
	}
	lease, valid := l.lease.read(now)
	s.contestAfterLapse(e, lease)
	delete(s.entries, target)
	if !valid || now.After(e.cededAt.Add(l.options.LeaseTerm)) || !e.trySettle(now, &l.options) {
		return Handover{}, false
	}
	h := Handover{Epoch: epoch}
	if now.Before(e.foreignEnd) {
		h.Foreign = e.foreign
	}
	for k, g := range e.grants {
		h.Permits = append(h.Permits, Permit{Holder: k.holder, ID: k.id, Weight: g.weight})
	}
	return h, true
}

// Receive adds a former owner's permits. It ends the contest if the handover
// belongs to the current adoption.
func (l *Ledger) Receive(now time.Time, target string, h Handover) {
	s := l.shard(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[target]
	if !ok {
		return
	}
	lease, _ := l.lease.read(now)
	s.contestAfterLapse(e, lease)
	for _, p := range h.Permits {
		k := grantKey{p.Holder, p.ID}
		e.put(k, grant{weight: p.Weight, grantedAt: now, renewedAt: now})
	}
	if h.Epoch == e.epoch && e.cededTo == "" {
		e.settled = true
		e.foreign, e.foreignEnd = h.Foreign, now.Add(l.options.RequestTerm)
	}
}

// Acquire grants or refuses a permit. Asking again for the same permit is
// idempotent.
func (l *Ledger) Acquire(now time.Time, target string, p Permit) Verdict {
	s := l.shard(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[target]
	if !ok || e.cededTo != "" {
		return NotOwner
	}
	if e.target.Leaving {
		return Leaving
	}
	lease, valid := l.lease.read(now)
	if !valid {
		return NotOwner
	}
	s.contestAfterLapse(e, lease)
	if !e.trySettle(now, &l.options) {
		return Contested
	}
	k := grantKey{p.Holder, p.ID}
	g, exists := e.grants[k]
	if !exists {
		if !l.admits(now, e, p) {
			return Full
		}
		g.weight = p.Weight
	}
	g.grantedAt, g.renewedAt = now, now
	e.put(k, g)
	return Granted
}

// admits returns whether a target may take one more request.
func (l *Ledger) admits(now time.Time, e *entry, p Permit) bool {
	svc := l.service(e.target.Service)
	e.expire(now, &l.options)
	u := e.usage(now, &l.options)
	if maxInFlight := svc.bound.MaxInFlight; maxInFlight > 0 && u.InFlight >= maxInFlight {
		return false
	}
	limit := svc.limit(now, effectiveWeight(e.target), l.options.MeanTerm)
	return u.Load+uint64(p.Weight) <= limit
}

// Release removes a permit. Releasing it twice has no effect.
func (l *Ledger) Release(target, holder, id string) {
	s := l.shard(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[target]; ok {
		e.remove(grantKey{holder, id})
	}
}

// Announce renews permits that a holder still has on a target, and adds those
// that the ledger lacks, such as permits granted by a former owner.
func (l *Ledger) Announce(now time.Time, target string, held []Permit) {
	s := l.shard(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[target]
	if !ok {
		return
	}
	for _, p := range held {
		k := grantKey{p.Holder, p.ID}
		g, exists := e.grants[k]
		if !exists {
			g = grant{weight: p.Weight, grantedAt: e.contestedAt}
		}
		g.renewedAt = now
		e.put(k, g)
	}
}

// Forget lets the permits of a dead holder expire without waiting for
// PermitTerm.
func (l *Ledger) Forget(holder string) {
	l.forEachEntry(func(e *entry) {
		for k, g := range e.grants {
			if k.holder == holder {
				g.renewedAt = time.Time{}
				e.put(k, g)
			}
		}
	})
}

// ReportLoad applies a target's report of its own load; reports older than the
// last one are ignored.
func (l *Ledger) ReportLoad(target string, r Report) {
	s := l.shard(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[target]; ok {
		e.observe(r, &l.options)
	}
}

// Sums returns the load of the owned targets by service.
func (l *Ledger) Sums(now time.Time) map[string]Sum {
	sums := make(map[string]Sum)
	l.forEachEntry(func(e *entry) {
		if e.cededTo != "" {
			return
		}
		sum := sums[e.target.Service]
		sum.Load += e.usage(now, &l.options).Load
		sum.Targets++
		sum.Weight += effectiveWeight(e.target)
		sums[e.target.Service] = sum
	})
	return sums
}

func (l *Ledger) service(name string) service {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.services[name]
}

func (l *Ledger) forEachEntry(f func(*entry)) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			f(e)
		}
		s.mu.Unlock()
	}
}

func (l *Ledger) shard(target string) *shard {
	return &l.shards[xxhash.Sum64String(target)%shardCount]
}

func effectiveWeight(t Target) float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// contestAfterLapse contests an entry again if the lease has lapsed since.
func (s *shard) contestAfterLapse(e *entry, lease leaseState) {
	if e.leaseGeneration != lease.generation {
		s.contest(e, lease.generation, lease.startedAt)
	}
}

func (s *shard) contest(e *entry, generation uint64, now time.Time) {
	s.epoch++
	e.leaseGeneration, e.epoch, e.contestedAt, e.settled = generation, s.epoch, now, false
}
