package affinity

import "time"

// Recall notes what targets hold already, as they or another router say.
func (m *Map) Recall(holdings []Holding, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range holdings {
		m.use(h, now, false)
	}
}

// Complete says that all that could be recalled has been; it is called once.
func (m *Map) Complete() { close(m.recalled) }

// Recalled is closed when the map is complete.
func (m *Map) Recalled() <-chan struct{} { return m.recalled }

// Learn notes what another router has just told.
func (m *Map) Learn(holdings []Holding, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range holdings {
		m.use(h, now, false)
	}
}

// Read notes that a target has read parts that were chosen for it.
func (m *Map) Read(parts []Part, target uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range parts {
		for _, h := range m.parts[p.Hash] {
			if h.target == target && now.Before(h.ready) {
				m.use(Holding{Part: p.Hash, Target: target, Read: true}, now, true)
			}
		}
	}
}

// Holdings returns all that is believed to be held.
func (m *Map) Holdings(now time.Time) []Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Holding
	for part, holders := range m.parts {
		for _, h := range holders {
			if now.Sub(h.used) < holdingAge {
				all = append(all, Holding{Part: part, Target: h.target, Read: !now.Before(h.ready)})
			}
		}
	}
	return all
}

// News returns what other routers do not know yet, at most limit entries.
func (m *Map) News(limit int) []Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(limit, len(m.news))
	out := append([]Holding(nil), m.news[:n]...)
	m.news = m.news[n:]
	if len(m.news) == 0 {
		m.news = nil
	}
	return out
}

// Expire forgets what was not used for long, and targets that are not listed.
func (m *Map) Expire(listed map[uint64]bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for part, holders := range m.parts {
		kept := holders[:0]
		for _, h := range holders {
			if listed[h.target] && now.Sub(h.used) < holdingAge {
				kept = append(kept, h)
			}
		}
		if len(kept) == 0 {
			delete(m.parts, part)
			continue
		}
		m.parts[part] = kept
	}
}

// use notes that a target holds a part or will have read it soon.
func (m *Map) use(h Holding, now time.Time, own bool) {
	ready := now
	if !h.Read {
		ready = now.Add(readMost)
	}
	holders := m.parts[h.Part]
	for i := range holders {
		known := &holders[i]
		if known.target != h.Target {
			continue
		}
		known.used = now
		learnt := h.Read && ready.Before(known.ready)
		if learnt {
			known.ready = ready
		}
		if own && !learnt && now.Sub(known.announced) < announceEvery {
			return
		}
		known.announced = now
		if own {
			h.Read = !now.Before(known.ready)
			m.news = append(m.news, h)
		}
		return
	}
	m.parts[h.Part] = append(holders, holder{target: h.Target, used: now, announced: now, ready: ready})
	if own {
		m.news = append(m.news, h)
	}
}
