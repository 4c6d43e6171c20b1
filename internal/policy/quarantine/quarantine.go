// Package quarantine finds the prompt parts that crash the targets which answer them,
// from the crashes and the complete answers that all routers of a fleet have seen.
// Callers pass the current time to every function that needs it.
package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"
)

// ProgressInterval is how long an answer has gone on when it shows that its parts do not crash
// targets, and the time after which it shows so again.
const ProgressInterval = 500 * time.Millisecond

const (
	// minCrashes is the number of separate crashes from which a part is quarantined that
	// no other part accounts for as well.
	minCrashes = 4
	// crashesPerOther is how many more are needed for each crash that has another cause.
	// maxNeededCrashes are enough in any case: a sound part is hardly answered in so many
	// crashes and completely nowhere.
	crashesPerOther  = 2
	maxNeededCrashes = 7
	// crashSpacing is the time within which crashes count as one: a loss of power or of a
	// rack ends many targets at once and says nothing about their calls.
	crashSpacing = 100 * time.Millisecond
	// crashNoticeTime is the time within which all reports of an incarnation are of the same crash.
	// A router whose connections fell silent notices it no later than at the calls' deadlines.
	crashNoticeTime = time.Minute
	// evidenceTTL is the age at which a crash is forgotten.
	evidenceTTL = 10 * time.Minute
	// quarantineTTL is the time after the last call or crash at which calls with a
	// quarantined part are let through again. Until recordTTL, one more crash is enough.
	quarantineTTL = 10 * time.Minute
	recordTTL     = 24 * time.Hour
	// maxClockSkew is the time by which the clock of another VM may be ahead. A record that is
	// later than that was not written by a router.
	maxClockSkew = time.Hour
	// answerTTL is the time for which the last complete answer with a part is remembered.
	answerTTL = 30 * time.Second
	// defaultSettleTime is the time after which a crash that was learned of counts, so that the
	// answers that other routers have completed since are known.
	defaultSettleTime = 300 * time.Millisecond

	maxCrashes    = 256
	maxCrashParts = 64
	maxRecords    = 64
	maxAnswers    = 8192
)

// The standings are ordered: a later one is worse.
const (
	// Clear means that nothing speaks against the parts.
	Clear Standing = iota
	// Suspected means that a target crashed while it answered a call with a part that no
	// router has lately seen in a complete answer.
	Suspected
	// Repeated means that this has happened again without a complete answer between.
	Repeated
	// Quarantined means that one of the parts crashes targets.
	Quarantined
)

type (
	// Standing says what is known against the parts of a prompt.
	Standing uint8

	// Crash says that a target ended while it answered calls with some prompt parts.
	Crash struct {
		// Target identifies the target's incarnation.
		Target uint64
		At     time.Time
		// Parts are hashes of parts that several calls may share.
		Parts []uint64
	}

	// Answer says that a call with a prompt part was answered, completely or for a while.
	Answer struct {
		Part uint64
		At   time.Time
	}

	// Record is what is known of a part that crashes targets.
	Record struct {
		Part uint64
		// Crashes counts the crashes that the part accounts for.
		Crashes int
		// LastCrash is the time of the last of them, LastSeen that of the last crash or call.
		LastCrash time.Time
		LastSeen  time.Time
	}

	// Tracker holds one router's knowledge. It is safe for concurrent use.
	Tracker struct {
		opts Options

		mu      sync.Mutex
		crashes []*crash
		answers map[uint64]time.Time
		records map[uint64]*Record
		// reviewAt is when the next crash settles; zero when none is left to consider.
		reviewAt time.Time
		// changed is closed and replaced when a standing may have changed.
		changed chan struct{}
		outbox  outbox
	}

	// crash is a crash with the parts of the calls that the target answered.
	crash struct {
		target uint64
		at     time.Time
		// knownAt is when this router has learned of the crash, or of the last of its parts.
		knownAt time.Time
		// parts may have caused the crash; acquitted parts have been answered completely since.
		parts     []uint64
		acquitted []uint64
	}
)

// NewTracker returns an empty tracker.
func NewTracker(opts ...Option) *Tracker {
	return &Tracker{
		opts: newOptions(opts), answers: make(map[uint64]time.Time), records: make(map[uint64]*Record),
		changed: make(chan struct{}), outbox: newOutbox(),
	}
}

// RecordCrash records a crash that cut an answer at this router, which had gone on for
// answerAge, and queues it for the others. A part that crashes targets does so when they begin
// to answer, so the parts of an answer that had gone on for a while are no suspects.
func (t *Tracker) RecordCrash(c Crash, answerAge time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answerAge >= ProgressInterval {
		t.recordAnswer(c.Parts, c.At)
		c.Parts = nil
	}
	t.outbox.addCrash(c, func(part uint64) bool { return t.wasAnswered(part, now) })
	t.addCrash(c, now)
}

// RecordAnswer records an answer to a call with the given parts that was complete at a time, or
// that went on after at least ProgressInterval.
func (t *Tracker) RecordAnswer(parts []uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordAnswer(parts, at)
}

// recordAnswer is RecordAnswer with the lock held.
func (t *Tracker) recordAnswer(parts []uint64, at time.Time) {
	for _, p := range parts {
		if t.acquit(Answer{p, at}) {
			t.outbox.addAnswer(Answer{p, at})
		}
	}
	t.boundAnswers(at)
}

// Admit returns the standing of a call with the given parts, and the record of the part
// that is quarantined, if one is. The call keeps that part in quarantine.
func (t *Tracker) Admit(parts []uint64, now time.Time) (Standing, Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.review(now)
	for _, p := range parts {
		if r := t.records[p]; r != nil && r.IsActive(now) {
			r.LastSeen = now
			return Quarantined, *r
		}
	}
	return t.suspicion(parts, now), Record{}
}

// Standing returns what is known against the given parts.
func (t *Tracker) Standing(parts []uint64, now time.Time) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.review(now)
	if slices.ContainsFunc(parts, func(p uint64) bool { return t.isQuarantined(p, now) }) {
		return Quarantined
	}
	return t.suspicion(parts, now)
}

// Changed returns a channel that is closed when standings may have changed.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Records returns the records of all parts that are or were quarantined, sorted by part.
func (t *Tracker) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.review(now)
	var out []Record
	for _, r := range t.records {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// PartName returns the name of a part in logs, in answers and in the store.
func PartName(part uint64) string { return strconv.FormatUint(part, 16) }

// IsActive reports whether calls with the part are refused.
func (r Record) IsActive(now time.Time) bool { return now.Sub(r.LastSeen) < quarantineTTL }

func (t *Tracker) isQuarantined(part uint64, now time.Time) bool {
	r := t.records[part]
	return r != nil && r.IsActive(now)
}

// addCrash merges a report of a crash. Several routers may report the same one. The lock
// must be held.
func (t *Tracker) addCrash(c Crash, now time.Time) {
	if now.Sub(c.At) > evidenceTTL {
		return
	}
	t.expire(now)
	i := slices.IndexFunc(t.crashes, func(known *crash) bool {
		return known.target == c.Target && known.at.Sub(c.At).Abs() < crashNoticeTime
	})
	if i < 0 {
		if len(t.crashes) == maxCrashes {
			t.crashes = slices.Delete(t.crashes, 0, 1)
		}
		t.crashes = append(t.crashes, &crash{target: c.Target, at: c.At, knownAt: now})
		i = len(t.crashes) - 1
	}
	for _, p := range c.Parts {
		t.addPart(t.crashes[i], p, now)
	}
	if settled := t.crashes[i].knownAt.Add(t.opts.SettleTime()); t.reviewAt.IsZero() || settled.Before(t.reviewAt) {
		t.reviewAt = settled
	}
	t.signalChange()
}

// addPart adds a part of a call that a target answered when it crashed. The lock must be
// held.
func (t *Tracker) addPart(c *crash, part uint64, now time.Time) {
	if slices.Contains(c.parts, part) || slices.Contains(c.acquitted, part) {
		return
	}
	if t.wasAnswered(part, now) {
		at := t.answers[part]
		t.outbox.addAnswer(Answer{part, at})
		if at.After(c.at) {
			c.addAcquitted(part)
			return
		}
	}
	var isNew bool
	c.parts, isNew = addBounded(c.parts, part, maxCrashParts, func(p uint64) bool { return t.wasAnswered(p, now) })
	if !isNew {
		return
	}
	c.knownAt = now
	if r := t.records[part]; r != nil && r.IsActive(now) {
		r.Crashes++
		r.LastCrash, r.LastSeen = c.at, now
	}
}

// addAcquitted adds a part that has been answered completely since the crash.
func (c *crash) addAcquitted(part uint64) {
	if len(c.acquitted) < maxCrashParts {
		c.acquitted = append(c.acquitted, part)
	}
}

// wasAnswered reports whether a call with the part was answered lately. The lock must be held.
func (t *Tracker) wasAnswered(part uint64, now time.Time) bool {
	at, ok := t.answers[part]
	return ok && now.Sub(at) < answerTTL
}

// expire forgets old crashes and records. The lock must be held.
func (t *Tracker) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) > evidenceTTL })
	for p, r := range t.records {
		if now.Sub(r.LastSeen) > recordTTL {
			delete(t.records, p)
		}
	}
}

// acquit takes a part that was answered completely out of all earlier crashes and out of
// quarantine. It reports whether anything was held against it. The lock must be held.
func (t *Tracker) acquit(a Answer) bool {
	if !a.At.After(t.answers[a.Part]) {
		return false
	}
	t.answers[a.Part] = a.At
	suspected := false
	for _, c := range t.crashes {
		if i := slices.Index(c.parts, a.Part); i >= 0 && a.At.After(c.at) {
			c.parts = slices.Delete(c.parts, i, i+1)
			c.addAcquitted(a.Part)
			suspected = true
		}
	}
	if r := t.records[a.Part]; r != nil && a.At.After(r.LastCrash) {
		delete(t.records, a.Part)
		t.opts.OnChange(Change{Record: *r, Released: true})
		suspected = true
	}
	if suspected {
		t.signalChange()
	}
	return suspected
}

// boundAnswers bounds the memory for complete answers. The lock must be held.
func (t *Tracker) boundAnswers(now time.Time) {
	if len(t.answers) <= maxAnswers {
		return
	}
	for ttl := answerTTL; len(t.answers) > maxAnswers/2; ttl /= 2 {
		for p, at := range t.answers {
			if now.Sub(at) >= ttl {
				delete(t.answers, p)
			}
		}
	}
}

func (t *Tracker) signalChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}
