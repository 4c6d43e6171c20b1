package edge

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against routers that send more calls to a target than it runs while another has room,
// that refuse calls for which there is room, and that depend on the coordinator.
func TestSlotsOfACrowdedPlainService(t *testing.T) {
	t.Run("no target has more calls than slots and one", func(t *testing.T) {
		f := newPlainFleet(t, 3, 3, 0)
		for round, busy := 1, 0; ; {
			f.Assert(round <= plainRounds && busy <= busyRounds, qt.IsTrue,
				qt.Commentf("routers got no answer in each of %d rounds, or in %d while the machine was busy", round-1, busy))
			f.await()
			for _, target := range f.targets {
				target.reset()
			}
			before, coordinators := fallbacks(), f.coordinators()
			got := f.load(2*time.Second, 5*time.Millisecond, 0, 1, 2) // 12 of 18 slots in the mean.
			f.Logf("round %d, busy %d: %d requests without an answer, statuses %v, slowest %v, stall %v",
				round, busy, fallbacks()-before, got.statuses, got.slowest, got.stall)
			if got.stall > maxStall {
				busy++
				continue
			}
			f.Assert(got.statuses, qt.DeepEquals, map[int]int{200: got.statuses[200]})
			// A router that got no answer twice asks another one for a second, which then grants the
			// same slots.
			if after := f.coordinators(); fallbacks() > before || after != coordinators {
				f.Logf("coordinators before: %s, after: %s", coordinators, after)
				if got.stall > answerStall {
					busy++
				} else {
					round++
				}
				continue
			}
			for i, target := range f.targets {
				f.Check(target.most <= plainSlots+1, qt.IsTrue, qt.Commentf("target %d: %d calls in flight", i, target.most))
				f.Check(target.most > 1, qt.IsTrue, qt.Commentf("target %d: %d calls in flight", i, target.most))
			}
			return
		}
	})
	t.Run("calls go on after the coordinator has ended", func(t *testing.T) {
		isJudged := false
		for start := 1; !isJudged; start++ {
			qt.Assert(t, start <= busyStarts, qt.IsTrue, qt.Commentf("this process stood still in each of %d starts", busyStarts))
			isPassed := t.Run(fmt.Sprint("start ", start), func(t *testing.T) { isJudged = endCoordinator(t) })
			qt.Assert(t, isPassed, qt.IsTrue)
		}
	})
}

// endCoordinator ends the coordinator of a new fleet under load, and fails if calls fail or take too
// long. It reports false if a call took too long while this process stood still for maxStall.
func endCoordinator(t *testing.T) bool {
	f := newPlainFleet(t, 3, 3, 0)
	ended := f.coordinator()
	var others []int
	for i := range f.routers {
		if i != ended {
			others = append(others, i)
		}
	}
	result := make(chan plainLoad, 1)
	go func() { result <- f.load(4*time.Second, 8*time.Millisecond, others...) }()
	time.Sleep(time.Second)
	f.routers[ended].kill()
	got := <-result
	f.Logf("statuses %v, slowest %v, stall %v", got.statuses, got.slowest, got.stall)
	f.Assert(got.statuses, qt.DeepEquals, map[int]int{200: got.statuses[200]})
	for _, i := range others {
		f.Check(f.coordinatorOf(f.routers[i]) != f.coordinatorOf(f.routers[ended]), qt.IsTrue)
	}
	// A call that waits notices after 150 ms that there is no coordinator, any other after 25 ms.
	isInTime := got.slowest < 700*time.Millisecond
	f.Assert(isInTime || got.stall > maxStall, qt.IsTrue, qt.Commentf("slowest %v", got.slowest))
	return isInTime
}
