package storewatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/platform/platformtest"
)

// setConfigurations writes the configurations of versions from to last.
func (f *fixture) setConfigurations(from, last int) {
	for v := from; v <= last; v++ {
		f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(v))
	}
}

// withSavedTargets returns a fixture whose store has saved a state with the targets named,
// all of them ready, and configuration 1.
func withSavedTargets(t *testing.T, names []string, opts ...storewatch.Option) *fixture {
	f := newFixtureWithStore(t, true, platformtest.NewStore(), opts...)
	f.setConfigurations(1, 1)
	for _, name := range names {
		f.store.Set(platformtest.KindTargets, name, target("ready"))
	}
	f.store.Save()
	f.eventually("the saved targets are known", func() bool { return f.version() == 1 && f.ready() == len(names) })
	return f
}

// advance writes configurations up to version last and waits until their revision is known.
func (f *fixture) advance(last int) {
	f.Helper()
	f.setConfigurations(2, last)
	f.eventually("the configurations and their revision are known", func() bool {
		return f.version() == int64(last) && f.View().Targets.Revision.Number == f.store.Revision()
	})
}

// assertReadyFor checks that n targets are ready for the whole of d.
func (f *fixture) assertReadyFor(n int, d time.Duration) {
	f.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.Assert(f.ready(), qt.Equals, n)
	}
}

// Guards against a target that is called for seconds after it has left: the store has come
// back from an earlier state, and its lists are taken for old ones until it has overtaken the
// known revision.
func TestChangesAfterTheStoreCameBackFromAnEarlierState(t *testing.T) {
	t.Run("are applied while it is behind the known revision", func(t *testing.T) {
		f := withSavedTargets(t, []string{"i-1", "i-2"})
		f.advance(60)
		before := f.store.Calls()
		f.store.Restore()
		f.store.Set(platformtest.KindTargets, "i-1", target("draining"))
		changed := time.Now()
		f.eventually("the target drains", func() bool { return f.ready() == 1 })
		f.Assert(time.Since(changed) < time.Second, qt.IsTrue)
		time.Sleep(time.Second)
		f.Assert(f.store.Calls()-before < 20, qt.IsTrue, qt.Commentf("%d calls", f.store.Calls()-before))
	})
	t.Run("are applied if it has overtaken the known revision meanwhile", func(t *testing.T) {
		f := withSavedTargets(t, []string{"i-1", "i-2"})
		f.advance(10)
		f.store.Fail(503)
		f.store.Restore()
		f.store.Set(platformtest.KindTargets, "i-1", target("draining"))
		f.setConfigurations(11, 40)
		// The watch from the known revision returns this change, and not the one before.
		f.store.Set(platformtest.KindTargets, "i-3", target("ready"))
		f.store.Fail(0)
		back := time.Now()
		f.eventually("the target drains", func() bool {
			targets := f.View().Targets.ByService["s"]
			return f.version() == 40 && len(targets) == 3 && targets[0].Draining && f.ready() == 2
		})
		f.Assert(time.Since(back) < 1500*time.Millisecond, qt.IsTrue)
	})
	t.Run("twice within a second", func(t *testing.T) {
		f := withSavedTargets(t, []string{"i-1", "i-2"})
		f.advance(60)
		f.store.Restore()
		time.Sleep(300 * time.Millisecond)
		f.store.Restore()
		f.store.Set(platformtest.KindTargets, "i-2", target("draining"))
		changed := time.Now()
		f.eventually("the target drains", func() bool { return f.ready() == 1 })
		f.Assert(time.Since(changed) < time.Second, qt.IsTrue)
	})
}

// Guards against a configuration that the store's copy lacks and that is taken back, or whose
// successor is not taken because its revision is low.
func TestConfigurationsSurviveARestoredStore(t *testing.T) {
	f := withSavedTargets(t, []string{"i-1"})
	f.advance(30)
	f.store.Restore()
	time.Sleep(time.Second)
	f.Assert(f.version(), qt.Equals, int64(30))
	f.setConfigurations(31, 31)
	changed := time.Now()
	f.eventually("configuration 31", func() bool { return f.version() == 31 })
	f.Assert(time.Since(changed) < time.Second, qt.IsTrue)
}

// Guards against targets that are dropped because the store's copy is older than their entries.
// They have two seconds to write them again.
func TestTargetsThatARestoredStoreLacksAreRetained(t *testing.T) {
	f := withSavedTargets(t, []string{"i-1"})
	f.store.Set(platformtest.KindTargets, "i-2", target("ready"))
	f.store.Set(platformtest.KindTargets, "i-3", target("ready"))
	f.eventually("the new targets are known", func() bool { return f.ready() == 3 })
	f.store.Restore()
	f.assertReadyFor(3, 1900*time.Millisecond)
	f.store.Set(platformtest.KindTargets, "i-2", target("ready"))
	f.eventually("the one that was not written again is removed", func() bool { return f.ready() == 2 })
	f.assertReadyFor(2, time.Second)
}

// Guards against a target that left and is called again because the store's copy still lists it
// as ready.
func TestTargetsThatLeftStayGoneInARestoredStore(t *testing.T) {
	f := withSavedTargets(t, []string{"i-1", "i-2", "i-3"})
	f.store.Set(platformtest.KindTargets, "i-1", target("draining"))
	f.store.Remove(platformtest.KindTargets, "i-2")
	f.eventually("one target is left", func() bool { return f.ready() == 1 })
	f.store.Restore()
	f.assertReadyFor(1, 1500*time.Millisecond)
	f.store.Set(platformtest.KindTargets, "i-2", platformtest.Target("10.0.0.9:80", "ready", 0))
	f.eventually("one that writes its entry again is used", func() bool { return f.ready() == 2 })
}

// Guards against a live target that is never used again: its entry was removed and the copy from
// which the store came back still has it, so that the target has nothing to write.
func TestTargetsThatStayListedAreUsedAgain(t *testing.T) {
	f := withSavedTargets(t, []string{"i-1", "i-2"}, storewatch.WithHeartbeat(50*time.Millisecond))
	f.store.Set(platformtest.KindTargets, "i-1", target("draining"))
	f.store.Remove(platformtest.KindTargets, "i-2")
	f.eventually("no target is left", func() bool { return f.ready() == 0 })
	f.store.Restore()
	f.assertReadyFor(0, 2*time.Second)
	f.eventually("the one that was removed is used again", func() bool { return f.ready() == 1 })
	f.assertReadyFor(1, 500*time.Millisecond) // The other one has announced that it leaves.
}

// Guards against a new incarnation that is dropped for the one before it, which the store's copy
// has under the same name.
func TestNewIncarnationsSurviveARestoredStore(t *testing.T) {
	f := withSavedTargets(t, []string{"i-1"})
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target("10.0.0.2:80", "ready", 7))
	f.eventually("the restart is known", func() bool { return f.View().Targets.ByService["s"][0].StartUnixMilli == 7 })
	f.store.Restore()
	for end := time.Now().Add(1900 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		targets := f.View().Targets.ByService["s"]
		f.Assert(targets, qt.HasLen, 1)
		f.Assert(targets[0].StartUnixMilli, qt.Equals, int64(7))
	}
}

// Guards against answers from before the store came back that arrive after later ones.
func TestAnswersOfAnEarlierEraAreIgnored(t *testing.T) {
	f := withSavedTargets(t, []string{"i-1", "i-2"})
	f.advance(20)
	f.store.Restore()
	f.eventually("the second era is known", func() bool { return f.View().Targets.Revision.Era == 2 })
	f.store.StateEra("1")
	f.store.Set(platformtest.KindTargets, "i-1", target("draining"))
	f.assertReadyFor(2, 500*time.Millisecond)
	f.store.StateTrueEra()
	f.eventually("the target drains", func() bool { return f.ready() == 1 })
}

func TestAnswersWithoutAnEraAreOfTheLatestOne(t *testing.T) {
	for name, values := range map[string][]string{
		"absent": {}, "repeated": {"2", "2"}, "not a number": {"two"}, "negative": {"-2"}, "empty": {""},
	} {
		t.Run(name, func(t *testing.T) {
			f := withSavedTargets(t, []string{"i-1", "i-2"})
			f.store.StateEra(values...)
			f.store.Set(platformtest.KindTargets, "i-1", target("draining"))
			changed := time.Now()
			f.eventually("the target drains", func() bool { return f.ready() == 1 })
			f.Assert(time.Since(changed) < time.Second, qt.IsTrue)
			f.setConfigurations(2, 2)
			f.eventually("configuration 2", func() bool { return f.version() == 2 })
		})
	}
}

// Guards against revisions that routers compare across eras: the same number names another state.
func TestChangesFromRoutersInOtherEras(t *testing.T) {
	in := func(era, number uint64) state.Revision { return state.Revision{Era: era, Number: number} }
	setup := func(t *testing.T) *fixture {
		f := &fixture{C: qt.New(t)}
		f.Watcher = storewatch.New(nil, zerolog.Nop(), nil, nil)
		f.Assert(f.ApplyTargets(storewatch.Delta{Revision: in(1, 50), Items: []storewatch.TargetChange{
			item("i-1", "ready"), item("i-2", "ready"),
		}}, true, "other"), qt.IsTrue)
		return f
	}
	restored := storewatch.Delta{Revision: in(2, 30), Items: []storewatch.TargetChange{item("i-1", "ready"), item("i-3", "ready")}}
	t.Run("a snapshot of a later era is applied though its number is lower", func(t *testing.T) {
		f := setup(t)
		f.Assert(f.ApplyTargets(restored, true, "other"), qt.IsTrue)
		f.Assert(f.View().Targets.Revision, qt.Equals, in(2, 30))
		f.Assert(f.ready(), qt.Equals, 3) // i-2 may still write its entry again.
	})
	t.Run("a change of a later era needs a snapshot first", func(t *testing.T) {
		f := setup(t)
		f.Assert(f.ApplyTargets(storewatch.Delta{After: in(2, 50), Revision: in(2, 51)}, false, "other"), qt.IsFalse)
		f.AdvanceRevision(in(2, 51), f.View().Targets.Digest)
		f.Assert(f.View().Targets.Revision, qt.Equals, in(1, 50))
	})
	t.Run("a change of an earlier era is ignored though its number is higher", func(t *testing.T) {
		f := setup(t)
		f.Assert(f.ApplyTargets(restored, true, "other"), qt.IsTrue)
		f.Assert(f.ApplyTargets(storewatch.Delta{After: in(1, 50), Revision: in(1, 60), Items: []storewatch.TargetChange{
			{Deleted: "i-1"},
		}}, false, "other"), qt.IsTrue)
		f.AdvanceRevision(in(1, 70), f.View().Targets.Digest)
		f.Assert(f.View().Targets.Revision, qt.Equals, in(2, 30))
		f.Assert(f.ready(), qt.Equals, 3)
	})
	t.Run("a router of an earlier era gets all targets and those that have left", func(t *testing.T) {
		f := setup(t)
		f.Assert(f.ApplyTargets(storewatch.Delta{After: in(1, 50), Revision: in(1, 51), Items: []storewatch.TargetChange{
			item("i-1", "draining"),
		}}, false, "other"), qt.IsTrue)
		f.Assert(f.ApplyTargets(restored, true, "other"), qt.IsTrue)
		s := f.Snapshot(0, in(1, 99))
		f.Assert(s.Full, qt.IsTrue)
		f.Assert(s.Departures, qt.HasLen, 1)
		started := &fixture{C: f.C, Watcher: storewatch.New(nil, zerolog.Nop(), nil, nil)}
		started.ApplyDepartures(s.Departures)
		f.Assert(started.ApplyTargets(s.Targets, true, "other"), qt.IsTrue)
		f.Assert(f.ready(), qt.Equals, 2)
		f.Assert(started.ready(), qt.Equals, 2) // i-1 has left, i-2 is kept for a time.
	})
}
