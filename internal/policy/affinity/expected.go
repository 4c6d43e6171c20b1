package affinity

import (
	"math"
	"slices"

	"hickoryrock/internal/policy/rendezvous"
)

const (
	// expectedChoices is the number of random candidates that chooseExpected compares.
	expectedChoices = 2
	// expectedPower is the power of the expected times to which the probabilities of these are
	// in inverse proportion. Figures are old when they are used: the shorter time alone, or more
	// candidates, make more calls late in large fleets, as the table in docs/design/0023 shows.
	expectedPower = 4
	// lastingSlowness is the measured slowness from which it counts beside the load figures:
	// periods of a few hundred milliseconds do not raise the mean of two seconds as far, so that
	// something slows the target that its figures do not state.
	lastingSlowness = 2
)

func (c Candidate) expectedTime() float64 {
	expected := c.ExpectedTime
	if expected <= 0 {
		expected = 1
	}
	if c.Slowness >= lastingSlowness {
		expected = max(expected, c.Slowness)
	}
	return expected
}

func hasExpectedTime(candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.ExpectedTime > 0 })
}

// chooseExpected picks one of expectedChoices allowed candidates by the call's seed, which is
// most likely the one with the shortest expected time. If routers with the same figures compared
// all candidates, they would all choose the same one until the next report ("power of two
// choices", Mitzenmacher 2001).
func chooseExpected(r Request, candidates []Candidate, allowed []bool) Choice {
	ranks := make([]uint64, len(candidates))
	for i, c := range candidates {
		ranks[i] = rendezvous.Rank(r.Seed, c.Target)
	}
	drawn := make([]bool, len(candidates))
	markHighest(drawn, ranks, expectedChoices, func(i int) bool { return allowed[i] })
	best := Choice{Index: -1, Source: -1, Reason: ReasonExpected}
	var bestScore float64
	for i, c := range candidates {
		if !drawn[i] {
			continue
		}
		// The smallest of exponential variates with rates w1, w2, ... is that of candidate i with
		// probability wi / (w1 + w2 + ...). The inverted seed makes them independent of the ranks.
		uniform := rendezvous.Fraction(^r.Seed, c.Target) + 1.0/(1<<53)
		score := -math.Log(uniform) * math.Pow(c.expectedTime(), expectedPower)
		if best.Index < 0 || score < bestScore {
			best.Index, bestScore = i, score
		}
	}
	return best
}
