package slots

import (
	"math"
	"slices"
	"time"
)

const (
	// extraCalls is the number of calls beyond a target's slots that hide the round trip of
	// a release.
	extraCalls = 1
	// othersTTL is the time within which knowledge of other routers' calls fades.
	othersTTL = 500 * time.Millisecond
	// paceHalfLife is the age at which a measured pace counts half. A target runs 30 to 60
	// calls a second and turns slow within a second.
	paceHalfLife = time.Second
	// paceWeight is the number of measurements at the usual pace that a target starts with,
	// so that a single long call does not make it look slow.
	paceWeight = 3
	// minPace and maxPace bound one measurement and the resulting slowness.
	minPace = 0.2
	maxPace = 8
	// minRegain is the time in which a target that has refused a call gets its places back.
	// It doubles up to maxRegain with each refusal in that time and no success since.
	minRegain = 200 * time.Millisecond
	maxRegain = 1600 * time.Millisecond
	// earlyEndFactor is the multiple of the usual time for which a call that failed or was
	// refused counts in the choice of a target. With 1, a target whose calls all fail at once
	// gets as many as the others.
	earlyEndFactor = 2
	// maxEarlyEnds bounds the remembered early ends of a target's calls.
	maxEarlyEnds = 64
)

// target is what the pool knows of one target.
type target struct {
	Target
	// isListed is set while the service has the target.
	isListed bool
	// held is the number of leases that occupy a place, lost that of those that do not,
	// because their release seems to be lost.
	held, lost int
	absent     absence
	// lastGrant is the number of the last grant among all of the pool.
	lastGrant uint64
	// expected is the result of expectedTime during one choice.
	expected float64
	// others is the number of calls that others had there as of othersAt.
	others   float64
	othersAt time.Time
	pace     average
	// reducedTo is the number of places after the last refusal, at reducedAt. All of them
	// are back after regain.
	reducedTo float64
	reducedAt time.Time
	regain    time.Duration
	// earlyEnds holds the times until which failed calls count in the choice of a target.
	earlyEnds []time.Time
}

// limit returns the number of calls that the target may have from this pool and others.
func (t *target) limit() int {
	if !t.isListed || !t.IsEligible {
		return 0
	}
	n := max(t.Slots, 1) + extraCalls
	if t.Window > 0 {
		n = min(n, t.Window)
	}
	return n
}

// places returns the number of calls that the target may have from this pool.
func (t *target) places(now time.Time) int {
	n := t.limit()
	return max(min(n-t.otherCalls(now), int(t.reduced(float64(n), now))), 0)
}

func (t *target) hasRoom(now time.Time) bool { return t.held < t.places(now) }

// otherCalls returns the calls of others as of the last answer, fading with its age.
func (t *target) otherCalls(now time.Time) int {
	left := 1 - now.Sub(t.othersAt).Seconds()/othersTTL.Seconds()
	if left <= 0 || t.others <= 0 {
		return 0
	}
	return int(math.Round(t.others * left))
}

// reduced returns how many of n places are available after the last refusal.
func (t *target) reduced(n float64, now time.Time) float64 {
	if t.regain == 0 {
		return n
	}
	part := now.Sub(t.reducedAt).Seconds() / t.regain.Seconds()
	if part >= 1 {
		return n
	}
	return min(t.reducedTo+(n-t.reducedTo)*part, n)
}

// slowness returns how long calls recently took at the target relative to the service.
func (t *target) slowness(now time.Time) float64 {
	pace := t.pace
	pace.decay(now, paceHalfLife)
	return min(max((pace.sum+paceWeight)/(pace.weight+paceWeight), minPace), maxPace)
}

// expectedTime returns the time that a further call is expected to take, relative to others.
func (t *target) expectedTime(now time.Time) float64 {
	t.earlyEnds = slices.DeleteFunc(t.earlyEnds, func(end time.Time) bool { return !end.After(now) })
	calls := t.held + t.otherCalls(now) + len(t.earlyEnds) + 1
	return float64(calls) / float64(max(t.Slots, 1)) * t.slowness(now)
}

// recordRefusal halves the target's places for a short time. A refusal of a call that was
// granted before the last reduction has the same cause as that one.
func (t *target) recordRefusal(grantedAt, now time.Time) {
	if t.regain != 0 && grantedAt.Before(t.reducedAt) {
		return
	}
	n := float64(t.limit())
	left := t.reduced(n, now)
	if t.regain == 0 || now.Sub(t.reducedAt) >= 2*t.regain {
		t.regain = minRegain
	} else {
		t.regain = min(2*t.regain, maxRegain)
	}
	t.reducedTo, t.reducedAt = math.Floor(left/2), now
}

// recordSuccess gives a place back that a refusal has taken.
func (t *target) recordSuccess() {
	if t.regain != 0 {
		t.reducedTo++
		t.regain = max(t.regain/2, minRegain)
	}
}

// recordEarlyEnd remembers a call that would usually have ended later.
func (t *target) recordEarlyEnd(end, now time.Time) {
	if end.After(now) && len(t.earlyEnds) < maxEarlyEnds {
		t.earlyEnds = append(t.earlyEnds, end)
	}
}
