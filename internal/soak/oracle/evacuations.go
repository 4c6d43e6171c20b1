package oracle

import "time"

// evacuationMargin is added to the time after which no call may reach an evacuated target, for
// late timers in busy processes.
const evacuationMargin = 300 * time.Millisecond

// BeginEvacuation records that the store has acknowledged the evacuation of a failure domain.
func (r *Recorder) BeginEvacuation(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.evacuated[domain], r.evacuatedLast[domain] = now, now
}

// EndEvacuation records that the evacuation of a failure domain is about to end.
func (r *Recorder) EndEvacuation(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.evacuated, domain)
}

// RecordDomain records the failure domain of a target.
func (r *Recorder) RecordDomain(target, domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domains[target] = domain
}

// CheckEvacuated records a violation if a call reaches a target later than bound after its failure
// domain was evacuated. That only applies if the fleet has had no faults since then, so that each
// router has been in touch with its peers.
func (r *Recorder) CheckEvacuated(call, target string, bound time.Duration) {
	r.mu.Lock()
	since, ok := r.evacuated[r.domains[target]]
	r.mu.Unlock()
	elapsed := time.Since(since)
	if ok && elapsed > bound+evacuationMargin && r.SettledFor(elapsed) {
		r.RecordViolation(CallToEvacuatedTarget, "call %s reached %s %v after the evacuation", call, target, elapsed)
	}
}

// CheckInterrupted records a violation if a call that was cut without a cause was in progress at a
// target when the target's failure domain was evacuated. It reports whether that is so.
func (r *Recorder) CheckInterrupted(call string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.work[call]
	if w == nil || w.brokeOff {
		return false
	}
	evacuated, ok := r.evacuatedLast[r.domains[w.target]]
	if !ok || evacuated.Before(w.began) || (!w.ended.IsZero() && w.ended.Before(evacuated)) {
		return false
	}
	r.recordLocked(InterruptedEvacuated, "call %s at %s, %v after the evacuation", call, w.target, time.Since(evacuated))
	return true
}
