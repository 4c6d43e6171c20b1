package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

const (
	// limitWindow is the window in which the platform counts the calls that reach a target
	// with a limit. It may get limitRatio times what the limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// mostIn returns the largest number of times within a window.
func mostIn(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against routers that each keep to a target's limit as if they were alone, or
// that do not know it.
func TestTargetsThatNameALimit(t *testing.T) {
	const limited, perSecond = 6, 2
	f := newEngineFleet(t, 3, 8)
	f.warmUp(platformtest.PathChat)
	for engine := range limited {
		f.setLines(engine, platformtest.LimitLine(fmt.Sprint(perSecond)))
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), contactTime+2*limitWindow)
	defer cancel()
	var mu sync.Mutex
	sent, served := 0, 0
	repeat(ctx, 20*time.Millisecond, func(i int) {
		ok := f.call(platformtest.PathChat, "aa", fmt.Sprint("b", i%16), fmt.Sprint("d", i)) == http.StatusOK
		mu.Lock()
		defer mu.Unlock()
		sent++
		if ok {
			served++
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	for engine := range limited {
		var times []time.Time
		for _, at := range f.arrivals[engine] {
			if at.Sub(started) > contactTime {
				times = append(times, at)
			}
		}
		allowed := int(limitRatio*perSecond*limitWindow.Seconds()) + limitSlack
		f.Check(mostIn(times, limitWindow) <= allowed, qt.IsTrue,
			qt.Commentf("engine %d: %d calls in %v, %d allowed", engine, mostIn(times, limitWindow), limitWindow, allowed))
	}
	// The two other engines can serve all calls.
	f.Assert(served*100 >= sent*98, qt.IsTrue, qt.Commentf("%d of %d calls served", served, sent))
}
