package storewatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/platform/platformtest"
)

func isFirstPage(after string) bool   { return after == "" }
func isFurtherPage(after string) bool { return after != "" }

// Guards against calls to an evacuated failure domain, or none to one that is in use again: a
// router that started took an old further page of a cached list for as new as the first.
func TestEvacuationsAreNotTakenFromOldPages(t *testing.T) {
	for name, test := range map[string]struct {
		change func(s *platformtest.Store)
		want   []string
	}{
		"begun": {func(s *platformtest.Store) { s.Set(platformtest.KindEvacuations, west, "{}") }, []string{east, west}},
		"ended": {func(s *platformtest.Store) { s.Remove(platformtest.KindEvacuations, east) }, []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			store := newStoreOfTwoDomains()
			for _, domain := range []string{"a", "b", east} {
				store.Set(platformtest.KindEvacuations, domain, "{}")
			}
			store.SetPageSize(2)
			store.FreezeCachedPages(isFurtherPage)
			test.change(store)
			f := watchTwoDomains(t, store)
			f.assertEvacuated(test.want...)
			f.assertStaysEvacuated(evacuationBound, test.want...)
		})
	}
}

// Guards against lists that are read again only because their pages are of different ages: the
// platform charges for each call.
func TestOldPagesCostNoFurtherCalls(t *testing.T) {
	const wantCalls = 4 // One for the configuration, one for each page.
	for name, isOld := range map[string]bool{"all pages are new": false, "the further pages are old": true} {
		t.Run(name, func(t *testing.T) {
			store := platformtest.NewStore()
			for _, target := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
				store.Set(platformtest.KindTargets, target, platformtest.Target("10.0.0.1:80", "ready", 0))
			}
			store.SetPageSize(2)
			if isOld {
				store.FreezeCachedPages(isFurtherPage)
			}
			store.Set(platformtest.KindTargets, "i-5", platformtest.Target("10.0.0.1:80", "draining", 0))
			f := newFixtureWithStore(t, false, store)
			f.eventually("the list is read", func() bool { return f.View().Targets.Revision.Number > 0 })
			time.Sleep(500 * time.Millisecond)
			f.Assert(store.Calls(), qt.Equals, wantCalls)
		})
	}
}

// Guards against a list in several calls beside changes, whose later pages are newer than the
// revision that it states: an older change from another router replaced their entries or brought
// back those that are gone.
func TestOlderChangesDoNotReplaceNewerPages(t *testing.T) {
	store := platformtest.NewStore()
	for _, name := range []string{"a-1", "a-2", "i-1", "i-2"} {
		store.Set(platformtest.KindTargets, name, target("ready"))
	}
	store.SetPageSize(2)
	store.FreezeCachedPages(isFirstPage)
	listed := at(store.Revision())
	store.Set(platformtest.KindTargets, "i-1", platformtest.Target("10.0.0.2:80", "ready", 0))
	changed := item("i-1", "ready")
	store.Set(platformtest.KindTargets, "i-1", target("draining"))
	store.Remove(platformtest.KindTargets, "i-2")
	f := newFixtureWithStore(t, false, store)
	f.eventually("the list is known", func() bool { return f.View().Targets.Revision == listed })
	f.Assert(f.ready(), qt.Equals, 2)
	f.Assert(f.ApplyTargets(storewatch.Delta{
		After: listed, Revision: at(listed.Number + 1), Items: []storewatch.TargetChange{changed, item("i-2", "ready")},
	}, false, "other"), qt.IsTrue)
	f.Assert(f.View().Targets.Revision, qt.Equals, at(listed.Number+1))
	f.Assert(f.ready(), qt.Equals, 2)
	f.Assert(f.ApplyTargets(storewatch.Delta{
		After: at(listed.Number + 1), Revision: at(store.Revision() + 1), Items: []storewatch.TargetChange{item("i-2", "ready")},
	}, false, "other"), qt.IsTrue)
	f.Assert(f.ready(), qt.Equals, 3, qt.Commentf("a later change is applied"))
}

// Guards against a snapshot of another router that brings back what a later list lacks (issue 55):
// a watch had lost the removal, the list found it, and the snapshot of the same revision was late.
func TestSnapshotsOfOlderListsDoNotUndoLaterOnes(t *testing.T) {
	f := newFixture(t, true)
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target("10.0.0.1:80", "ready", 0))
	f.eventually("the target is known", func() bool { return f.ready() == 1 })
	f.store.SuppressEvents(true)
	f.store.Remove(platformtest.KindTargets, "i-1")
	f.eventually("a list finds the removal", func() bool { return f.ready() == 0 })
	f.store.SuppressEvents(false)
	known := f.View().Targets
	late := storewatch.Delta{Revision: known.Revision, Items: []storewatch.TargetChange{item("i-1", "ready")}, ListRevision: at(1)}
	f.Assert(f.ApplyTargets(late, true, "other"), qt.IsTrue)
	f.Assert(f.ready(), qt.Equals, 0)
	other := newFollower(t)
	other.ApplyTargets(storewatch.Delta{After: at(1), Revision: known.Revision, Items: late.Items}, false, "other")
	f.Assert(other.ready(), qt.Equals, 1)
	other.ApplyTargets(f.Snapshot(0, at(0)).Targets, true, "other")
	f.Assert(other.ready(), qt.Equals, 0, qt.Commentf("a snapshot of a later list is applied"))
}

// Guards against routers that fetch the same snapshot again and again while versions are mixed: one
// of an earlier version does not say on which list its snapshot is based.
func TestSnapshotsWithoutAListAreApplied(t *testing.T) {
	f := newFollower(t)
	f.Assert(f.ApplyTargets(storewatch.Delta{Revision: at(1), Items: []storewatch.TargetChange{item("i-1", "ready")}}, true, "other"), qt.IsTrue)
	f.Assert(f.ready(), qt.Equals, 1)
}
