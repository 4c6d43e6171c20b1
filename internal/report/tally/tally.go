// Package tally counts, per workspace and day, how the calls of a fleet ended.
package tally

import (
	"sort"
	"sync"
	"time"

	"hickoryrock/internal/caller/outcome"
)

const (
	// HoursPerDay is the number of hours of a wall clock.
	HoursPerDay = 24
	// MaxUnknown bounds the number of unknown calls of a day that are listed by
	// key; the rest are only counted. It keeps a record below the platform's
	// maximum value size.
	MaxUnknown = 50
	// DateFormat is the layout of dates for package time.
	DateFormat = time.DateOnly
)

type (
	// Call is one call that has ended.
	Call struct {
		Workspace string
		// TimeZone is the workspace's time zone, in which its days begin and end.
		TimeZone *time.Location
		// Ended is the time at which the call ended.
		Ended time.Time
		// TTFB is the time to the first token, or to the response.
		TTFB time.Duration
		// Late is set when TTFB exceeds the workspace's latency objective.
		Late bool
		// AtMostOnce is set for at-most-once calls.
		AtMostOnce bool
		// Replayed is set when the result is that of an earlier call with the same
		// key. Such calls are not counted.
		Replayed bool
		// Resumed is set when the response was started on another connection.
		Resumed bool
		Service string
		Method  string
		Key     string
		// Failure is nil for a call that is done.
		Failure *outcome.Failure
	}

	// Hour holds the counts of one hour.
	Hour struct {
		// Asked counts calls, each once even if it was repeated or resumed.
		Asked   int `json:"asked,omitempty"`
		Arrived int `json:"arrived,omitempty"`
		Late    int `json:"late,omitempty"`
		// Booked counts at-most-once calls that were executed and whose response arrived.
		Booked  int `json:"booked,omitempty"`
		NotRun  int `json:"not-run,omitempty"`
		Unknown int `json:"unknown,omitempty"`
		// Interrupted counts responses that were not completely written to the
		// caller. A resumed response subtracts one, so the sum can be negative.
		Interrupted int `json:"interrupted,omitempty"`
		// LongestWait is the longest wait for a response that arrived.
		LongestWait time.Duration `json:"longest-wait-nanoseconds,omitempty"`
	}

	// UnknownCall is an at-most-once call for which it is unknown whether it was
	// executed.
	UnknownCall struct {
		Key     string         `json:"key"`
		Service string         `json:"service"`
		Method  string         `json:"method"`
		Time    time.Time      `json:"time"`
		Reason  outcome.Reason `json:"reason"`
	}

	// Day holds the counts of one workspace on one day.
	Day struct {
		// Hours holds the counts by wall-clock hour; hours without counts are absent.
		Hours        map[int]*Hour          `json:"hours,omitempty"`
		Refusals     map[outcome.Reason]int `json:"refusals,omitempty"`
		UnknownCalls []UnknownCall          `json:"unknown-calls,omitempty"`
	}

	// Key identifies one workspace's day.
	Key struct {
		Workspace string `json:"workspace"`
		Date      string `json:"date"`
	}

	// Batch holds increments for any number of days.
	Batch map[Key]*Day

	// Counter collects the increments of one router. It is safe for concurrent use.
	Counter struct {
		mu    sync.Mutex
		batch Batch
	}
)

// New returns an empty counter.
func New() *Counter {
	return &Counter{batch: Batch{}}
}

// Add counts one call.
func (c *Counter) Add(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch.add(call)
}

// Take returns the increments since the last Take.
func (c *Counter) Take() Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.batch
	c.batch = Batch{}
	return b
}

// Merge adds the increments of another batch.
func (b Batch) Merge(o Batch) {
	for k, d := range o {
		if b[k] == nil {
			b[k] = &Day{}
		}
		b[k].Merge(d)
	}
}

// Merge adds the increments of another day.
func (d *Day) Merge(o *Day) {
	for hour, h := range o.Hours {
		d.hour(hour).merge(*h)
	}
	for reason, n := range o.Refusals {
		d.countFailure(reason, n)
	}
	d.UnknownCalls = append(d.UnknownCalls, o.UnknownCalls...)
	sort.SliceStable(d.UnknownCalls, func(i, j int) bool {
		return d.UnknownCalls[i].Time.Before(d.UnknownCalls[j].Time)
	})
	d.UnknownCalls = d.UnknownCalls[:min(len(d.UnknownCalls), MaxUnknown)]
}

// Total returns the counts of the whole day.
func (d *Day) Total() Hour {
	var total Hour
	for _, h := range d.Hours {
		total.merge(*h)
	}
	return total
}

func (b Batch) add(c Call) {
	if c.Replayed {
		return
	}
	local := c.Ended.In(c.TimeZone)
	k := Key{Workspace: c.Workspace, Date: local.Format(DateFormat)}
	if b[k] == nil {
		b[k] = &Day{}
	}
	b[k].add(c, local.Hour())
}

func (d *Day) add(c Call, hour int) {
	h := d.hour(hour)
	if c.Resumed {
		h.Interrupted--
	} else {
		h.Asked++
	}
	if c.Failure == nil {
		h.addArrived(c)
		return
	}
	d.countFailure(c.Failure.Reason, 1)
	switch {
	case c.Failure.Reason == outcome.ReasonCancelled && !c.AtMostOnce:
		h.Interrupted++
	case c.Failure.Status == outcome.NotRun:
		h.NotRun++
	default:
		h.Unknown++
		d.addUnknownCall(c)
	}
}

func (d *Day) hour(hour int) *Hour {
	if d.Hours == nil {
		d.Hours = map[int]*Hour{}
	}
	if d.Hours[hour] == nil {
		d.Hours[hour] = &Hour{}
	}
	return d.Hours[hour]
}

func (d *Day) addUnknownCall(c Call) {
	if !c.AtMostOnce || len(d.UnknownCalls) >= MaxUnknown {
		return
	}
	d.UnknownCalls = append(d.UnknownCalls, UnknownCall{
		Key: c.Key, Service: c.Service, Method: c.Method, Time: c.Ended, Reason: c.Failure.Reason,
	})
}

func (d *Day) countFailure(reason outcome.Reason, n int) {
	if d.Refusals == nil {
		d.Refusals = map[outcome.Reason]int{}
	}
	d.Refusals[reason] += n
}

func (h *Hour) addArrived(c Call) {
	h.Arrived++
	if c.Late {
		h.Late++
	}
	if c.AtMostOnce {
		h.Booked++
	}
	h.LongestWait = max(h.LongestWait, c.TTFB)
}

func (h *Hour) merge(o Hour) {
	h.Asked += o.Asked
	h.Arrived += o.Arrived
	h.Late += o.Late
	h.Booked += o.Booked
	h.NotRun += o.NotRun
	h.Unknown += o.Unknown
	h.Interrupted += o.Interrupted
	h.LongestWait = max(h.LongestWait, o.LongestWait)
}
