package affinity

import "time"

// source is the candidate that holds most of a prompt.
type source struct {
	index int
	// depth is the number of leading parts that it holds.
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

// deepest returns the candidate to fetch from.
func deepest(shared []Part, candidates []Candidate, held, ready []int, fetch bool) source {
	s := source{index: -1}
	for i, c := range candidates {
		s.anywhere = max(s.anywhere, held[i])
		if fetch && !c.Aside && ready[i] > s.depth {
			s.index, s.depth = i, ready[i]
		}
	}
	if tokens(shared[:s.depth]) < fetchLeast {
		s.index, s.depth = -1, 0
	}
	return s
}

// read returns what a candidate that holds some leading parts has to read and to fetch.
func (s source) read(parts []Part, held int) Choice {
	c := Choice{Source: -1}
	known := held
	if s.depth > held {
		c.Fetched = tokens(parts[held:s.depth])
		known = s.depth
		c.Source = s.index
		if c.Fetched < fetchLeast {
			c.Source, c.Fetched, known = -1, 0, held
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
