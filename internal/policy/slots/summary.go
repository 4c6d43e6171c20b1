package slots

import "time"

type (
	// Summary is the state of a pool for a view.
	Summary struct {
		// InFlight is the number of granted calls that occupy a place.
		InFlight int `json:"in-flight"`
		Waiting  int `json:"waiting"`
		// Targets are in the order in which they were set.
		Targets []TargetSummary `json:"targets"`
	}

	// TargetSummary is the state of one target for a view.
	TargetSummary struct {
		Hash     uint64 `json:"hash"`
		InFlight int    `json:"in-flight"`
		// Lost is the number of leases whose release seems to be lost.
		Lost int `json:"lost"`
		// Places is the number of calls that the target may have from this pool, Others that
		// of others' calls there.
		Places int `json:"places"`
		Others int `json:"others"`
		// Slowness is how long calls recently took relative to the service.
		Slowness float64 `json:"slowness"`
	}
)

// Summary returns the state of the pool at a time, without a change to it.
func (p *Pool) Summary(now time.Time) Summary {
	if now.Before(p.now) {
		now = p.now
	}
	s := Summary{Waiting: len(p.waiting)}
	for _, t := range p.targets {
		s.InFlight += t.held
	}
	for _, t := range p.listed {
		s.Targets = append(s.Targets, TargetSummary{
			Hash: t.Hash, InFlight: t.held, Lost: t.lost, Places: t.places(now), Others: t.otherCalls(now),
			Slowness: t.slowness(now),
		})
	}
	return s
}
