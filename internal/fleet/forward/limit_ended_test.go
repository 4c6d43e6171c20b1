package forward_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/policy/targetpace"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// changesOfPace collects the changes that a tracker announces.
type changesOfPace struct {
	mu      sync.Mutex
	changes []targetpace.Change
}

// with returns an option of a handler that has a tracker and may have windows.
func (p *changesOfPace) with(hasWindows bool) func(*forward.Config) {
	return func(c *forward.Config) {
		c.HasPressure = hasWindows
		c.Pace = newPace(targetpace.WithOnChange(func(change targetpace.Change) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.changes = append(p.changes, change)
		}))
	}
}

// of returns the changes of a target for a reason.
func (p *changesOfPace) of(target uint64, why string) []targetpace.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []targetpace.Change
	for _, change := range p.changes {
		if change.Target == target && change.Why == why {
			out = append(out, change)
		}
	}
	return out
}

// callUntil sends one call after the other until a condition holds.
func (f *fixture) callUntil(holds func() bool) {
	f.Helper()
	end := time.Now().Add(4 * time.Second)
	for n := 0; !holds(); n++ {
		f.Assert(time.Now().Before(end), qt.IsTrue)
		// The targets are chosen by the calls' IDs.
		id := fmt.Sprint("c-", n, "-", f.targetRequests())
		f.assertResponse(f.send(platformtest.Call(id, "POST", "/open/a", 1000, "x")), 200, "x")
	}
}

// callNext sends one call.
func (f *fixture) callNext() {
	f.Helper()
	sent := f.targetRequests()
	f.callUntil(func() bool { return f.targetRequests() > sent })
}

// Guards against a target that gets its full share the moment its limit ends, and against windows
// after limits in deployments that have none.
func TestEndOfALimitOpensAWindow(t *testing.T) {
	for name, tc := range map[string]struct{ hasWindows, isEvacuated bool }{
		"with pressure":                   {hasWindows: true},
		"with pressure and an evacuation": {hasWindows: true, isEvacuated: true},
		"without pressure":                {},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			var isLimited atomic.Bool
			isLimited.Store(true)
			changes := new(changesOfPace)
			f = newFixture(t, 3, func(c net.Conn, r rawserver.Request) bool {
				line := ""
				if isLimited.Load() && c.LocalAddr().String() == f.targets[0].Address() {
					line = platformtest.LimitLine("1000")
				}
				return always("200 OK", line, "x")(c, r)
			}, changes.with(tc.hasWindows))
			awaitAnswer := func() {
				n := f.received()[0]
				f.callUntil(func() bool { return f.received()[0] > n })
				f.callNext() // Notices what the answer says.
			}
			awaitAnswer()
			if tc.isEvacuated { // Ends before the limit.
				f.evacuate(time.Now(), 0)
				f.callNext()
				f.evacuate(time.Now())
				f.callNext()
			}
			f.Assert(changes.of(f.hash(0), targetpace.LimitEnded), qt.HasLen, 0)
			isLimited.Store(false)
			awaitAnswer()
			got := changes.of(f.hash(0), targetpace.LimitEnded)
			f.Assert(changes.of(f.hash(0), "evacuated"), qt.HasLen, 0)
			if !tc.hasWindows {
				f.Assert(got, qt.HasLen, 0)
				return
			}
			f.Assert(got, qt.HasLen, 1)
			f.Assert(got[0].To.Window, qt.Equals, 2)
		})
	}
}

// Guards against a mean that a target lowers which is held back itself, so that another one gets
// its full share before it has shown that it bears it.
func TestMeanIsThatOfSettledTargets(t *testing.T) {
	for name, targets := range map[string]int{"without the recovered target": 3, "without a target that names a limit": 4} {
		t.Run(name, func(t *testing.T) {
			goOn := make(chan struct{})
			changes := new(changesOfPace)
			var f *fixture
			f = newFixture(t, targets, func(c net.Conn, r rawserver.Request) bool {
				line := ""
				if targets == 4 && c.LocalAddr().String() == f.targets[3].Address() {
					line = platformtest.LimitLine("0.5")
				}
				if strings.HasPrefix(r.Target, "/chat") {
					<-goOn
				}
				return always("200 OK", line, "x")(c, r)
			}, changes.with(true))
			f.cacheIndex.MarkRestored()
			f.tolerateSilence()
			f.callUntil(func() bool { return f.received()[targets-1] > 0 })
			f.evacuate(time.Now(), 0)
			sent := f.targetRequests()
			var group sync.WaitGroup
			for range 12 {
				group.Go(func() { _ = f.call("/chat/a") })
			}
			f.awaitRequests(sent + 12)
			f.evacuate(time.Now())
			f.callUntil(func() bool { return len(changes.of(f.hash(0), "mean-reached")) > 0 })
			close(goOn)
			group.Wait()
			// At least 11 of the calls are at targets 1 and 2. One target more in the mean would
			// give a goal of 6, or of 7 with a call that is about to end.
			f.Assert(changes.of(f.hash(0), "mean-reached")[0].From.Window >= 8, qt.IsTrue)
		})
	}
}
