package slots

import "time"

type (
	// Summary is the state of a pool for a view.
	Summary struct {
		InFlight int `json:"in-flight"`
		Waiting  int `json:"waiting"`
		// Targets are in the order in which they were set.
		Targets []TargetSummary `json:"targets"`
	}

	// TargetSummary is the state of one target for a view.
	TargetSummary struct {
		Hash     uint64 `json:"hash"`
		InFlight int    `json:"in-flight"`
		// Places is the number of calls that the target may have from this pool, Others that
		// of others' calls there.
		Places int `json:"places"`
		Others int `json:"others"`
		// Slowness is how long calls recently took relative to the service.
		Slowness float64 `json:"slowness"`
	}
)

// Summary returns the state of the pool at a time. It changes nothing that other methods
// return.
func (p *Pool) Summary(now time.Time) Summary {
	if now.Before(p.now) {
		now = p.now
	}
	s := Summary{InFlight: len(p.leases), Waiting: len(p.waiting)}
	for _, t := range p.listed {
		s.Targets = append(s.Targets, TargetSummary{
			Hash: t.Hash, InFlight: t.held, Places: t.places(now), Others: t.otherCalls(now),
			Slowness: t.slowness(now),
		})
	}
	return s
}
