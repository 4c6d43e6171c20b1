package storewatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
func withSavedTargets(t *testing.T, names ...string) *fixture {
	f := newFixture(t, true)
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
		return f.version() == int64(last) && f.View().Targets.Revision == f.store.Revision()
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
		f := withSavedTargets(t, "i-1", "i-2")
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
		f := withSavedTargets(t, "i-1", "i-2")
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
		f := withSavedTargets(t, "i-1", "i-2")
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
	f := withSavedTargets(t, "i-1")
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
	f := withSavedTargets(t, "i-1")
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
	f := withSavedTargets(t, "i-1", "i-2", "i-3")
	f.store.Set(platformtest.KindTargets, "i-1", target("draining"))
	f.store.Remove(platformtest.KindTargets, "i-2")
	f.eventually("one target is left", func() bool { return f.ready() == 1 })
	f.store.Restore()
	f.assertReadyFor(1, 1500*time.Millisecond)
	f.store.Set(platformtest.KindTargets, "i-2", platformtest.Target("10.0.0.9:80", "ready", 0))
	f.eventually("one that writes its entry again is used", func() bool { return f.ready() == 2 })
}
