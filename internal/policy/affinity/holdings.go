package affinity

import "time"

// Restore records what targets have cached already, as reported by them or by
// another router.
func (m *CacheIndex) Restore(holdings []Holding, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range holdings {
		m.record(h, now, false)
	}
}

// MarkRestored marks the map as restored from all available sources. It must be
// called only once.
func (m *CacheIndex) MarkRestored() { close(m.restored) }

// Restored returns a channel that is closed when the map has been restored.
func (m *CacheIndex) Restored() <-chan struct{} { return m.restored }

// ApplyUpdates records holdings that another router has announced.
func (m *CacheIndex) ApplyUpdates(holdings []Holding, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range holdings {
		m.record(h, now, false)
	}
}

// MarkPrefilled records that a target has prefilled parts that were assigned to it.
func (m *CacheIndex) MarkPrefilled(parts []Part, target uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range parts {
		for _, h := range m.parts[p.Hash] {
			if h.target == target && now.Before(h.prefilledAt) {
				m.record(Holding{Part: p.Hash, Target: target, Prefilled: true}, now, true)
			}
		}
	}
}

// Holdings returns all holdings that have not expired.
func (m *CacheIndex) Holdings(now time.Time) []Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Holding
	for part, holders := range m.parts {
		for _, h := range holders {
			if now.Sub(h.lastUsed) < holdingTTL {
				all = append(all, Holding{Part: part, Target: h.target, Prefilled: !now.Before(h.prefilledAt)})
			}
		}
	}
	return all
}

// TakeUpdates removes and returns at most limit holdings that have not been announced
// to the other routers.
func (m *CacheIndex) TakeUpdates(limit int) []Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(limit, len(m.updates))
	out := append([]Holding(nil), m.updates[:n]...)
	m.updates = m.updates[n:]
	if len(m.updates) == 0 {
		m.updates = nil
	}
	return out
}

// Expire removes holdings that have not been used for holdingTTL, and those of
// targets that are not listed.
func (m *CacheIndex) Expire(listed map[uint64]bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for part, holders := range m.parts {
		kept := holders[:0]
		for _, h := range holders {
			if listed[h.target] && now.Sub(h.lastUsed) < holdingTTL {
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

// record adds or refreshes a holding. With local set the holding comes from
// this router's own calls and is queued for announcement, at most once per
// announceInterval unless it reports that the part has been prefilled.
func (m *CacheIndex) record(h Holding, now time.Time, local bool) {
	prefilledAt := now
	if !h.Prefilled {
		prefilledAt = now.Add(prefillTimeout)
	}
	holders := m.parts[h.Part]
	for i := range holders {
		known := &holders[i]
		if known.target != h.Target {
			continue
		}
		known.lastUsed = now
		prefillLearned := h.Prefilled && prefilledAt.Before(known.prefilledAt)
		if prefillLearned {
			known.prefilledAt = prefilledAt
		}
		if local && !prefillLearned && now.Sub(known.lastAnnounced) < announceInterval {
			return
		}
		known.lastAnnounced = now
		if local {
			h.Prefilled = !now.Before(known.prefilledAt)
			m.updates = append(m.updates, h)
		}
		return
	}
	m.parts[h.Part] = append(holders, holder{target: h.Target, lastUsed: now, lastAnnounced: now, prefilledAt: prefilledAt})
	if local {
		m.updates = append(m.updates, h)
	}
}
