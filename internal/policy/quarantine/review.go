package quarantine

import (
	"slices"
	"time"
)

// evidence holds the crashes that nothing in quarantine accounts for.
type evidence struct {
	crashes []*crash
	byPart  map[uint64][]*crash
}

// review quarantines the parts that the settled crashes condemn. The lock must be held.
func (t *Tracker) review(now time.Time) {
	if t.reviewAt.IsZero() || now.Before(t.reviewAt) {
		return
	}
	t.reviewAt = time.Time{}
	settle := t.opts.SettleTime()
	for _, c := range t.crashes {
		if settled := c.knownAt.Add(settle); settled.After(now) && (t.reviewAt.IsZero() || settled.Before(t.reviewAt)) {
			t.reviewAt = settled
		}
	}
	for {
		e := t.evidence(now.Add(-settle), now)
		part, crashes := e.guilty(t.records)
		if len(crashes) == 0 {
			return
		}
		t.quarantine(part, crashes, now)
	}
}

// evidence returns the crashes known until a time that no quarantined part accounts for. The
// lock must be held.
func (t *Tracker) evidence(until, now time.Time) evidence {
	t.expire(now)
	e := evidence{byPart: make(map[uint64][]*crash)}
	for _, c := range t.crashes {
		if c.knownAt.After(until) || t.isExplained(c, now) {
			continue
		}
		e.crashes = append(e.crashes, c)
		for _, p := range c.parts {
			e.byPart[p] = append(e.byPart[p], c)
		}
	}
	return e
}

// isExplained reports whether a quarantined part accounts for a crash. The lock must be
// held.
func (t *Tracker) isExplained(c *crash, now time.Time) bool {
	return slices.ContainsFunc(c.parts, func(p uint64) bool { return t.isQuarantined(p, now) })
}

// guilty returns the part that accounts for most crashes, with them, or none if there is
// not enough evidence. A part with a record is guilty after one crash.
func (e evidence) guilty(records map[uint64]*Record) (part uint64, crashes []*crash) {
	most := 0
	for p, list := range e.byPart {
		n := separate(list)
		isEnough := records[p] != nil || (n >= minCrashes && n >= e.needed(p))
		if isEnough && (n > most || (n == most && p < part)) {
			part, crashes, most = p, list, n
		}
	}
	return part, crashes
}

// needed returns the number of separate crashes at which a part is quarantined. Targets
// that end for another reason meanwhile make it more likely that a sound part was
// answered there by chance.
func (e evidence) needed(part uint64) int {
	if e.hasAlternative(part) {
		return maxNeededCrashes
	}
	first := e.byPart[part][0].at
	for _, c := range e.byPart[part] {
		if c.at.Before(first) {
			first = c.at
		}
	}
	var others []*crash
	for _, c := range e.crashes {
		if !c.at.Before(first) && !slices.ContainsFunc(c.parts, e.isStrong) {
			others = append(others, c)
		}
	}
	return min(minCrashes+crashesPerOther*separate(others), maxNeededCrashes)
}

// isStrong reports whether a part may account for its crashes by itself.
func (e evidence) isStrong(part uint64) bool { return separate(e.byPart[part]) >= minCrashes }

// hasAlternative reports whether another part was answered in all crashes of a part, so
// that either of them may be the cause.
func (e evidence) hasAlternative(part uint64) bool {
	own := e.byPart[part]
	for _, other := range own[0].parts {
		if other != part && !slices.ContainsFunc(own, func(c *crash) bool { return !slices.Contains(c.parts, other) }) {
			return true
		}
	}
	return false
}

// separate returns the number of crashes that are at least crashSpacing apart.
func separate(crashes []*crash) int {
	times := make([]time.Time, len(crashes))
	for i, c := range crashes {
		times[i] = c.at
	}
	slices.SortFunc(times, time.Time.Compare)
	n, last := 0, time.Time{}
	for _, at := range times {
		if n == 0 || at.Sub(last) >= crashSpacing {
			n, last = n+1, at
		}
	}
	return n
}

// quarantine records a part that crashes targets. The lock must be held.
func (t *Tracker) quarantine(part uint64, crashes []*crash, now time.Time) {
	r := t.record(part)
	for _, c := range crashes {
		if c.at.After(r.LastCrash) {
			r.LastCrash = c.at
		}
	}
	r.Crashes += len(crashes)
	r.LastSeen = now
	t.outbox.addRecord(part)
	t.opts.OnChange(Change{Record: *r})
	t.signalChange()
}

// record returns the record of a part. If there are too many, the one that was seen least
// recently is dropped. The lock must be held.
func (t *Tracker) record(part uint64) *Record {
	if r := t.records[part]; r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		var oldest *Record
		for _, r := range t.records {
			if oldest == nil || r.LastSeen.Before(oldest.LastSeen) {
				oldest = r
			}
		}
		delete(t.records, oldest.Part)
	}
	r := &Record{Part: part}
	t.records[part] = r
	return r
}

// suspicion returns the standing of parts that are not quarantined. The lock must be held.
func (t *Tracker) suspicion(parts []uint64, now time.Time) Standing {
	t.expire(now)
	worst := Clear
	for _, p := range parts {
		var crashes []*crash
		for _, c := range t.crashes {
			if slices.Contains(c.parts, p) && !t.isExplained(c, now) {
				crashes = append(crashes, c)
			}
		}
		answered, ok := t.answers[p]
		switch n := separate(crashes); {
		case n > 1:
			return Repeated
		case n == 1 && (!ok || now.Sub(answered) > answerTTL):
			worst = Suspected
		}
	}
	return worst
}
