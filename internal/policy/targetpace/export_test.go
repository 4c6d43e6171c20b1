package targetpace

import "time"

// Recovered is RecoveredSince for a router that has just seen the exclusion.
func (t *Tracker) Recovered(hash uint64, service, why string, now time.Time) {
	t.RecoveredSince(hash, service, why, now, now)
}

// Begin counts a call to a target as in flight, also if it was not allowed.
func (t *Tracker) Begin(hash uint64, now time.Time) {
	t.lock(now)
	defer t.unlock()
	t.begin(hash, now)
}
