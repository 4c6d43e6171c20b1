package slots

import (
	"math"
	"time"
)

// average is a sum and a number of values that count half after each half-life. The zero
// value is empty.
type average struct {
	sum, weight float64
	at          time.Time
}

func (a *average) decay(now time.Time, halfLife time.Duration) {
	if since := now.Sub(a.at); since > 0 {
		if a.weight > 0 {
			f := math.Exp2(-since.Seconds() / halfLife.Seconds())
			a.sum *= f
			a.weight *= f
		}
		a.at = now
	}
}

func (a *average) add(value float64, now time.Time, halfLife time.Duration) {
	a.decay(now, halfLife)
	a.sum += value
	a.weight++
}

// perSecond returns the rate of the values that have been added.
func (a *average) perSecond(now time.Time, halfLife time.Duration) float64 {
	a.decay(now, halfLife)
	return a.weight * math.Ln2 / halfLife.Seconds()
}
