package targetpace

import (
	"slices"
	"time"
)

const (
	// maxReported bounds a report, so that it fits into a datagram.
	maxReported = 30
	// maxReports is the number of reports that carry a change, so that one which is lost does
	// not leave the others without it until the next one.
	maxReports = 3
)

// Report is what a router tells the others of the window of one target.
type Report struct {
	Target uint64
	// Epoch is the number of the epoch, Level the window at its beginning in calls in flight.
	Epoch, Level uint32
	// Successes counts the answers in the epoch to the sender's process.
	Successes uint32
}

// TakeReport returns what the other routers should be told now: the windows that have changed
// since one of the last reports.
func (t *Tracker) TakeReport(now time.Time) []Report {
	t.lock(now)
	defer t.unlock()
	t.prune(now, retention)
	var due []*target
	for _, known := range t.targets {
		if known.window.reportsDue > 0 {
			due = append(due, known)
		}
	}
	// If there are too many, those with the latest changes come first.
	slices.SortFunc(due, func(a, b *target) int { return b.window.reportsDue - a.window.reportsDue })
	due = due[:min(len(due), maxReported)]
	out := make([]Report, len(due))
	for i, known := range due {
		w := &known.window
		w.reportsDue--
		out[i] = Report{Target: known.hash, Epoch: w.epoch, Level: w.level, Successes: w.own}
	}
	return out
}

// ReportAll makes the next reports carry all targets that are not settled, for a router that has
// just started.
func (t *Tracker) ReportAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range t.targets {
		if known.window.open {
			known.window.reportsDue = maxReports
		}
	}
}

// Merge adds the report of another router, identified by the hash of its process.
func (t *Tracker) Merge(process uint64, reports []Report, now time.Time) {
	t.lock(now)
	defer t.unlock()
	for _, r := range reports {
		if r.Epoch == 0 {
			continue
		}
		known := t.targets[r.Target]
		if known == nil {
			if known = t.add(r.Target, t.serviceOf(r.Target), now); known == nil {
				continue
			}
		}
		t.advance(known, now)
		from, epoch, wasOpen := known.pace(), known.window.epoch, known.window.open
		if !known.window.merge(process, r, now) {
			continue
		}
		if known.window.epoch != epoch {
			t.announce(known, from, "reported", now)
		}
		if wasOpen != known.window.open {
			t.count(known.service)
		}
		t.advance(known, now)
	}
}

// serviceOf returns the service of which a target is known, or an empty string.
func (t *Tracker) serviceOf(hash uint64) string {
	for name, s := range t.services {
		if slices.Contains(s.targets, hash) {
			return name
		}
	}
	return ""
}
