package affinity

import (
	"math"

	"hickoryrock/internal/policy/rendezvous"
)

// choosePlain picks a candidate for a call without parts. With counts that are older
// than the calls, routers that compared them would all choose the same target until the
// next report, so that a busy service is better served by a random choice.
func choosePlain(r Request, candidates []Candidate, allowed []bool) Choice {
	if hasExpectedTime(candidates) {
		return chooseExpected(r, candidates, allowed)
	}
	if r.StaleCounts && meanCalls(candidates) >= minRandomCalls {
		return chooseRandom(r, candidates, allowed)
	}
	return chooseLeastLoaded(r, candidates, allowed)
}

func meanCalls(candidates []Candidate) float64 {
	total := 0
	for _, c := range candidates {
		total += c.Calls
	}
	return float64(total) / float64(max(len(candidates), 1))
}

// chooseRandom picks an allowed candidate by the call's seed, each with a probability
// in proportion to its speed.
func chooseRandom(r Request, candidates []Candidate, allowed []bool) Choice {
	best := Choice{Index: -1, Source: -1, Reason: ReasonRandom}
	var bestScore float64
	for i, c := range candidates {
		if !allowed[i] {
			continue
		}
		// The smallest of exponential variates with rates w1, w2, ... is that of
		// candidate i with probability wi / (w1 + w2 + ...).
		uniform := rendezvous.Fraction(r.Seed, c.Target) + 1.0/(1<<53)
		score := -math.Log(uniform) * c.slowness()
		if best.Index < 0 || score < bestScore {
			best.Index, bestScore = i, score
		}
	}
	return best
}

// chooseLeastLoaded picks the allowed candidate with the fewest calls. One in
// the router's failure domain is preferred to another that has at most one call
// less.
func chooseLeastLoaded(r Request, candidates []Candidate, allowed []bool) Choice {
	best := Choice{Index: -1, Source: -1, Reason: ReasonLeastLoaded}
	var bestCost int
	var bestRank uint64
	for i, c := range candidates {
		if !allowed[i] {
			continue
		}
		cost := 2 * c.Calls
		if !c.SameDomain {
			cost += 3
		}
		rank := rendezvous.Rank(r.Seed, c.Target)
		if best.Index < 0 || cost < bestCost || (cost == bestCost && rank > bestRank) {
			best.Index, bestCost, bestRank = i, cost, rank
		}
	}
	return best
}
