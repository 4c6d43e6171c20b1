package targetpace

import (
	"math"
	"time"
)

const (
	// boundWindow is the length of the windows in which the rate is counted against the bound:
	// one second, and a tenth for calls that take different times on their way to the target.
	boundWindow = 1.1
	// boundMargin is the number of calls of the bound that stay unused.
	boundMargin = 1
	// minColdRate is the rate, in calls a second, of the only sender to a target whose bound
	// leaves no room beside its burst. At most one call falls into a second.
	minColdRate = 0.9
	// maxColdRate is the rate from which a bound does not matter.
	maxColdRate = 1e6
	// maxCold bounds how long a target is cold, so that a wrong value does not limit it for good.
	maxCold = 10 * time.Minute
	// staleStatement is the age up to which a statement may be older than it looks: entries
	// are renewed every 1.2 s, so that one from before the target turned cold may arrive after
	// an answer that says it is.
	staleStatement = 1500 * time.Millisecond
	// maxDebt is the number of calls by which a share can be overdrawn.
	maxDebt = 20
)

type (
	// Limit bounds the calls to a cold target from all routers: in each second PerSecond x
	// Overshoot + Slack. A PerSecond of zero or less means no bound.
	Limit struct {
		PerSecond float64
		Overshoot float64
		// Slack is a number of calls.
		Slack float64
	}

	// cold says until when a target is cold.
	cold struct {
		active   bool
		until    time.Time
		stated   bool
		statedAt time.Time
		limit    Limit
		// nextAt is when this router may send the next call, if it is a sender.
		nextAt time.Time
	}
)

// coldEnd returns until when a target is cold by a state alone.
func (s State) coldEnd(now time.Time) time.Time {
	at := s.receivedAt(now)
	switch {
	case s.ColdStated:
		return at.Add(min(max(s.ColdLeft, 0), maxCold))
	case s.hasStarted(now) && s.ColdStart > 0:
		if s.Started.Before(at) {
			at = s.Started
		}
		return at.Add(min(s.ColdStart, maxCold))
	}
	return time.Time{}
}

func (s State) receivedAt(now time.Time) time.Time {
	if s.At.IsZero() || s.At.After(now) {
		return now
	}
	return s.At
}

// observeCold takes over what a state says about how long a target is cold. A statement
// replaces what follows from the start time, and an earlier statement.
func (t *Tracker) observeCold(known *target, s State, now time.Time) {
	c := &known.cold
	c.limit = s.Limit
	end, at := s.coldEnd(now), s.receivedAt(now)
	switch {
	case s.ColdStated:
		isOlder := c.stated && !at.After(c.statedAt)
		isStale := c.stated && end.Before(c.until) && at.Sub(c.statedAt) < staleStatement
		if isOlder || isStale {
			return
		}
		c.until, c.stated, c.statedAt = end, true, at
	case c.stated || !c.until.IsZero():
		return
	default:
		c.until = end
	}
	if !c.active && c.until.After(now) {
		from := known.pace()
		c.active = true
		t.announce(known, from, "cold", now)
		if !known.window.open {
			t.open(known, "cold", now)
		}
	}
}

// coldWait reports whether this router may send a call to a target under the bound for cold
// targets, and if not, how long it has to wait.
func (t *Tracker) coldWait(known *target, now time.Time) (time.Duration, bool) {
	c := &known.cold
	if !c.active || !c.limit.applies() {
		return 0, true
	}
	left := c.until.Sub(now)
	if t.coldInterval(known) == 0 {
		return left, false
	}
	if wait := c.nextAt.Sub(now); wait > 0 {
		return min(wait, left), false
	}
	return 0, true
}

// takeCold counts a call against this router's share of the bound.
func (t *Tracker) takeCold(known *target, now time.Time) {
	c := &known.cold
	if !c.active || !c.limit.applies() {
		return
	}
	interval := t.coldInterval(known)
	if c.nextAt.Before(now) {
		c.nextAt = now
	}
	if c.nextAt.Sub(now) < maxDebt*interval {
		c.nextAt = c.nextAt.Add(interval)
	}
}

// coldInterval returns the time between two calls of this router to a cold target, or zero if
// it may send none.
func (t *Tracker) coldInterval(known *target) time.Duration {
	senders, rate := known.cold.limit.senders(len(t.fleet.lastSeen) + 1)
	if !t.fleet.joined || t.ranks(known).known >= senders {
		return 0
	}
	return time.Duration(min(float64(senders)/rate, maxCold.Seconds()) * float64(time.Second))
}

func (l Limit) applies() bool {
	return l.PerSecond > 0 && l.PerSecond < maxColdRate
}

// senders returns how many of the routers may send to a cold target and the rate that they
// share, in calls a second. In addition to the rate each may send one call at any moment, so the
// bound must have room for both.
func (l Limit) senders(routers int) (senders int, rate float64) {
	if !isCount(l.Overshoot) {
		l.Overshoot = 1
	}
	if !isCount(l.Slack) {
		l.Slack = 0
	}
	bound := l.PerSecond*l.Overshoot + l.Slack
	if bound < 1 {
		return 0, 0
	}
	spare := bound - boundMargin
	senders = int(min(max(spare-boundWindow*l.PerSecond, 1), float64(max(routers, 1))))
	return senders, min(l.PerSecond, max((spare-float64(senders))/boundWindow, minColdRate))
}

// isCount reports whether a setting is a finite number that is not negative.
func isCount(x float64) bool {
	return x >= 0 && !math.IsInf(x, 1)
}
