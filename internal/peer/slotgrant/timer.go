package slotgrant

import "time"

const (
	// pauseThreshold is the delay of a timer from which this process counts as paused, as a
	// router is that has used its share of the CPU for a scheduling period.
	pauseThreshold = 5 * time.Millisecond
	// pauseGrace is the time in which the receiver reads the answers that have arrived during
	// a pause.
	pauseGrace = 5 * time.Millisecond
)

// answerTimer expires when an answer is overdue, or when a request is to be repeated.
type answerTimer struct {
	*time.Timer
	opts *options
	// expired is nil until the timer is started.
	expired    <-chan time.Time
	due        time.Time
	isExtended bool
}

// start makes the timer expire after d.
func (t *answerTimer) start(d time.Duration) {
	t.due, t.isExtended = t.opts.timerNow().Add(d), false
	if t.Timer == nil {
		t.Timer = time.NewTimer(d)
		t.expired = t.C
		return
	}
	t.Reset(d)
}

// extend gives the receiver time to read if the timer has expired late: the answer may have
// arrived while this process was paused. It reports whether it did, which is at most once for
// each start.
func (t *answerTimer) extend() bool {
	if t.isExtended || t.opts.timerNow().Sub(t.due) < pauseThreshold {
		return false
	}
	t.isExtended = true
	t.Reset(t.opts.pauseGrace)
	return true
}
