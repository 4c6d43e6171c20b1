package affinity

import "time"

// sources are the candidates that hold the longest cached prefix of a prompt.
type sources struct {
	// indexes are the candidates to fetch from, by failure domain; fallback is
	// any of them, or -1.
	indexes  map[string]int
	fallback int
	// depth is the number of leading parts that they have prefilled.
	depth int
	// maxHeld is the largest number of leading parts that any candidate holds,
	// whether it can be fetched from or not.
	maxHeld int
}

// prefixDepths returns for each candidate the number of leading parts that it
// holds or is about to prefill, and the number that it has prefilled. A part is
// usable only if all parts before it are cached too.
func (x *CacheIndex) prefixDepths(shared []Part, candidates []Candidate, now time.Time) (held, prefilled []int) {
	held, prefilled = make([]int, len(candidates)), make([]int, len(candidates))
	for depth, p := range shared {
		for _, h := range x.parts[p.Hash] {
			if now.Sub(h.lastUsed) >= holdingTTL {
				continue
			}
			for i, c := range candidates {
				if c.Target != h.target || held[i] != depth {
					continue
				}
				held[i] = depth + 1
				if prefilled[i] == depth && !now.Before(h.prefilledAt) {
					prefilled[i] = depth + 1
				}
			}
		}
	}
	return held, prefilled
}

// findSources returns the candidates to fetch from.
func findSources(shared []Part, candidates []Candidate, held, prefilled []int, fetch bool) sources {
	s := sources{fallback: -1, indexes: make(map[string]int)}
	for i, c := range candidates {
		s.maxHeld = max(s.maxHeld, held[i])
		if !fetch || c.Ejected || c.Exhausted || prefilled[i] == 0 || prefilled[i] < s.depth {
			continue
		}
		if prefilled[i] > s.depth {
			s.fallback, s.depth = i, prefilled[i]
			clear(s.indexes)
		}
		s.indexes[c.FailureDomain] = i
	}
	if tokens(shared[:s.depth]) < minFetchTokens {
		s.fallback, s.depth = -1, 0
		clear(s.indexes)
	}
	return s
}

// plan returns what a candidate that holds some leading parts has to prefill
// and to fetch.
func (s sources) plan(parts []Part, held int, failureDomain string) Choice {
	c := Choice{Source: -1}
	covered := held
	if s.depth > held {
		if missing := tokens(parts[held:s.depth]); missing >= minFetchTokens {
			c.FetchedTokens, covered = missing, s.depth
			c.Source = s.fallback
			if sameDomain, ok := s.indexes[failureDomain]; ok {
				c.Source = sameDomain
			}
		}
	}
	c.PrefillTokens = tokens(parts[covered:])
	if s.maxHeld > covered {
		c.RecomputedTokens = tokens(parts[covered:s.maxHeld])
	}
	return c
}

func tokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}
