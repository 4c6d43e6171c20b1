package gossip_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/policy/targetlimits"
)

// Routers must learn the limits that targets have named to others, and that one has ended,
// also when they start later.
func TestLimitsSpread(t *testing.T) {
	f := newFixture(t)
	a, b := f.start("a", f.storeAddress), f.start("b", f.storeAddress)
	a.AddPeer(b.address)
	f.eventually("the routers know each other", func() bool { return a.LiveCount() == 2 && b.LiveCount() == 2 })
	limit := func(r *router) float64 { return r.limits.Limits(time.Now())[7] }
	a.limits.Observe(7, targetlimits.Limit{Named: true, PerSecond: 2.5}, time.Now())
	f.eventually("the limit is known", func() bool { return limit(b) == 2.5 })
	late := f.start("late", f.storeAddress)
	late.AddPeer(a.address)
	late.AddPeer(b.address)
	f.eventually("the limit is known to a new router", func() bool { return limit(late) == 2.5 })
	b.limits.Observe(7, targetlimits.Limit{}, time.Now().Add(20*time.Millisecond))
	f.eventually("the limit has ended", func() bool { return limit(a) == 0 && limit(late) == 0 })
}

// Routers must learn of crashes that others have seen, of answers that acquit a part, and
// of quarantined parts also when they start later.
func TestCrashesOfPartsSpread(t *testing.T) {
	f := newFixture(t)
	a, b := f.start("a", f.storeAddress), f.start("b", f.storeAddress)
	a.AddPeer(b.address)
	f.eventually("the routers know each other", func() bool { return a.LiveCount() == 2 && b.LiveCount() == 2 })
	standing := func(r *router, part uint64) quarantine.Standing {
		return r.quarantine.Standing([]uint64{part}, time.Now())
	}
	now := time.Now()
	a.quarantine.RecordCrash(quarantine.Crash{Target: 1, At: now, Parts: []uint64{7, 8}}, 0, now)
	f.eventually("the crash is known", func() bool { return standing(b, 7) == quarantine.Suspected && standing(b, 8) == quarantine.Suspected })
	b.quarantine.RecordAnswer([]uint64{8}, time.Now().Add(50*time.Millisecond))
	f.eventually("the answer is known", func() bool { return standing(a, 8) == quarantine.Clear })
	f.Assert(standing(a, 7), qt.Equals, quarantine.Suspected)
	a.quarantine.Restore([]quarantine.Record{{Part: 9, Crashes: 4, LastCrash: now, LastSeen: now}}, now)
	late := f.start("late", f.storeAddress)
	late.AddPeer(a.address)
	f.eventually("the record is known", func() bool { return standing(late, 9) == quarantine.Quarantined })
	f.Assert(late.quarantine.Records(time.Now())[0].Crashes, qt.Equals, 4)
}

// Guards against a record whose age exceeds what a beacon can hold and that looks new to
// others.
func TestOldCrashesStayOld(t *testing.T) {
	f := newFixture(t)
	a, b := f.start("a", f.storeAddress), f.start("b", f.storeAddress)
	a.AddPeer(b.address)
	f.eventually("the routers know each other", func() bool { return a.LiveCount() == 2 && b.LiveCount() == 2 })
	now := time.Now()
	// An hour more than the milliseconds that 32 bits hold.
	crashed := now.Add(-(1<<32)*time.Millisecond - time.Hour)
	a.quarantine.Restore([]quarantine.Record{{Part: 9, Crashes: 4, LastCrash: crashed, LastSeen: now}}, now)
	f.eventually("the record is known", func() bool { return len(b.quarantine.Records(time.Now())) == 1 })
	f.Assert(now.Sub(b.quarantine.Records(now)[0].LastCrash) > 1000*time.Hour, qt.IsTrue)
}
