package targetlimits

import (
	"time"

	"golang.org/x/time/rate"

	"hickoryrock/internal/policy/rendezvous"
)

const (
	// A target bears limitRatio times what its limit allows, and limitSlack calls more, in
	// limitWindow seconds. limitMargin of that stays unused.
	limitWindow = 4
	limitRatio  = 1.5
	limitSlack  = 5
	limitMargin = 1
	// maxSharedInterval is the longest time between reports at which senders count each
	// other's calls. They do not if minPartsGain times as many could have a part each.
	maxSharedInterval = 200 * time.Millisecond
	minPartsGain      = 2
	// reportMargin is the time that a report takes, in addition to the interval.
	reportMargin = 50 * time.Millisecond
	// maxDebt is the number of calls by which a bucket can be overdrawn.
	maxDebt = 20
	// sendersTTL is how long the choice of a target's senders is kept.
	sendersTTL = 250 * time.Millisecond
)

// choose brings the choice of a target's senders up to date and reports whether this
// router is one of them. The lock must be held.
func (t *Tracker) choose(known *target, now time.Time) bool {
	if now.Sub(known.chosenAt) < sendersTTL {
		return known.isSender
	}
	known.chosenAt = now
	self, others := t.routers()
	interval := t.opts.ReportInterval()
	n := min(maxSenders(known.PerSecond, 0), len(others)+1)
	sharing := min(maxSenders(known.PerSecond, interval+reportMargin), n)
	known.isShared = interval <= maxSharedInterval && n < minPartsGain*sharing
	if known.isShared {
		n = sharing
	}
	known.isSender = isSender(known.Target, self, others, n)
	share := rate.Limit(max(known.PerSecond, minRate))
	if !known.isShared {
		share /= rate.Limit(n)
	}
	if known.bucket == nil {
		// The routers start with different parts of a call, so that they do not send at
		// the same moment.
		known.bucket = rate.NewLimiter(share, 1)
		lead := rendezvous.Fraction(known.Target, self) / float64(share)
		known.bucket.AllowN(now.Add(-time.Duration(lead*float64(time.Second))), 1)
	}
	known.bucket.SetLimitAt(now, share)
	return known.isSender
}

// maxSenders returns the number of routers that may send to a target so that it gets no
// more calls than it bears. In addition to the limit, each may send one call at any moment,
// and those of the time until it knows of the others' calls.
func maxSenders(perSecond float64, delay time.Duration) int {
	used := max(perSecond, minRate)
	spare := limitRatio*limitWindow*perSecond + limitSlack - limitWindow*used - limitMargin
	return max(int(spare/(1+used*delay.Seconds())), 1)
}

// isSender reports whether self is one of the n routers with the highest ranks for a target.
func isSender(target, self uint64, others []uint64, n int) bool {
	if n > len(others) {
		return true
	}
	own, higher := rendezvous.Rank(target, self), 0
	for _, o := range others {
		if rendezvous.Rank(target, o) > own {
			if higher++; higher >= n {
				return false
			}
		}
	}
	return true
}

// spend takes calls from the bucket, which may be overdrawn: other routers' calls are
// known only afterwards.
func (k *target) spend(calls int, now time.Time) {
	for ; calls > 0 && k.bucket.TokensAt(now) > -maxDebt; calls-- {
		k.bucket.ReserveN(now, 1)
	}
}
