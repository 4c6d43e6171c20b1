package gossip_test

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
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
	a.pace.RecoveredSince(7, "s", "ejection", time.Now(), time.Now())
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

// Guards against reports of many windows that do not fit into a datagram and are lost.
func TestWindowsFitIntoADatagram(t *testing.T) {
	f := newFixture(t)
	r := f.start("a", f.storeAddress)
	now := time.Now()
	r.pace.SetMean("s", nil, 1, now)
	for i := range uint64(100) {
		r.pace.RecoveredSince(math.MaxUint64-i, "s", "evacuation", now, now)
	}
	name := strings.Repeat("n", 64)
	b := &peerv1.Beacon{
		Router: name, CallerAddress: "255.255.255.255:65535", PeerAddress: "255.255.255.255:65535", FailureDomain: name,
		Incarnation: math.MaxUint64, ConfigurationVersion: math.MaxInt64, TargetsRevision: math.MaxUint64, StoreEra: math.MaxUint64,
		TargetsDigest: math.MaxUint64, TargetsListed: math.MaxUint64, Sender: math.MaxUint32, Number: math.MaxUint32, StoreAgeMs: math.MaxUint32,
	}
	for _, w := range r.pace.TakeReport(now) {
		b.Windows = append(b.Windows, &peerv1.TargetWindow{Target: w.Target, Epoch: math.MaxUint32, Level: math.MaxUint32, Successes: math.MaxUint32})
	}
	f.Assert(b.Windows, qt.HasLen, 30)
	f.Assert(proto.Size(b) <= 1400, qt.IsTrue, qt.Commentf("%d bytes", proto.Size(b)))
}
