package affinity

import "time"

// sources are the candidates that hold most of a prompt.
type sources struct {
	// indexes are the ones to fetch from, by failure domain; first is any of them, or -1.
	indexes map[string]int
	first   int
	// depth is the number of leading parts that they hold.
	depth int
	// anywhere is that number over all candidates, fetched from or not.
	anywhere int
}

// depths returns how many leading parts each candidate holds or is about to
// read, and how many it has read. A part is of use only when all parts before
// it are cached too.
func (m *Map) depths(shared []Part, candidates []Candidate, now time.Time) (held, ready []int) {
	held, ready = make([]int, len(candidates)), make([]int, len(candidates))
	for depth, p := range shared {
		for _, h := range m.parts[p.Hash] {
			if now.Sub(h.used) >= holdingAge {
				continue
			}
			for i, c := range candidates {
				if c.Target != h.target || held[i] != depth {
					continue
				}
				held[i] = depth + 1
				if ready[i] == depth && !now.Before(h.ready) {
					ready[i] = depth + 1
				}
			}
		}
	}
	return held, ready
}

// deepest returns the candidates to fetch from.
func deepest(shared []Part, candidates []Candidate, held, ready []int, fetch bool) sources {
	s := sources{first: -1, indexes: make(map[string]int)}
	for i, c := range candidates {
		s.anywhere = max(s.anywhere, held[i])
		if !fetch || c.Aside || ready[i] == 0 || ready[i] < s.depth {
			continue
		}
		if ready[i] > s.depth {
			s.first, s.depth = i, ready[i]
			clear(s.indexes)
		}
		s.indexes[c.FailureDomain] = i
	}
	if tokens(shared[:s.depth]) < fetchLeast {
		s.first, s.depth = -1, 0
		clear(s.indexes)
	}
	return s
}

// read returns what a candidate that holds some leading parts has to read and to fetch.
func (s sources) read(parts []Part, held int, failureDomain string) Choice {
	c := Choice{Source: -1}
	known := held
	if s.depth > held {
		if missing := tokens(parts[held:s.depth]); missing >= fetchLeast {
			c.Fetched, known = missing, s.depth
			c.Source = s.first
			if near, ok := s.indexes[failureDomain]; ok {
				c.Source = near
			}
		}
	}
	c.Unread = tokens(parts[known:])
	if s.anywhere > known {
		c.Reread = tokens(parts[known:s.anywhere])
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
