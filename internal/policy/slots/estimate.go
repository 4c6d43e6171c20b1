package slots

import (
	"slices"
	"time"

	"hickoryrock/internal/policy/rendezvous"
)

const (
	// capacityTime is the weight, as a time, of the capacity by pace beside the measured
	// rate of releases.
	capacityTime = 250 * time.Millisecond
	// minRateShare is the least part of the release rate that is assumed to be left by more
	// urgent requests.
	minRateShare = 0.1
	// minRetryAfter and maxRetryAfter bound the wait on which a Retry-After is based.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// noTargetWait is the expected wait while no target could serve a request.
	noTargetWait = time.Second
)

// canServe reports whether a request can be served before its deadline at the recent release
// rate, and how long it would wait.
func (p *Pool) canServe(w *waiter) (time.Duration, bool) {
	if !slices.ContainsFunc(p.listed, func(t *target) bool {
		return t.limit() > 0 && !slices.Contains(w.Excluded, t.Hash)
	}) {
		return noTargetWait, false
	}
	wait := p.expectedWait(w)
	return wait, !p.now.Add(wait + p.usage.usual(w.Priority, p.now)).After(w.Deadline)
}

// expectedWait returns the time until a request gets a place.
func (p *Pool) expectedWait(w *waiter) time.Duration {
	ahead := 1
	for _, other := range p.waiting {
		if other != w && p.isServedBefore(other, w) {
			ahead++
		}
	}
	rate := p.releaseRate(w.Excluded)
	if rate <= 0 {
		return noTargetWait
	}
	left := rate
	for kind := range kindOf(w.Priority) {
		left -= p.usage.arrivals[kind].perSecond(p.now, rateHalfLife)
	}
	seconds := float64(ahead) / max(left, minRateShare*rate)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// releaseRate returns the releases a second of the targets that are not excluded, while all
// places are taken: as measured, or by the targets' pace if that was not the case lately.
func (p *Pool) releaseRate(excluded []uint64) float64 {
	var all, usable float64
	mean := p.usage.mean().Seconds()
	for _, t := range p.listed {
		capacity := float64(min(t.limit(), max(t.Slots, 1))) / (mean * t.slowness(p.now))
		all += capacity
		if !slices.Contains(excluded, t.Hash) {
			usable += capacity
		}
	}
	if all == 0 {
		return 0
	}
	u := p.usage
	u.busy.decay(p.now, rateHalfLife)
	u.releases.decay(p.now, rateHalfLife)
	rate := (u.releases.sum + all*capacityTime.Seconds()) / (u.busy.sum + capacityTime.Seconds())
	return rate * usable / all
}

// refuseHopeless refuses the waiting requests that can no longer be served.
func (p *Pool) refuseHopeless() {
	for _, w := range slices.Clone(p.waiting) {
		if !p.isHopeless(w) {
			continue
		}
		p.removeWaiting(w.Key)
		p.reply(p.refuse(w.Key, p.expectedWait(w)))
	}
}

func (p *Pool) isHopeless(w *waiter) bool {
	if p.now.Add(p.usage.usual(w.Priority, p.now)).After(w.Deadline) {
		return true
	}
	_, ok := p.canServe(w)
	return !ok && p.now.Sub(w.arrivedAt) > 0
}

// retryAfter returns the time after which a refused call may be made again: the expected
// wait, and up to the same again by the request's key, so that retries are spread.
func retryAfter(k Key, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(rendezvous.Fraction(k.Process, k.Serial)*float64(wait))
}
