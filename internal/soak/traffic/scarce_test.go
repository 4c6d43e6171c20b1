package traffic

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/oracle"
)

// Guards against targets that take calls beyond their slots and queue, and against calls that run at a
// target after its crash.
func TestSlotsOfTarget(t *testing.T) {
	start := func(t *testing.T) (*Target, func()) {
		t.Helper()
		target, crash, err := NewTarget("t", oracle.New())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(crash)
		target.MakeScarce()
		for range Slots {
			qt.Assert(t, target.admit(), qt.Equals, admitted)
		}
		return target, crash
	}
	// enqueue lets calls wait until the queue is full; the returned function returns how they were
	// admitted.
	enqueue := func(target *Target) func() map[admission]int {
		var mu sync.Mutex
		var wg sync.WaitGroup
		results := make(map[admission]int)
		for range queueLimit {
			wg.Go(func() {
				result := target.admit()
				mu.Lock()
				defer mu.Unlock()
				results[result]++
			})
		}
		isFull := func() bool {
			target.scarce.mu.Lock()
			defer target.scarce.mu.Unlock()
			return target.scarce.waiting == queueLimit
		}
		for !isFull() {
			time.Sleep(time.Millisecond)
		}
		return func() map[admission]int {
			wg.Wait()
			return results
		}
	}
	t.Run("full", func(t *testing.T) {
		target, _ := start(t)
		results := enqueue(target)
		qt.Check(t, target.admit(), qt.Equals, queueFull)
		qt.Check(t, target.stateLines(), qt.Equals, "X-Hickoryrock-Server-Load: 32,24,32,100\r\nX-Hickoryrock-Cold-Ms: 0\r\n")
		for range queueLimit {
			target.release()
		}
		qt.Check(t, results(), qt.DeepEquals, map[admission]int{admitted: queueLimit})
	})
	t.Run("crash", func(t *testing.T) {
		target, crash := start(t)
		results := enqueue(target)
		crash()
		qt.Check(t, results(), qt.DeepEquals, map[admission]int{crashed: queueLimit})
		qt.Check(t, target.HasEnded(), qt.IsTrue)
	})
}
