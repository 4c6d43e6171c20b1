package oracle

import "time"

const (
	// lateWork is the part of the grace period from which on a call may be cut while its
	// target is at work, if it was sent within lateWorkSent of SIGTERM.
	lateWork     = 5.0 / 6
	lateWorkSent = 3 * time.Second
)

// Reasons for which a planned stop may cut a call that has run, and NotRun for a call that
// has not.
const (
	NotRun         Excuse = "not run"
	AfterTimeLimit Excuse = "time limit reached"
	TargetBrokeOff Excuse = "target broke off"
	WorkOutlasts   Excuse = "target still at work"
	Unexcused      Excuse = ""
)

type (
	// Excuse is why the cut of a call is no violation.
	Excuse string

	// Stop is a planned stop of a router: SIGTERM at Start, SIGKILL Grace later. Exited is
	// zero until the process has exited.
	Stop struct {
		Start, Exited time.Time
		Grace         time.Duration
	}

	// Cut is a call whose connection ended during a stop before its answer was whole.
	Cut struct {
		Call string
		// Sent is when the last byte of the call was sent, At when the connection ended.
		Sent, At time.Time
		// Limit is the call's deadline or its route's timeout, whichever is shorter.
		Limit time.Duration
		Stop  Stop
	}

	// work is the latest run of a call at a target; ended is zero while it goes on.
	work struct {
		target       string
		began, ended time.Time
		brokeOff     bool
	}
)

// RecordRunEnd records that a target no longer works on a call.
func (r *Recorder) RecordRunEnd(call, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.work[call]; w != nil && w.target == target && w.ended.IsZero() {
		w.ended = time.Now()
	}
}

// RecordBreakOff records that a target breaks off its work on all calls.
func (r *Recorder) RecordBreakOff(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.work {
		if w.target == target && w.ended.IsZero() {
			w.ended, w.brokeOff = time.Now(), true
		}
	}
}

// Excuse returns why a call may be cut by a stop, or Unexcused: no call that has reached a
// target may be, unless the target broke off, the time limit was reached, or the target was
// at work in the last sixth of the grace period on a call sent within 3 s of SIGTERM.
func (r *Recorder) Excuse(cut Cut) Excuse {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.work[cut.Call]
	late := cut.Stop.Start.Add(time.Duration(lateWork * float64(cut.Stop.Grace)))
	switch {
	case w == nil:
		return NotRun
	case cut.At.Sub(cut.Sent) >= cut.Limit:
		return AfterTimeLimit
	case w.brokeOff:
		return TargetBrokeOff
	case cut.At.After(late) && (w.ended.IsZero() || w.ended.After(late)) && cut.Sent.Sub(cut.Stop.Start) <= lateWorkSent:
		return WorkOutlasts
	}
	return Unexcused
}
