package affinity

import "time"

// Restore records what targets have cached already, as reported by them or by
// another router.
func (x *CacheIndex) Restore(holdings []Holding, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range holdings {
		x.record(h, now, false)
	}
}

// MarkRestored marks the index as restored from all available sources. It must be
// called only once.
func (x *CacheIndex) MarkRestored() { close(x.restored) }

// Restored returns a channel that is closed when the index has been restored.
func (x *CacheIndex) Restored() <-chan struct{} { return x.restored }

// ApplyUpdates records holdings that another router has announced.
func (x *CacheIndex) ApplyUpdates(holdings []Holding, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range holdings {
		x.record(h, now, false)
	}
}

// MarkPrefilled records that a target has prefilled parts that were assigned to it.
func (x *CacheIndex) MarkPrefilled(parts []Part, target uint64, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range parts {
		for _, h := range x.parts[p.Hash] {
			if h.target == target && now.Before(h.prefilledAt) {
				x.record(Holding{Part: p.Hash, Target: target, Prefilled: true}, now, true)
			}
		}
	}
}

// Holdings returns all holdings that have not expired.
func (x *CacheIndex) Holdings(now time.Time) []Holding {
	x.mu.Lock()
	defer x.mu.Unlock()
	var all []Holding
	for part, holders := range x.parts {
		for _, h := range holders {
			if now.Sub(h.lastUsed) < holdingTTL {
				all = append(all, Holding{Part: part, Target: h.target, Prefilled: !now.Before(h.prefilledAt)})
			}
		}
	}
	return all
}

// Count returns the number of holdings, including those that have expired but are not yet removed,
// and of those that wait for their announcement.
func (x *CacheIndex) Count() (holdings, unannounced int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.holdings, len(x.updates) + len(x.refreshes)
}

// Updated returns a channel that receives a value when there are holdings for
// TakeUpdates.
func (x *CacheIndex) Updated() <-chan struct{} { return x.updated }

// TakeUpdates removes and returns at most limit holdings that the other routers do not
// know. They should be announced at once: until then, routers may have the same prompt
// prefilled by other targets.
func (x *CacheIndex) TakeUpdates(limit int) []Holding {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := take(&x.updates, limit)
	if len(x.updates) > 0 {
		x.signalUpdate()
	}
	return out
}

// TakeRefreshes removes and returns at most limit holdings that the other routers know
// and that have been used again. Their announcement may wait.
func (x *CacheIndex) TakeRefreshes(limit int) []Holding {
	x.mu.Lock()
	defer x.mu.Unlock()
	return take(&x.refreshes, limit)
}

func take(queue *[]Holding, limit int) []Holding {
	n := min(limit, len(*queue))
	out := append([]Holding(nil), (*queue)[:n]...)
	*queue = (*queue)[n:]
	if len(*queue) == 0 {
		*queue = nil
	}
	return out
}

func (x *CacheIndex) signalUpdate() {
	select {
	case x.updated <- struct{}{}:
	default:
	}
}

// Expire removes holdings that have not been used for holdingTTL, and those of
// targets that are not listed.
func (x *CacheIndex) Expire(listed map[uint64]bool, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for part, holders := range x.parts {
		kept := holders[:0]
		for _, h := range holders {
			if listed[h.target] && now.Sub(h.lastUsed) < holdingTTL {
				kept = append(kept, h)
			}
		}
		x.holdings -= len(holders) - len(kept)
		if len(kept) == 0 {
			delete(x.parts, part)
			continue
		}
		x.parts[part] = kept
	}
}

// record adds or refreshes a holding. With local set the holding comes from
// this router's own calls and is queued for announcement: as an update if it is new or
// reports that the part has been prefilled, otherwise as a refresh, at most once per
// announceInterval.
func (x *CacheIndex) record(h Holding, now time.Time, local bool) {
	prefilledAt := now
	if !h.Prefilled {
		prefilledAt = now.Add(prefillTimeout)
	}
	holders := x.parts[h.Part]
	for i := range holders {
		existing := &holders[i]
		if existing.target != h.Target {
			continue
		}
		existing.lastUsed = now
		newlyPrefilled := h.Prefilled && prefilledAt.Before(existing.prefilledAt)
		if newlyPrefilled {
			existing.prefilledAt = prefilledAt
		}
		if local && !newlyPrefilled && now.Sub(existing.lastAnnounced) < announceInterval {
			return
		}
		existing.lastAnnounced = now
		switch {
		case !local:
		case newlyPrefilled:
			x.queueUpdate(h)
		case len(x.refreshes) < maxRefreshes:
			// The loads that are announced with it include the prompt's tokens.
			h.Prefilled, h.PrefillTokens = !now.Before(existing.prefilledAt), 0
			x.refreshes = append(x.refreshes, h)
		}
		return
	}
	x.holdings++
	x.parts[h.Part] = append(holders, holder{target: h.Target, lastUsed: now, lastAnnounced: now, prefilledAt: prefilledAt})
	if local {
		x.queueUpdate(h)
	}
}

func (x *CacheIndex) queueUpdate(h Holding) {
	x.updates = append(x.updates, h)
	x.signalUpdate()
}
