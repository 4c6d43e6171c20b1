package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/targetstats"
)

// The time of day may jump on a VM: the time since the last event must go by the steady
// clock, or a jump would look like a stalled stream.
func TestStallIsMeasuredByTheSteadyClock(t *testing.T) {
	c := qt.New(t)
	tracker := targetstats.NewTracker(func(targetstats.Change) {})
	target := &state.Target{Hash: 1}
	call := &call{
		h: New(Config{TargetHealth: tracker}), attemptStart: time.Now(),
		route: &state.Route{Streaming: true, MaxEventGap: 500 * time.Millisecond, LatencyObjective: time.Second},
	}
	tracked := tracker.Begin(target.Hash, 0, call.attemptStart)
	event := call.attemptStart.Add(3 * time.Second)
	call.recordProgress(tracked, event)
	c.Assert(call.lastProgress.Load(), qt.Equals, int64(3*time.Second)+1)
	remaining := call.untilSilent(target, call.attemptStart, event.Add(100*time.Millisecond))
	c.Assert(remaining > 400*time.Millisecond && remaining <= 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", remaining))
	tracked.Progress(event.Add(2 * time.Second)) // Another call's event.
	c.Assert(call.untilSilent(target, call.attemptStart, event.Add(2100*time.Millisecond)) <= 0, qt.IsTrue)
}
