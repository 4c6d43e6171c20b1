package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/soak/traffic"
	"hickoryrock/platform/platformtest"
)

const (
	// crowdCallers have more calls in progress than all targets have slots.
	crowdCallers = 200
	// minCrowdTime and minColdTime are the shortest times for which a crowd calls and a target turns
	// cold; the bound on cold targets applies after the time in which routers learn of it.
	minCrowdTime = 3 * time.Second
	minColdTime  = traffic.LearnTime + 2*time.Second
	// minSlowPace and maxSlowPace bound how long work takes on slow targets, in percent.
	minSlowPace = 200
	maxSlowPace = 600
)

// The events of scarce and uneven targets are not in events, so that the schedules of recorded
// seeds stay.
var (
	turnSlow = event{name: "a target turns slow", run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		t := tb.pickTarget(rng)
		if t == nil {
			return
		}
		t.SetPace(minSlowPace + rng.IntN(maxSlowPace-minSlowPace+1))
		time.Sleep(minCrowdTime + duration)
		t.SetPace(100)
	}}

	// turnCold is planned, as nothing fails: the timing invariants hold while a target is cold.
	turnCold = event{name: "a target turns cold", planned: true, run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		t := tb.beginCold(rng, minColdTime+duration)
		if t == nil {
			return
		}
		tb.logLine(t.ID + " turned cold")
		tb.renewWhileCold(t)
	}}

	crowd = event{name: "a crowd calls", run: func(tb *testbed, _ *rand.Rand, duration time.Duration) {
		tb.callAsCrowd(minCrowdTime + duration)
	}}
)

// beginCold makes a random target cold and renews its entry. It returns nil if as many as half of
// targetCount are cold already.
func (tb *testbed) beginCold(rng *rand.Rand, coldTime time.Duration) *target {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	cold := 0
	for _, t := range tb.targets {
		if t.ColdLeftMS() > 0 {
			cold++
		}
	}
	t := tb.pickUnreserved(rng)
	if t == nil || cold >= targetCount/2 || !t.TurnCold(coldTime) {
		return nil
	}
	tb.store.Set(platformtest.KindTargets, t.ID, t.entry())
	return t
}

// renewWhileCold renews the target's entry until it has said that the target is cold no longer, or
// the target has ended.
func (tb *testbed) renewWhileCold(t *target) {
	for {
		left := time.Duration(t.ColdLeftMS()) * time.Millisecond
		time.Sleep(min(left, traffic.EntryInterval))
		tb.mu.Lock()
		if tb.targets[t.ID] != t || t.HasEnded() {
			tb.mu.Unlock()
			return
		}
		tb.store.Set(platformtest.KindTargets, t.ID, t.entry())
		tb.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// callAsCrowd makes more calls than targets have slots, unless another crowd does so already. It
// returns when the last call has ended.
func (tb *testbed) callAsCrowd(duration time.Duration) {
	if !tb.crowding.TryLock() {
		return
	}
	defer tb.crowding.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	began := time.Now().UnixNano() // Names, and the IDs of calls, must differ between crowds.
	var wg sync.WaitGroup
	for i := range crowdCallers {
		wg.Go(func() {
			traffic.NewCaller(fmt.Sprintf("crowd-%d-%d", began, i), tb, tb.recorder, traffic.CrowdBehavior()).Run(ctx)
		})
	}
	wg.Wait()
}

// runCrowdPhase crowds the service while there are no other faults. Once the time in which a call ends
// in any case has passed, nothing is left of the crowd, and other calls must be served.
func (tb *testbed) runCrowdPhase() {
	var running sync.WaitGroup
	tb.startStep(tb.drawStep([]event{crowd}), &running)
	running.Wait()
	tb.logLine("the crowd has gone")
	time.Sleep(traffic.CallTime)
	tb.measureServed(oracle.NotServedAfterCrowd, minServedWithoutFaults)
}
