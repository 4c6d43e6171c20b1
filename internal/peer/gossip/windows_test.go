package gossip_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Routers must learn the windows that others have opened and the successes that they have seen,
// also when they start later.
func TestWindowsSpread(t *testing.T) {
	f := newFixture(t)
	a, b := f.start("a", f.storeAddress), f.start("b", f.storeAddress)
	a.AddPeer(b.address)
	f.eventually("the routers know each other", func() bool { return a.LiveCount() == 2 && b.LiveCount() == 2 })
	window := func(r *router) int {
		r.pace.SetMean("s", []uint64{7, 8, 9}, 100, time.Now())
		got, _ := r.pace.Window(7, time.Now())
		return got
	}
	f.Assert(window(a)+window(b), qt.Equals, 0)
	a.pace.Recovered(7, "s", "ejection", time.Now())
	f.eventually("the window is known", func() bool { return window(b) == 2 })
	a.pace.RecordSuccess(7, time.Now())
	b.pace.RecordSuccess(7, time.Now())
	b.pace.RecordSuccess(7, time.Now())
	f.eventually("the successes are known", func() bool { return window(a) == 5 && window(b) == 5 })
	late := f.start("late", f.storeAddress)
	late.AddPeer(a.address)
	late.AddPeer(b.address)
	f.eventually("the window is known to a new router", func() bool { return window(late) == 5 })
	late.pace.RecordSetback(7, "refused", time.Now().Add(time.Second))
	f.eventually("the setback is known", func() bool { return window(a) == 2 && window(b) == 2 })
}

// Guards against routers that are listed but not heard, and take themselves for the only ones.
func TestListedRoutersAreKnown(t *testing.T) {
	f := newFixture(t)
	a, b := f.start("a", f.storeAddress), f.start("b", f.storeAddress)
	self, others := a.KnownRouters()
	f.Assert(others, qt.HasLen, 0)
	f.Assert(self, qt.Not(qt.Equals), uint64(0))
	a.AddPeer("127.0.0.1:1")
	a.AddPeer(b.address)
	b.stop()
	_, others = a.KnownRouters()
	f.Assert(others, qt.HasLen, 2)
}
