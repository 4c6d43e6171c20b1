package permits

import (
	"math"
	"time"
)

// service holds the bound and the mean load of a service.
type service struct {
	bound   Bound
	mean    float64
	meanAt  time.Time
	hasMean bool
}

// limit returns the highest load allowed on a target of the given weight:
// Factor times the mean, but at least the floor. Without a fresh mean it is the
// floor.
func (s *service) limit(now time.Time, weight float64, term time.Duration) uint64 {
	floor := uint64(max(s.bound.Floor, 0))
	if !s.hasMean || now.Sub(s.meanAt) > term {
		return floor
	}
	return max(floor, uint64(math.Ceil(s.bound.Factor*s.mean*weight)))
}
