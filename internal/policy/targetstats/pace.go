package targetstats

import (
	"slices"
	"time"
)

const (
	// maxPace bounds one measurement, so that a single stall does not make a target
	// look slow for seconds.
	maxPace = 10
	// minPaceCount is the decayed number of measurements, over all routers, from which
	// a target's slowness is known.
	minPaceCount = 2
	// usualPaceShare is the share of targets that are faster than the usual pace. It is
	// below one half: half of a service may be slow.
	usualPaceShare = 0.25
	// maxSlowness bounds the slowness of a target.
	maxSlowness = 6
)

// pace is a decayed sum and count of measurements.
type pace struct {
	sum, count float64
}

// RecordPace records how long a target took for a part of a call, as a multiple of the
// usual time for the same kind of call.
func (tr *Tracker) RecordPace(target uint64, ratio float64, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.entry(target)
	e.decay(now)
	e.paceSum += min(ratio, maxPace)
	e.paceCount++
}

// setSlowness sets the slowness of each target from the paces of all, which are in the
// same order.
func setSlowness(out []Summary, paces []pace) {
	known := make([]float64, 0, len(paces))
	for _, p := range paces {
		if p.count >= minPaceCount {
			known = append(known, p.sum/p.count)
		}
	}
	slices.Sort(known)
	for i, p := range paces {
		out[i].Slowness = 1
		if p.count < minPaceCount {
			continue
		}
		if usual := known[int(usualPaceShare*float64(len(known)))]; usual > 0 {
			out[i].Slowness = min(max(p.sum/p.count/usual, 1), maxSlowness)
		}
	}
}
