package storewatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/platform/platformtest"
)

const (
	eraOne uint64 = state.FirstEra
	eraTwo uint64 = state.FirstEra + 1
)

func incarnation(name string, born int) uint64 {
	return (&state.Target{ID: name, StartUnixMilli: int64(born)}).Incarnation()
}

func bornItem(name, state string, born int) storewatch.TargetChange {
	return storewatch.TargetChange{Entry: platformtest.Entry(name, platformtest.Target("10.0.0.1:80", state, born))}
}

// newLeaving returns a router that knows the targets i-1 and i-2, of which i-1 has told it that
// it leaves.
func newLeaving(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), Watcher: storewatch.New(nil, zerolog.Nop(), nil, nil)}
	f.list(eraOne, 50, bornItem("i-1", "ready", 1), bornItem("i-2", "ready", 1))
	f.Assert(f.ready(), qt.Equals, 2)
	f.RecordLeaving(incarnation("i-1", 1))
	return f
}

func (f *fixture) list(era, number uint64, items ...storewatch.TargetChange) {
	f.Helper()
	d := storewatch.Delta{Revision: state.Revision{Era: era, Number: number}, Items: items}
	f.Assert(f.ApplyTargets(d, true, "other"), qt.IsTrue)
}

func (f *fixture) change(number uint64, items ...storewatch.TargetChange) {
	f.Helper()
	d := storewatch.Delta{
		After: state.Revision{Era: eraOne, Number: number - 1}, Revision: state.Revision{Era: eraOne, Number: number}, Items: items,
	}
	f.Assert(f.ApplyTargets(d, false, "other"), qt.IsTrue)
}

// assertLeaving checks that i-1 gets no new calls and that i-2 does.
func (f *fixture) assertLeaving() {
	f.Helper()
	f.Assert(f.ready(), qt.Equals, 1)
	for _, t := range f.View().Targets.ByService["s"] {
		f.Assert(t.Leaving, qt.Equals, t.ID == "i-1")
		f.Assert(t.Draining, qt.Equals, t.ID == "i-1")
	}
}

// Guards against announcements that are lost with one datagram, or that go on for good.
func TestAnnouncementsAreToldAFewTimes(t *testing.T) {
	f := newLeaving(t)
	for range 3 {
		list := f.TakeAnnouncements()
		f.Assert(list, qt.HasLen, 1)
		other := &fixture{C: f.C, Watcher: storewatch.New(nil, zerolog.Nop(), nil, nil)}
		other.list(eraOne, 50, bornItem("i-1", "ready", 1), bornItem("i-2", "ready", 1))
		other.ApplyAnnouncements(list)
		other.assertLeaving()
		f.Assert(other.TakeAnnouncements(), qt.HasLen, 0)
	}
	f.RecordLeaving(incarnation("i-1", 1))
	f.Assert(f.TakeAnnouncements(), qt.HasLen, 0)
}

// Guards against many announcements that are dropped because they do not fit into a datagram.
func TestManyAnnouncementsAreAllTold(t *testing.T) {
	f := newLeaving(t)
	told := map[uint64]bool{incarnation("i-1", 1): true}
	for target := range uint64(200) {
		f.RecordLeaving(target)
		told[target] = true
	}
	rounds := 0
	for list := f.TakeAnnouncements(); len(list) > 0; list = f.TakeAnnouncements() {
		f.Assert(len(list) <= 30, qt.IsTrue)
		for _, d := range list {
			delete(told, d.Target)
		}
		rounds++
	}
	f.Assert(told, qt.HasLen, 0)
	f.Assert(rounds <= 22, qt.IsTrue, qt.Commentf("%d rounds", rounds))
}

// Guards against a target that is called again after it has said that it leaves, because an
// entry of the same incarnation says that it is ready.
func TestEntriesDoNotTakeBackThatATargetLeaves(t *testing.T) {
	ready := bornItem("i-1", "ready", 1)
	t.Run("it applies at once", func(t *testing.T) { newLeaving(t).assertLeaving() })
	t.Run("a change that says ready", func(t *testing.T) {
		f := newLeaving(t)
		f.change(51, ready)
		f.assertLeaving()
	})
	t.Run("a change that says draining, and one that says ready", func(t *testing.T) {
		f := newLeaving(t)
		f.change(51, bornItem("i-1", "draining", 1))
		f.assertLeaving()
		f.change(52, ready)
		f.assertLeaving()
	})
	t.Run("a list that says ready", func(t *testing.T) {
		f := newLeaving(t)
		f.list(eraOne, 60, ready, bornItem("i-2", "ready", 1))
		f.assertLeaving()
	})
	t.Run("an entry that was removed and written again", func(t *testing.T) {
		f := newLeaving(t)
		f.change(51, storewatch.TargetChange{Deleted: "i-1"})
		f.Assert(f.ready(), qt.Equals, 1)
		f.change(52, ready)
		f.assertLeaving()
	})
	t.Run("a store that came back from an earlier state", func(t *testing.T) {
		f := newLeaving(t)
		f.list(eraTwo, 30, ready, bornItem("i-2", "ready", 1))
		f.assertLeaving()
		f.list(eraTwo, 31, ready, bornItem("i-2", "ready", 1))
		f.assertLeaving()
	})
	t.Run("a revision that advances", func(t *testing.T) {
		f := newLeaving(t)
		f.AdvanceRevision(state.Revision{Era: eraOne, Number: 70}, f.View().Targets.Digest)
		f.assertLeaving()
	})
	t.Run("a restart does", func(t *testing.T) {
		f := newLeaving(t)
		f.change(51, bornItem("i-1", "ready", 2))
		f.Assert(f.ready(), qt.Equals, 2)
		f.change(52, ready)
		f.assertLeaving()
	})
	t.Run("an incarnation that is not listed yet", func(t *testing.T) {
		f := newLeaving(t)
		f.RecordLeaving(incarnation("i-1", 2))
		f.change(51, bornItem("i-1", "ready", 2))
		f.assertLeaving()
	})
}
