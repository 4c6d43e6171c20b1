// Package affinity decides which target gets a call: the one whose cache holds
// the prompt's shared parts, unless it has too much to do. It has no clock.
package affinity

import (
	"sync"
	"time"
)

const (
	// rereadWeight is the cost of a token that is read again although another
	// target holds it, in tokens of waiting.
	rereadWeight = 3
	// fetchWeight is the cost of a token that a target fetches from another one's
	// cache: a fifth of reading it again.
	fetchWeight = 0.6
	// fetchShare is the time to fetch a token in times to read one.
	fetchShare = 0.1
	// fetchLeast is the number of tokens below which reading is simpler.
	fetchLeast = 64
	// callTokens is the cost of one call in flight, in tokens of waiting: it
	// lengthens each step of the engine a little.
	callTokens = 40
	// distanceTokens is the cost of a target in another failure domain.
	distanceTokens = 200
	// firstChoices is the number of targets, by rendezvous hashing, among which a
	// prompt without a home chooses: many routers that know loads late would
	// otherwise all choose the same one.
	firstChoices = 4
	// readMost is when a part is taken to be read of which nothing more was heard.
	readMost = 2 * time.Second
	// boundShare keeps below the bound on a target's calls: other routers'
	// calls are known only with a delay.
	boundShare = 0.75
	// boundSlack is the number of calls by which a target may always exceed the mean.
	boundSlack = 2
	// holdingAge is how long a part is taken to be cached after its last use.
	holdingAge = 45 * time.Second
	// announceEvery is how often a use of a held part is told to the others.
	announceEvery = 5 * time.Second
)

const (
	// ReasonHeld means that the target holds all shared parts.
	ReasonHeld Reason = "held"
	// ReasonNew means that no target holds the deepest shared part.
	ReasonNew Reason = "new"
	// ReasonMoved means that a target that holds less was cheaper.
	ReasonMoved Reason = "moved"
	// ReasonLeast means that the call has no shared parts and went to the least loaded target.
	ReasonLeast Reason = "least"
)

type (
	// Reason says why a target was chosen.
	Reason string

	// Part is a part of a prompt.
	Part struct {
		Hash   uint64
		Tokens int
	}

	// Candidate is a target that may get the call.
	Candidate struct {
		Target uint64
		// Calls and Unread are over all routers; Unread counts prompt tokens.
		Calls  int
		Unread int
		// Aside candidates are taken only when there is no other.
		Aside bool
		// Tried candidates have had the call already and are never chosen.
		Tried         bool
		FailureDomain string
		// Near candidates are in the router's own failure domain.
		Near bool
		// Leaving candidates are never chosen, but others may fetch from their caches.
		Leaving bool
	}

	// Request is what a choice goes by.
	Request struct {
		// Parts are the prompt's parts in order; the last is the call's own.
		Parts []Part
		// Seed breaks ties between equal targets for calls without parts.
		Seed uint64
		// Factor bounds a target's calls as a multiple of the mean.
		Factor float64
		// Fetch is set when targets can fetch from each other's caches.
		Fetch bool
	}

	// Choice is the decision and what it went by.
	Choice struct {
		// Index is into the candidates; -1 when there is none.
		Index  int
		Reason Reason
		// Unread is the number of tokens that the target has to read.
		Unread int
		// Ahead is the number of tokens that it has to read before.
		Ahead int
		// Reread is the number of those in Unread that another target holds.
		Reread int
		// Source is the index of the candidate to fetch from, or -1; Fetched is
		// the number of tokens that it holds and the chosen target does not.
		Source  int
		Fetched int
	}

	// Holding says that a target holds a part.
	Holding struct {
		Part   uint64
		Target uint64
		// Unread is the number of tokens that the target has to read first.
		Unread int
		// Read is set when the target has read the part, not only been given it to read.
		Read bool
	}

	// Map is a router's belief of which targets hold which parts.
	Map struct {
		mu    sync.Mutex
		parts map[uint64][]holder
		news  []Holding
		// recalled is closed when the map holds what targets held before the start.
		recalled chan struct{}
	}

	holder struct {
		target    uint64
		used      time.Time
		announced time.Time
		// ready is when the target has read the part.
		ready time.Time
	}
)

// NewMap returns an empty map.
func NewMap() *Map {
	return &Map{parts: make(map[uint64][]holder), recalled: make(chan struct{})}
}

// Choose picks a candidate for a request and, for prompts, notes that it will hold the parts.
func (m *Map) Choose(r Request, candidates []Candidate, now time.Time) Choice {
	allowed := within(r.Factor, candidates)
	if len(r.Parts) == 0 {
		return least(r, candidates, allowed)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	shared := Shared(r.Parts)
	held, read := m.depths(shared, candidates, now)
	sources := deepest(shared, candidates, held, read, r.Fetch)
	key := shared[len(shared)-1].Hash
	eligible := first(key, candidates, allowed, held)
	best := Choice{Index: -1, Source: -1}
	var bestCost float64
	var bestRank uint64
	for i, c := range candidates {
		if !eligible[i] {
			continue
		}
		choice := sources.read(r.Parts, held[i], c.FailureDomain)
		choice.Index, choice.Ahead = i, c.Unread
		total := float64(c.Unread+choice.Unread) + rereadWeight*float64(choice.Reread) +
			(fetchShare+fetchWeight)*float64(choice.Fetched) + callTokens*float64(c.Calls)
		if !c.Near {
			total += distanceTokens
		}
		// Equal costs go by rendezvous hashing, which routers share without talking.
		rank := mix(key ^ c.Target)
		if best.Index < 0 || total < bestCost || (total == bestCost && rank > bestRank) {
			best, bestCost, bestRank = choice, total, rank
		}
	}
	if best.Index < 0 {
		return best
	}
	switch {
	case held[best.Index] == len(shared):
		best.Reason = ReasonHeld
	case sources.anywhere == len(shared):
		best.Reason = ReasonMoved
	default:
		best.Reason = ReasonNew
	}
	for i, p := range shared {
		h := Holding{Part: p.Hash, Target: candidates[best.Index].Target}
		if i == len(shared)-1 {
			h.Unread = best.Unread // Told once for the whole prompt.
		}
		m.use(h, now, true)
	}
	return best
}

// Shared returns the parts of a prompt that other calls may have, too.
func Shared(parts []Part) []Part {
	if len(parts) < 2 {
		return parts
	}
	return parts[:len(parts)-1]
}

// first marks the allowed candidates that hold a part of the prompt and those
// that come first by rendezvous hashing.
func first(key uint64, candidates []Candidate, allowed []bool, held []int) []bool {
	eligible := make([]bool, len(candidates))
	for range firstChoices {
		best, bestRank := -1, uint64(0)
		for i, c := range candidates {
			if rank := mix(key ^ c.Target); allowed[i] && !eligible[i] && (best < 0 || rank > bestRank) {
				best, bestRank = i, rank
			}
		}
		if best >= 0 {
			eligible[best] = true
		}
	}
	for i := range candidates {
		eligible[i] = eligible[i] || (allowed[i] && held[i] > 0)
	}
	return eligible
}

// within marks the candidates that may get a call: not aside and within the
// bound; without any, those within the bound, then all that were not tried.
func within(factor float64, candidates []Candidate) []bool {
	total, n := 0, 0
	for _, c := range candidates {
		if !c.Aside && !c.Leaving {
			total += c.Calls
			n++
		}
	}
	bound := float64(boundSlack)
	if n > 0 && factor > 0 {
		bound += boundShare * factor * float64(total) / float64(n)
	}
	tests := []func(Candidate) bool{
		func(c Candidate) bool { return !c.Aside && (factor <= 0 || float64(c.Calls) < bound) },
		func(c Candidate) bool { return !c.Aside },
		func(Candidate) bool { return true },
	}
	allowed := make([]bool, len(candidates))
	for _, test := range tests {
		found := false
		for i, c := range candidates {
			allowed[i] = !c.Tried && !c.Leaving && test(c)
			found = found || allowed[i]
		}
		if found {
			break
		}
	}
	return allowed
}

// least picks the allowed candidate with the fewest calls, a near one before a
// far one that has no more than one call less.
func least(r Request, candidates []Candidate, allowed []bool) Choice {
	best := Choice{Index: -1, Source: -1, Reason: ReasonLeast}
	var bestCost int
	var bestRank uint64
	for i, c := range candidates {
		if !allowed[i] {
			continue
		}
		total := 2 * c.Calls
		if !c.Near {
			total += 3
		}
		rank := mix(r.Seed ^ c.Target)
		if best.Index < 0 || total < bestCost || (total == bestCost && rank > bestRank) {
			best.Index, bestCost, bestRank = i, total, rank
		}
	}
	return best
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
