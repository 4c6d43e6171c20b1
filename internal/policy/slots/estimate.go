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
	// minMeasuredShare is the least part of the capacity by pace that the measured rate may be.
	// Calls that routers send without a grant, as after the loss of all, occupy the places for
	// some hundred milliseconds, and hardly any lease ends meanwhile.
	minMeasuredShare = 0.5
	// minRateShare is the least part of the release rate that is assumed to be left by
	// requests that go first.
	minRateShare = 0.1
	// lateShare is the part of the time left until it is overdue that a request which will be
	// late may be expected to wait, to be queued. Without a margin most of such requests are
	// refused later, when the estimate has changed.
	lateShare = 0.5
	// hopelessFactor is the multiple of the time left that the expected wait of a request
	// must reach for it to be refused after it was queued: the estimate varies with each
	// burst.
	hopelessFactor = 2
	// overdueGrants is the number of grants of which one goes to an overdue request. Others are
	// refused lateNotice before they are overdue, with half of their time left for another attempt:
	// each that goes first may make a punctual request late, and if all did, an overload would leave
	// none on time.
	overdueGrants = 16
	lateNotice    = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the wait on which a Retry-After is based.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// noTargetWait is the expected wait while no target could serve a request.
	noTargetWait = time.Second
)

// canServe reports whether a new request can be served in time, and how long it is expected
// to wait. It can be if it will meet its latency objective or, late, if what waits ahead of it will
// be worked off well before it is overdue: most overloads are bursts of a few seconds, and a late
// answer is worth more to a caller than none.
func (p *Pool) canServe(w *waiter) (time.Duration, bool) {
	rate := p.releaseRate(w.Excluded)
	if rate <= 0 {
		return noTargetWait, false
	}
	own := p.rank(w)
	punctualAhead, allAhead := 1, 1
	for _, other := range p.waiting {
		r := p.rank(other)
		if r.compare(&own) < 0 {
			punctualAhead++
		}
		if other.Priority <= w.Priority {
			allAhead++
		}
	}
	wait := waitFor(punctualAhead, rate, p.arrivalRate(kindOf(w.Priority)))
	if own.class == punctual && p.canBeOnTime(w, wait) {
		return wait, true
	}
	wait = waitFor(allAhead, rate, 0)
	return wait, float64(wait) <= lateShare*float64(w.overdueAt.Sub(p.now)) && p.canEnd(w, wait)
}

// canEnd reports whether a call can end before its deadline after a wait.
func (p *Pool) canEnd(w *waiter, wait time.Duration) bool {
	return !p.now.Add(wait + p.usage.usual(w.Priority)).After(w.Deadline)
}

// waitFor returns the time until n calls are released at a rate a second of which a part is
// taken by others.
func waitFor(n int, rate, taken float64) time.Duration {
	seconds := float64(n) / max(rate-taken, minRateShare*rate)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// arrivalRate returns the recent requests a second of the kinds below a number.
func (p *Pool) arrivalRate(kinds int) float64 {
	sum := 0.0
	for kind := range kinds {
		sum += p.usage.arrivals[kind].perSecond(p.now, rateHalfLife)
	}
	return sum
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
	return max(rate, minMeasuredShare*all) * usable / all
}

// refuseHopeless refuses the waiting requests that can no longer be served.
func (p *Pool) refuseHopeless() {
	if len(p.waiting) == 0 {
		return
	}
	type ranked struct {
		*waiter
		rank
	}
	order := make([]ranked, 0, len(p.waiting))
	for _, w := range p.waiting {
		order = append(order, ranked{w, p.rank(w)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return a.compare(&b.rank) })
	ahead, common, overdueLeft := 1, p.releaseRate(nil), p.overdueLeft()
	for _, w := range order {
		rate := common
		if len(w.Excluded) > 0 {
			rate = p.releaseRate(w.Excluded)
		}
		wait, ok := p.canStillServe(w.waiter, ahead, rate)
		if w.class != punctual && p.now.Add(lateNotice).After(w.overdueAt) {
			ok = ok && overdueLeft > 0
			overdueLeft--
		}
		if ok {
			ahead++
			continue
		}
		p.removeWaiting(w.Key)
		p.reply(p.refuse(w.Key, wait))
	}
}

// overdueLeft returns how many overdue requests may go before punctual ones now.
func (p *Pool) overdueLeft() int {
	if p.overdueGrant > 0 && p.grants-p.overdueGrant < overdueGrants {
		return 0
	}
	return 1
}

// canStillServe reports whether a waiting request with a place in the order can be served in
// time at a rate of releases a second, and how long it is expected to wait.
func (p *Pool) canStillServe(w *waiter, place int, rate float64) (time.Duration, bool) {
	if rate <= 0 {
		return noTargetWait, false
	}
	wait := waitFor(place, rate, 0)
	left := w.Deadline.Sub(p.now) - p.usage.usual(w.Priority)
	return wait, wait <= hopelessFactor*left
}

// workTime returns the duration of a call without the time for which it waited at its target,
// which is estimated from the calls that waited there when it ended.
func (r Result) workTime(slots int) time.Duration {
	took := max(r.Took, 0)
	if !r.HasLoad || r.Queued <= 0 || slots <= 0 {
		return took
	}
	return time.Duration(float64(took) * float64(slots) / float64(slots+r.Queued))
}

// retryAfter returns the time after which a refused call may be made again: the expected
// wait, and up to the same again by the request's key, so that retries are spread.
func retryAfter(k Key, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(rendezvous.Fraction(k.Process, k.Serial)*float64(wait))
}
