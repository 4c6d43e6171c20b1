package targetpace_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetpace"
)

// Guards against data races, and against calls of several goroutines that pass a share together.
func TestConcurrentUse(t *testing.T) {
	tr := newTracker(1, 0, 1000, targetpace.WithOnChange(func(targetpace.Change) {}))
	tr.Recovered(target, service, "ejection", after(joined))
	var group sync.WaitGroup
	var mu sync.Mutex
	begun := 0
	for i := range 8 {
		other := uint64(1000 + i)
		group.Go(func() {
			for n := range 200 {
				at := after(joined + time.Duration(n)*time.Millisecond)
				if tr.TryBegin(target, at) {
					mu.Lock()
					begun++
					mu.Unlock()
				}
				tr.Merge(other, tr.TakeReport(at), at)
				tr.RecordSetback(other, "refused", at)
				tr.Observe(other, service, stated(time.Second), at)
				_ = tr.Warming(at)
			}
		})
	}
	group.Wait()
	qt.Assert(t, begun, qt.Equals, 2)
}
