package edge

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against routers that together send more to a cold target than it bears, each of them
// because it takes itself for the only one, or because it has just started.
func TestColdTargetOfAFleet(t *testing.T) {
	f := newPlainFleet(t, 3, 3, coldPerS)
	// Routers that have just started send nothing to cold targets.
	time.Sleep(3500 * time.Millisecond)
	assertBound := func(name string, disturb func()) {
		t.Run(name, func(*testing.T) {
			f.setCold(0, 20*time.Second)
			time.Sleep(500 * time.Millisecond) // Until all routers know.
			f.targets[0].reset()
			before := time.Now()
			result := make(chan plainLoad, 1)
			go func() { result <- f.load(4*time.Second, 8*time.Millisecond, 0, 1, 2) }()
			time.Sleep(time.Second)
			disturb()
			got := <-result
			f.targets[0].mu.Lock()
			defer f.targets[0].mu.Unlock()
			most, n := mostIn(f.targets[0].arrivals, time.Second), len(f.targets[0].arrivals)
			f.Logf("%d calls in %v, %d in one second; statuses %v, stall %v", n, time.Since(before), most, got.statuses, got.stall)
			f.Assert(most <= coldBound, qt.IsTrue, qt.Commentf("%d calls in one second", most))
			f.Assert(n > 0, qt.IsTrue, qt.Commentf("no calls"))
			if got.stall <= maxStall {
				f.Assert(got.statuses[http.StatusOK] > 200, qt.IsTrue)
			}
		})
	}
	assertBound("all routers hear each other", func() {})
	assertBound("a router is restarted", func() {
		f.routers[1].kill()
		f.routers[1] = f.start(1)
	})
	assertBound("a router is cut off", func() { f.routers[2].cut() })
}
