package quarantine

import (
	"slices"
	"time"
)

const (
	// crashRepeats is the number of reports that carry a crash or a new record, since
	// datagrams may be lost; answerRepeats is the same for answers.
	crashRepeats  = 3
	answerRepeats = 2
	// maxReportCrashes, maxReportAnswers and maxReportRecords keep a report within a
	// datagram.
	maxReportCrashes = 4
	maxReportAnswers = 24
	maxReportRecords = 4
	// maxReportParts bounds the parts of one crash in a report.
	maxReportParts = 16
	// maxQueued bounds each of the queues for reports.
	maxQueued = 256
)

type (
	// Report is what one router tells the others.
	Report struct {
		Crashes []Crash
		Answers []Answer
		Records []Record
	}

	// outbox holds what the next reports carry.
	outbox struct {
		crashes []queued[Crash]
		answers []queued[Answer]
		// records holds parts, so that a report carries the latest state of their records.
		records []queued[uint64]
		// urgent signals a crash or a record that the others should know at once.
		urgent chan struct{}
		// next is the position in the rotation of all records.
		next int
	}

	// queued is a value that the next reports carry, as often as repeats says.
	queued[T any] struct {
		value   T
		repeats int
	}
)

func newOutbox() outbox { return outbox{urgent: make(chan struct{}, 1)} }

// Urgent receives a value when there is something to report at once.
func (t *Tracker) Urgent() <-chan struct{} { return t.outbox.urgent }

// TakeReport returns what the other routers should be told now. A full report also
// carries some of the records that they may know already.
func (t *Tracker) TakeReport(full bool, now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.review(now)
	var r Report
	o := &t.outbox
	r.Crashes, o.crashes = take(o.crashes, maxReportCrashes)
	for i, c := range r.Crashes {
		r.Crashes[i].Parts = slices.Clone(c.Parts) // The queue may add more.
	}
	r.Answers, o.answers = take(o.answers, maxReportAnswers)
	var parts []uint64
	parts, o.records = take(o.records, maxReportRecords)
	for _, p := range parts {
		if record := t.records[p]; record != nil {
			r.Records = append(r.Records, *record)
		}
	}
	if full {
		r.Records = append(r.Records, t.rotateRecords(maxReportRecords-len(r.Records), now)...)
	}
	return r
}

// take returns up to n values for a report, and the queue without those that have been
// reported often enough.
func take[T any](queue []queued[T], n int) (values []T, rest []queued[T]) {
	for i := range queue[:min(len(queue), n)] {
		values = append(values, queue[i].value)
		queue[i].repeats--
	}
	return values, slices.DeleteFunc(queue, func(q queued[T]) bool { return q.repeats <= 0 })
}

// rotateRecords returns up to n active records, others each time. The lock must be held.
func (t *Tracker) rotateRecords(n int, now time.Time) []Record {
	var parts []uint64
	for p, r := range t.records {
		if r.IsActive(now) {
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	var out []Record
	for range min(n, len(parts)) {
		out = append(out, *t.records[parts[t.outbox.next%len(parts)]])
		t.outbox.next++
	}
	return out
}

// Merge adds another router's report.
func (t *Tracker) Merge(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range r.Answers {
		t.acquit(a)
		t.outbox.dropAnswer(a)
	}
	t.boundAnswers(now)
	for _, c := range r.Crashes {
		t.addCrash(c, now)
	}
	for _, record := range r.Records {
		t.mergeRecord(record, now)
	}
}

// Restore adds records that were kept in the platform's store.
func (t *Tracker) Restore(records []Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.mergeRecord(r, now)
	}
}

// mergeRecord adds a record of another router, unless the part has been answered
// completely since its last crash. The lock must be held.
func (t *Tracker) mergeRecord(r Record, now time.Time) {
	if answered, ok := t.answers[r.Part]; ok && answered.After(r.LastCrash) {
		t.outbox.addAnswer(Answer{r.Part, answered})
		return
	}
	if now.Sub(r.LastSeen) > recordTTL || later(r.LastCrash, r.LastSeen).Sub(now) > maxClockSkew {
		return
	}
	isNew := t.records[r.Part] == nil
	known := t.record(r.Part)
	known.Crashes = max(known.Crashes, r.Crashes)
	known.LastCrash = later(known.LastCrash, earlier(r.LastCrash, now))
	known.LastSeen = later(known.LastSeen, earlier(r.LastSeen, now))
	if isNew {
		t.opts.OnChange(Change{Record: *known, Reported: true})
		t.signalChange()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addCrash queues a crash. The calls that it has cut are reported together. If they have too many
// parts, those that were lately answered give way.
func (o *outbox) addCrash(c Crash, wasAnswered func(part uint64) bool) {
	defer o.signal()
	i := slices.IndexFunc(o.crashes, func(q queued[Crash]) bool {
		return q.value.Target == c.Target && c.At.Sub(q.value.At).Abs() < crashNoticeTime
	})
	if i < 0 {
		if len(o.crashes) >= maxQueued {
			return
		}
		o.crashes = append(o.crashes, queued[Crash]{value: Crash{Target: c.Target, At: c.At}})
		i = len(o.crashes) - 1
	}
	q := &o.crashes[i]
	for _, p := range c.Parts {
		q.value.Parts, _ = addBounded(q.value.Parts, p, maxReportParts, wasAnswered)
	}
	q.repeats = crashRepeats
}

// addBounded adds a part to those of a crash, of which there are at most limit. At the limit, it
// takes the place of one that was answered lately, unless it was itself. It reports whether the part
// was added.
func addBounded(parts []uint64, part uint64, limit int, wasAnswered func(part uint64) bool) ([]uint64, bool) {
	if slices.Contains(parts, part) {
		return parts, false
	}
	if len(parts) < limit {
		return append(parts, part), true
	}
	if i := slices.IndexFunc(parts, wasAnswered); i >= 0 && !wasAnswered(part) {
		parts[i] = part
		return parts, true
	}
	return parts, false
}

func (o *outbox) addRecord(part uint64) {
	if len(o.records) < maxQueued {
		o.records = append(o.records, queued[uint64]{part, crashRepeats})
	}
	o.signal()
}

func (o *outbox) addAnswer(a Answer) {
	for i, q := range o.answers {
		if q.value.Part == a.Part {
			if a.At.After(q.value.At) {
				o.answers[i].value = a
			}
			return
		}
	}
	if len(o.answers) < maxQueued {
		o.answers = append(o.answers, queued[Answer]{a, answerRepeats})
	}
}

// dropAnswer drops a queued answer that another router has reported.
func (o *outbox) dropAnswer(a Answer) {
	o.answers = slices.DeleteFunc(o.answers, func(q queued[Answer]) bool {
		return q.value.Part == a.Part && !q.value.At.After(a.At)
	})
}

func (o *outbox) signal() {
	select {
	case o.urgent <- struct{}{}:
	default:
	}
}
