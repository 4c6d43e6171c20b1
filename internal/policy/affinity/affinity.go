// Package affinity chooses the target of a call: the one whose prefix cache
// holds the shared parts of the prompt, unless its load makes another target
// cheaper. Callers pass the current time to every function that needs it.
package affinity

import (
	"sync"
	"time"

	"hickoryrock/internal/policy/rendezvous"
)

const (
	// recomputeWeight is the cost of a token that is prefilled again although
	// another target has it cached, in pending prompt tokens.
	recomputeWeight = 3
	// fetchWeight is the cost of a token that a target fetches from another
	// target's cache: a fifth of the cost of prefilling it again.
	fetchWeight = 0.6
	// fetchTimeRatio is the time to fetch a token relative to the time to
	// prefill one.
	fetchTimeRatio = 0.1
	// minFetchTokens is the number of tokens below which prefilling is simpler
	// than fetching.
	minFetchTokens = 64
	// callTokens is the cost of one call in flight, in pending prompt tokens:
	// each call lengthens every step of the engine a little.
	callTokens = 40
	// crossDomainTokens is the cost of a target in another failure domain, in
	// pending prompt tokens.
	crossDomainTokens = 200
	// rendezvousCandidates is the number of targets, by rendezvous hashing,
	// that are considered in addition to those that hold all shared parts of the
	// prompt. If all targets were considered, many routers with delayed load
	// information would choose the same one.
	rendezvousCandidates = 4
	// partialCandidates is the number of further ones among those that hold some of the
	// parts: every target may hold a first part that many prompts share.
	partialCandidates = 2
	// prefillTimeout is the time after which a part is assumed to be prefilled
	// if no router has reported it.
	prefillTimeout = 2 * time.Second
	// minRandomCalls is the mean number of calls a target from which a service is so busy
	// that stale counts mislead. Below it, a target in the own failure domain is nearer.
	minRandomCalls = 0.5
	// boundMargin scales the bound on a target's calls down, because the calls
	// of other routers are known only with a delay.
	boundMargin = 0.75
	// boundSlack is the number of calls by which a target may always exceed the
	// scaled mean.
	boundSlack = 2
	// holdingTTL is how long a part is assumed to be cached after its last use.
	holdingTTL = 45 * time.Second
	// announceInterval is the minimum time between two announcements that a
	// target still holds a part.
	announceInterval = 5 * time.Second
	// maxRefreshes bounds the refreshes that wait for an announcement; further ones are
	// dropped, since a holding that is in use is refreshed again.
	maxRefreshes = 200
)

const (
	// ReasonHeld means that the target holds all shared parts.
	ReasonHeld Reason = "held"
	// ReasonNew means that no candidate holds all shared parts.
	ReasonNew Reason = "new"
	// ReasonMoved means that a candidate holds all shared parts, but a target
	// that holds fewer was cheaper.
	ReasonMoved Reason = "moved"
	// ReasonLeastLoaded means that the call has no shared parts and went to the
	// least loaded target.
	ReasonLeastLoaded Reason = "least"
	// ReasonRandom means that the call has no shared parts and that the loads were too
	// old to compare.
	ReasonRandom Reason = "random"
	// ReasonExpected means that the call has no shared parts and went to one of two random
	// targets by the time that it is expected to take there.
	ReasonExpected Reason = "expected"
)

type (
	// Reason says why a target was chosen.
	Reason string

	// Part is a segment of a prompt, identified by its hash.
	Part struct {
		Hash   uint64
		Tokens int
	}

	// Candidate is a target that may be chosen for the call.
	Candidate struct {
		Target uint64
		// Calls in flight and prompt tokens still to prefill, summed over all routers.
		Calls         int
		PendingTokens int
		// Slowness is how much longer the target takes than usual; 0 means as usual.
		Slowness float64
		// ExpectedTime is how long a call is expected to take relative to a free target at the
		// usual speed, by the load figures that the target reports; 0 means unknown.
		ExpectedTime float64
		// Ejected candidates have failed lately and are chosen only if there is no
		// other.
		Ejected bool
		// Exhausted candidates have got as many calls from this router as the limit that
		// they name allows. They are neither chosen nor fetched from.
		Exhausted bool
		// Tried candidates have been sent the call already and are never
		// chosen.
		Tried         bool
		FailureDomain string
		// SameDomain candidates are in the router's own failure domain.
		SameDomain bool
		// Draining candidates are never chosen, but others may fetch from their
		// caches.
		Draining bool
	}

	// Request describes the call for which a target is chosen.
	Request struct {
		// Parts are the prompt's parts in order; with two or more, the last is
		// specific to this call.
		Parts []Part
		// Seed breaks ties between equal targets for calls without parts.
		Seed uint64
		// Factor bounds a target's calls as a multiple of the mean; 0 means no
		// bound.
		Factor float64
		// StaleCounts is set when the calls in flight at other routers are known with a
		// delay that is longer than such a call usually takes.
		StaleCounts bool
		// Fetch is set when targets can fetch from each other's caches.
		Fetch bool
	}

	// Choice is the chosen target and the token counts behind the decision.
	Choice struct {
		// Index is the index of the chosen candidate, or -1 if there is none.
		Index  int
		Reason Reason
		// PrefillTokens is the number of tokens that the target has to prefill.
		PrefillTokens int
		// PendingTokens is the number of prompt tokens that the target has to prefill
		// before those of this call.
		PendingTokens int
		// RecomputedTokens is the number of tokens in PrefillTokens that another target
		// has cached.
		RecomputedTokens int
		// Source is the index of the candidate to fetch from, or -1; FetchedTokens is
		// the number of tokens that it has cached and the chosen target has not.
		Source        int
		FetchedTokens int
	}

	// Holding says that a target holds a part in its cache.
	Holding struct {
		Part   uint64
		Target uint64
		// PrefillTokens is the number of tokens that the target has to prefill first.
		PrefillTokens int
		// Prefilled is set when the target has prefilled the part, and not only been
		// assigned a call with it.
		Prefilled bool
	}

	// CacheIndex is a router's estimate of which targets have which parts cached. It
	// is safe for concurrent use.
	CacheIndex struct {
		mu    sync.Mutex
		parts map[uint64][]holder
		// holdings is the number of holders of all parts.
		holdings int
		// updates are holdings that other routers do not know, refreshes those that
		// they know to have been used again.
		updates   []Holding
		refreshes []Holding
		// updated signals that updates is no longer empty.
		updated chan struct{}
		// restored is closed once the index contains what targets had cached before
		// this router started.
		restored chan struct{}
	}

	holder struct {
		target        uint64
		lastUsed      time.Time
		lastAnnounced time.Time
		// prefilledAt is when the target has prefilled the part, or is assumed
		// to have.
		prefilledAt time.Time
	}
)

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{parts: make(map[uint64][]holder), restored: make(chan struct{}), updated: make(chan struct{}, 1)}
}

// Choose picks a candidate for a request and leaves the index unchanged. Callers that carry out the
// choice must call Assign, and let no other call of theirs choose in between: two calls with
// the same new prompt would otherwise go to different targets, which would both prefill it.
func (x *CacheIndex) Choose(r Request, candidates []Candidate, now time.Time) Choice {
	allowed := allowedCandidates(r.Factor, candidates)
	if len(r.Parts) == 0 {
		return choosePlain(r, candidates, allowed)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	shared := Shared(r.Parts)
	held, prefilled := x.prefixDepths(shared, candidates, now)
	sources := findSources(shared, candidates, held, prefilled, r.Fetch)
	ranks := rendezvousRanks(shared[len(shared)-1].Hash, candidates)
	eligible := eligibleCandidates(ranks, allowed, held, len(shared))
	best := Choice{Index: -1, Source: -1}
	var bestCost float64
	for i, c := range candidates {
		if !eligible[i] {
			continue
		}
		choice := sources.plan(r.Parts, held[i], c.FailureDomain)
		choice.Index, choice.PendingTokens = i, c.PendingTokens
		cost := c.slowness()*float64(c.PendingTokens) + float64(choice.PrefillTokens) + recomputeWeight*float64(choice.RecomputedTokens) +
			(fetchTimeRatio+fetchWeight)*float64(choice.FetchedTokens) + callTokens*float64(c.Calls)
		if !c.SameDomain {
			cost += crossDomainTokens
		}
		// Equal costs are decided by rendezvous hashing, on which routers agree
		// without communication.
		if best.Index < 0 || cost < bestCost || (cost == bestCost && ranks[i] > ranks[best.Index]) {
			best, bestCost = choice, cost
		}
	}
	if best.Index < 0 {
		return best
	}
	switch {
	case held[best.Index] == len(shared):
		best.Reason = ReasonHeld
	case sources.maxHeld == len(shared):
		best.Reason = ReasonMoved
	default:
		best.Reason = ReasonNew
	}
	return best
}

// Assign records that a target will hold the shared parts of a prompt because a call is sent
// there, and for its announcement how many tokens the target has to prefill for the call first.
func (x *CacheIndex) Assign(shared []Part, target uint64, prefillTokens int, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, p := range shared {
		h := Holding{Part: p.Hash, Target: target}
		if i == len(shared)-1 {
			h.PrefillTokens = prefillTokens // Announced once for the whole prompt.
		}
		x.record(h, now, true)
	}
}

// Shared returns the parts of a prompt that other calls may share: all but the
// last, or the only one.
func Shared(parts []Part) []Part {
	if len(parts) < 2 {
		return parts
	}
	return parts[:len(parts)-1]
}

// rendezvousRanks returns the candidates' ranks for a prompt.
func rendezvousRanks(key uint64, candidates []Candidate) []uint64 {
	ranks := make([]uint64, len(candidates))
	for i, c := range candidates {
		ranks[i] = rendezvous.Rank(key, c.Target)
	}
	return ranks
}

// eligibleCandidates marks the allowed candidates that hold all shared parts of the prompt
// and, by rank, the first ones of all and of those that hold some of the parts.
func eligibleCandidates(ranks []uint64, allowed []bool, held []int, parts int) []bool {
	eligible := make([]bool, len(ranks))
	markHighest(eligible, ranks, rendezvousCandidates, func(i int) bool { return allowed[i] })
	markHighest(eligible, ranks, partialCandidates, func(i int) bool { return allowed[i] && held[i] > 0 })
	for i := range eligible {
		eligible[i] = eligible[i] || (allowed[i] && held[i] == parts)
	}
	return eligible
}

// markHighest marks the n candidates with the highest ranks that pass a filter and are not
// marked yet.
func markHighest(marked []bool, ranks []uint64, n int, pass func(i int) bool) {
	for range n {
		best := -1
		for i, rank := range ranks {
			if (best < 0 || rank > ranks[best]) && !marked[i] && pass(i) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		marked[best] = true
	}
}

// allowedCandidates marks the candidates that may be chosen: those that are not
// ejected and are below the bound. The bound of a slow candidate is lower, down to the
// mean, at which it gets new calls in proportion to its speed. If there are none, it marks those that are
// not ejected, and otherwise all. Tried, draining and exhausted candidates are never
// marked.
func allowedCandidates(factor float64, candidates []Candidate) []bool {
	total, n := 0, 0
	for _, c := range candidates {
		if !c.Ejected && !c.Draining {
			total += c.Calls
			n++
		}
	}
	bound := float64(boundSlack)
	if n > 0 && factor > 0 {
		bound += boundMargin * factor * float64(total) / float64(n)
	}
	mean := float64(total) / float64(max(n, 1))
	filters := []func(Candidate) bool{
		func(c Candidate) bool {
			return !c.Ejected && (factor <= 0 || float64(c.Calls) < max(mean, bound/c.slowness()))
		},
		func(c Candidate) bool { return !c.Ejected },
		func(Candidate) bool { return true },
	}
	allowed := make([]bool, len(candidates))
	for _, filter := range filters {
		found := false
		for i, c := range candidates {
			allowed[i] = !c.Tried && !c.Draining && !c.Exhausted && filter(c)
			found = found || allowed[i]
		}
		if found {
			break
		}
	}
	return allowed
}

// slowness returns how much longer the candidate takes than usual by measurements. Where its
// load figures are known, they decide: measurements last for longer than a slow period.
func (c Candidate) slowness() float64 {
	if c.ExpectedTime > 0 {
		return 1
	}
	return max(c.Slowness, 1)
}
