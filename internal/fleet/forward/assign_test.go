package forward_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetpace"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// callHooks are called while a call chooses its target: checked after the targets were checked,
// chosen after one was chosen and before its pace permits it.
type callHooks struct {
	isChecked       atomic.Bool
	checked, chosen func()
}

// config sets the hooks. They need a configuration with services, and the usual time of the route.
func (h *callHooks) config(c *forward.Config) {
	c.ReportInterval = func() time.Duration {
		h.checked()
		h.isChecked.Store(true)
		return time.Minute
	}
	c.ColdLimit = func(s state.Service) targetpace.Limit {
		if h.isChecked.CompareAndSwap(true, false) {
			h.chosen()
		}
		return targetpace.Limit{PerSecond: s.ColdRate, Overshoot: 1.5, Slack: 5}
	}
}

// newAssignFixture starts a router before two targets and returns the target that a call with a
// prompt is sent to if they are equal. Calls run hooks from then on.
func newAssignFixture(t *testing.T, pace *targetpace.Tracker, hooks *callHooks) (f *fixture, home, other int) {
	hooks.checked, hooks.chosen = func() {}, func() {}
	f = newFixture(t, 2, always("200 OK", "", "x"), hooks.config, func(c *forward.Config) { c.Pace = pace })
	f.view.Load().Configuration.Services = map[string]state.Service{"s": {Name: "s", ColdRate: 1000}}
	f.cacheIndex.MarkRestored()
	for range 3 { // Afterwards, the route's usual time is known.
		f.assertResponse(f.call("/chat/a"), 200, "x")
	}
	name, value, _ := strings.Cut(strings.TrimSpace(platformtest.PromptLine), ": ")
	var parts []affinity.Part
	for _, p := range platform.DecodeCallHeaders([]http1.Field{http1.NewField(name, value)}).Parts {
		parts = append(parts, affinity.Part(p))
	}
	candidates := []affinity.Candidate{{Target: f.hash(0), SameDomain: true}, {Target: f.hash(1), SameDomain: true}}
	home = affinity.NewCacheIndex().Choose(affinity.Request{Parts: parts}, candidates, time.Now()).Index
	return f, home, 1 - home
}

func (f *fixture) callWithPrompt() response {
	return f.send(platformtest.Request("/chat/a", platformtest.AuthorizationLine+platformtest.PromptLine, "x"))
}

// holders returns how many prompt parts each target holds, as far as the cache index knows.
func (f *fixture) holders() map[uint64]int {
	held := make(map[uint64]int)
	for _, h := range f.cacheIndex.Holdings(time.Now()) {
		held[h.Target]++
	}
	return held
}

// Guards against other routers that believe that a target holds a prompt which it was never sent:
// another call has used the last place in its window after it was found to be free.
func TestPromptIsNotHeldWhereItIsNotSent(t *testing.T) {
	// fill uses up the window of a target, which has recovered. Windows apply while most targets of
	// a service have none.
	fill := func(pace *targetpace.Tracker, target uint64) {
		pace.SetMean("s", []uint64{target, 1, 2, 3, 4, 5}, 100, time.Now())
		pace.RecoveredSince(target, "s", "ejected", time.Now(), time.Now())
		for range 100 {
			if !pace.TryBegin(target, time.Now()) {
				return
			}
		}
		t.Error("the target has no window")
	}
	t.Run("the call goes to another target", func(t *testing.T) {
		pace, hooks := newPace(), new(callHooks)
		f, home, other := newAssignFixture(t, pace, hooks)
		before := f.received()
		hooks.checked = func() { fill(pace, f.hash(home)) }
		f.assertResponse(f.callWithPrompt(), 200, "x")
		f.Assert(f.received()[other], qt.Equals, before[other]+1)
		f.Assert(f.holders(), qt.DeepEquals, map[uint64]int{f.hash(other): 2})
	})
	t.Run("the call is refused", func(t *testing.T) {
		pace, hooks := newPace(), new(callHooks)
		f, home, other := newAssignFixture(t, pace, hooks)
		before := f.received()
		hooks.checked = func() {
			fill(pace, f.hash(home))
			fill(pace, f.hash(other))
		}
		f.assertResponse(f.callWithPrompt(), 503, "")
		f.Assert(f.received(), qt.DeepEquals, before)
		f.Assert(f.holders(), qt.HasLen, 0)
		f.Assert(f.cacheIndex.TakeUpdates(10), qt.HasLen, 0)
	})
}

// Guards against a new prompt that two targets prefill, because the second call chooses before the
// index knows where the first one goes.
func TestCallsWithTheSameNewPromptGoToOneTarget(t *testing.T) {
	hooks := new(callHooks)
	f, home, other := newAssignFixture(t, newPace(), hooks)
	before := f.received()
	chosen, resume := make(chan struct{}, 2), make(chan struct{})
	hooks.chosen = func() {
		chosen <- struct{}{}
		<-resume
	}
	answers := make(chan response, 2)
	call := func() { answers <- f.callWithPrompt() }
	go call()
	<-chosen
	// With this load, another target would be cheaper if the index did not know of the first call.
	f.tracker.Begin(f.hash(home), 600, time.Now())
	checked := make(chan struct{})
	hooks.checked = func() { close(checked) }
	go call()
	<-checked
	select {
	case <-chosen:
	case <-time.After(50 * time.Millisecond): // It waits for the first call. A choice takes microseconds.
	}
	close(resume)
	for range 2 {
		f.assertResponse(<-answers, 200, "x")
	}
	f.Assert(f.received()[home], qt.Equals, before[home]+2)
	f.Assert(f.received()[other], qt.Equals, before[other])
}
