// Package retries limits retries by budgets, one for each workspace and one for
// each service.
package retries

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Allowed means that the retry may be made.
	Allowed Verdict = iota
	// WorkspaceSpent means that the workspace's budget is used up.
	WorkspaceSpent
	// ServiceSpent means that the service's budget is used up.
	ServiceSpent
	verdictCount

	shardCount = 16
)

type (
	// Verdict says whether a retry may be made.
	Verdict uint8

	// Budgets holds the retry budgets of one router. It is safe for concurrent
	// use.
	Budgets struct {
		options Options
		// burst is the capacity of a budget in retries, as the bits of a
		// float64.
		burst      atomic.Uint64
		workspaces [shardCount]shard
		services   [shardCount]shard
		counts     [verdictCount]atomic.Uint64
	}

	shard struct {
		mu      sync.Mutex
		budgets map[string]*budget
	}

	// budget is a token bucket; a retry takes one token.
	budget struct {
		tokens     float64
		fraction   float64
		refilledAt time.Time
	}
)

// NewBudgets returns budgets that start full, unless WithEmptyStart is given.
func NewBudgets(opts ...Option) *Budgets {
	b := &Budgets{options: newOptions(opts)}
	b.SetBurst(b.options.Burst)
	for i := range shardCount {
		b.workspaces[i].budgets = make(map[string]*budget)
		b.services[i].budgets = make(map[string]*budget)
	}
	return b
}

// SetBurst sets the capacity of every budget from now on.
func (b *Budgets) SetBurst(burst float64) {
	b.burst.Store(math.Float64bits(burst))
}

func (b *Budgets) maxTokens() float64 {
	return math.Float64frombits(b.burst.Load())
}

// SetFraction sets the number of retries that each request to a service adds to
// the service's budget.
func (b *Budgets) SetFraction(now time.Time, service string, fraction float64) {
	b.update(&b.services, now, service, func(u *budget) { u.fraction = fraction })
}

// Request adds to the budgets for a request that is not a retry.
func (b *Budgets) Request(now time.Time, workspace, service string) {
	add := func(u *budget) { u.tokens = min(u.tokens+u.fraction, b.maxTokens()) }
	b.update(&b.workspaces, now, workspace, add)
	b.update(&b.services, now, service, add)
}

// Retry takes a retry from both budgets, or from neither.
func (b *Budgets) Retry(now time.Time, workspace, service string) Verdict {
	v := b.takeBoth(now, workspace, service)
	b.counts[v].Add(1)
	return v
}

// Count returns how many times Retry returned a verdict.
func (b *Budgets) Count(v Verdict) uint64 {
	return b.counts[v].Load()
}

func (b *Budgets) takeBoth(now time.Time, workspace, service string) Verdict {
	taken := false
	take := func(u *budget) {
		taken = u.tokens >= 1
		if taken {
			u.tokens--
		}
	}
	b.update(&b.workspaces, now, workspace, take)
	if !taken {
		return WorkspaceSpent
	}
	b.update(&b.services, now, service, take)
	if !taken {
		b.update(&b.workspaces, now, workspace, func(u *budget) { u.tokens++ })
		return ServiceSpent
	}
	return Allowed
}

// update changes a budget under its shard's lock, after adding the tokens of
// Options.Floor for the time since the last change.
func (b *Budgets) update(shards *[shardCount]shard, now time.Time, name string, change func(*budget)) {
	s := &shards[xxhash.Sum64String(name)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.budgets[name]
	if !ok {
		u = &budget{fraction: b.options.Fraction, refilledAt: now}
		if !b.options.EmptyStart {
			u.tokens = b.maxTokens()
		}
		s.budgets[name] = u
	}
	if since := now.Sub(u.refilledAt); since > 0 {
		u.tokens = min(u.tokens+since.Seconds()*b.options.Floor, b.maxTokens())
		u.refilledAt = now
	}
	change(u)
}
