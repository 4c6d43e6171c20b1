package forward

import (
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/targetload"
	"hickoryrock/platform"
)

// usualPace is the pace of a target at its usual speed, in percent.
const usualPace = 100

// observeFigures records the load figures of a plain service's target that states its pace.
func (c *call) observeFigures(target *state.Target, headers platform.ResponseHeaders, now time.Time) {
	load := headers.Load
	if !headers.HasLoad || load.Pace == 0 || !c.isPlain() {
		return
	}
	c.h.LoadFigures.Observe(target.Hash, targetload.Figures{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: float64(load.Pace) / usualPace,
	}, now)
}

// expectedTime returns how long the call is expected to take at a target relative to a free one
// at its usual speed, or zero if that is unknown or the target is an engine's.
func (c *call) expectedTime(target *state.Target, now time.Time) float64 {
	if !c.isPlain() {
		return 0
	}
	expected, _ := c.h.LoadFigures.Expected(target.Hash, now)
	return expected
}
