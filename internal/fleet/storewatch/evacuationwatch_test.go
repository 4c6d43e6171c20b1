package storewatch_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/platform/platformtest"
)

// changeOtherKinds changes another kind every 50 ms until the test ends, as the fleet's targets do.
func (f *fixture) changeOtherKinds() {
	done := make(chan struct{})
	f.Cleanup(func() { close(done) })
	go func() {
		for i := 1; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				f.setConfigurations(i, i)
			}
		}
	}()
}

// Guards against evacuations that are not known because a watch has lost their events, and
// against a list for each change of another kind, since the platform charges for it.
func TestWatchesThatReturnNoEvacuations(t *testing.T) {
	start := func(t *testing.T) (*fixture, *kindCalls) {
		store := newStoreOfTwoDomains()
		calls := &kindCalls{Handler: store}
		f := newFixtureWithHandler(t, func() bool { return true }, store, calls, storewatch.WithEvacuations(evacuationBound))
		f.awaitSet()
		f.changeOtherKinds()
		return f, calls
	}
	t.Run("a cached list tells", func(t *testing.T) {
		f, calls := start(t)
		f.store.SuppressEvents(true)
		f.evacuate(east)
		f.assertEvacuated(east)
		f.endEvacuation(east)
		f.assertEvacuated()
		lists, _, _ := calls.counts()
		f.Assert(lists, qt.Equals, 0)
	})
	t.Run("a list tells if the cached one is old", func(t *testing.T) {
		f, calls := start(t)
		f.store.FreezeCachedLists(true)
		f.store.SuppressEvents(true)
		f.evacuate(east)
		f.assertEvacuated(east)
		f.store.SuppressEvents(false)
		f.assertStaysEvacuated(time.Second, east)
		lists, _, _ := calls.counts()
		f.Assert(lists > 0, qt.IsTrue)
	})
	t.Run("calls while other kinds change", func(t *testing.T) {
		f, calls := start(t)
		_, cachedBefore, watchesBefore := calls.counts()
		const waits = 4
		time.Sleep(waits * evacuationBound * 2 / 5)
		lists, cached, watches := calls.counts()
		f.Assert(lists, qt.Equals, 0)
		f.Assert(cached-cachedBefore <= waits, qt.IsTrue, qt.Commentf("%d cached lists", cached-cachedBefore))
		f.Assert(watches-watchesBefore <= waits, qt.IsTrue, qt.Commentf("%d watches", watches-watchesBefore))
	})
}

// Guards against calls to the store in rapid succession if it answers watches before their time.
func TestWatchesOfEvacuationsThatEndEarly(t *testing.T) {
	store := newStoreOfTwoDomains()
	calls := &kindCalls{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if query := r.URL.Query(); query.Has("watch") {
			query.Set("wait_ms", "0")
			r.URL.RawQuery = query.Encode()
		}
		store.ServeHTTP(w, r)
	})}
	f := newFixtureWithHandler(t, func() bool { return true }, store, calls, storewatch.WithEvacuations(evacuationBound))
	f.awaitSet()
	f.evacuate(east)
	f.assertEvacuated(east)
	time.Sleep(time.Second)
	lists, cached, watches := calls.counts()
	f.Assert(lists+cached+watches < 10, qt.IsTrue, qt.Commentf("%d lists, %d cached, %d watches", lists, cached, watches))
}

// Guards against an old cached list that takes back a later set, or that stands for good.
func TestOldCachedListsOfEvacuations(t *testing.T) {
	frozen := func() *platformtest.Store {
		store := newStoreOfTwoDomains()
		store.Set(platformtest.KindEvacuations, west, "{}")
		store.FreezeCachedLists(true)
		store.Set(platformtest.KindEvacuations, east, "{}")
		store.Remove(platformtest.KindEvacuations, west)
		return store
	}
	t.Run("a router that watches corrects it", func(t *testing.T) {
		f := watchTwoDomains(t, frozen())
		f.assertEvacuated(east)
		f.assertStaysEvacuated(evacuationBound, east)
	})
	t.Run("a later set of another router stays", func(t *testing.T) {
		store := frozen()
		held := make(chan struct{})
		f := newFixtureWithHandler(t, func() bool { return false }, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, platformtest.KindEvacuations) {
				<-held
			}
			store.ServeHTTP(w, r)
		}), storewatch.WithEvacuations(evacuationBound))
		f.eventually("the targets are known", func() bool { return f.ready() == 2 })
		f.hear(eraOne, store.Revision(), east)
		f.assertEvacuated(east)
		close(held)
		f.assertStaysEvacuated(evacuationBound, east)
	})
	t.Run("one that may be of an earlier era applies until a set is known", func(t *testing.T) {
		store := frozen()
		store.Save()
		store.Restore()
		f := newFixtureWithStore(t, false, store, storewatch.WithEvacuations(evacuationBound))
		f.assertEvacuated(west)
		_, known := f.Evacuations()
		f.Assert(known, qt.IsFalse) // Other routers are not told.
		f.assertEvacuated(east)
		_, known = f.Evacuations()
		f.Assert(known, qt.IsTrue)
	})
}

// Guards against evacuations that are forgotten or not learned because of a store that does not
// answer, or answers late.
func TestEvacuationsWhileTheStoreIsAway(t *testing.T) {
	t.Run("refused calls", func(t *testing.T) {
		f := watchTwoDomains(t, newStoreOfTwoDomains())
		f.evacuate(east)
		f.assertEvacuated(east)
		f.store.Fail(http.StatusServiceUnavailable)
		f.assertStaysEvacuated(time.Second, east)
		f.store.Fail(0)
		f.endEvacuation(east)
		f.evacuate(west)
		f.assertEvacuated(west)
	})
	t.Run("refused cached lists", func(t *testing.T) {
		store := newStoreOfTwoDomains()
		f := newFixtureWithHandler(t, func() bool { return true }, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("serializable") && strings.HasSuffix(r.URL.Path, platformtest.KindEvacuations) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			store.ServeHTTP(w, r)
		}), storewatch.WithEvacuations(evacuationBound))
		f.awaitSet()
		f.evacuate(east)
		f.assertEvacuated(east)
	})
	t.Run("a compacted history", func(t *testing.T) {
		f := watchTwoDomains(t, newStoreOfTwoDomains())
		f.store.Fail(http.StatusServiceUnavailable)
		f.evacuate(west)
		f.store.Compact()
		f.store.Fail(0)
		f.assertEvacuated(west)
	})
	t.Run("slow answers", func(t *testing.T) {
		store := newStoreOfTwoDomains()
		f := newFixtureWithHandler(t, func() bool { return true }, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(200 * time.Millisecond)
			store.ServeHTTP(w, r)
		}), storewatch.WithEvacuations(evacuationBound))
		f.awaitSet()
		f.evacuate(east)
		f.assertEvacuated(east)
		f.endEvacuation(east)
		f.assertEvacuated()
	})
	t.Run("calls that are never answered", func(t *testing.T) {
		store := newStoreOfTwoDomains()
		var hangs atomic.Bool
		f := newFixtureWithHandler(t, func() bool { return true }, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if hangs.Load() {
				<-r.Context().Done()
				return
			}
			store.ServeHTTP(w, r)
		}), storewatch.WithEvacuations(evacuationBound))
		f.awaitSet()
		f.evacuate(east)
		f.assertEvacuated(east)
		hangs.Store(true)
		f.assertStaysEvacuated(2*time.Second, east)
		f.evacuate(west)
		hangs.Store(false)
		f.assertEvacuated(east, west)
	})
	t.Run("answers without an era", func(t *testing.T) {
		store := newStoreOfTwoDomains()
		store.StateEra()
		f := watchTwoDomains(t, store)
		f.evacuate(east)
		f.assertEvacuated(east)
		f.endEvacuation(east)
		f.assertEvacuated()
	})
}

// Guards against evacuations that end late or never, or are not learned, because the store has
// come back from an earlier state and its revisions are lower than the known one.
func TestEvacuationsOfARestoredStore(t *testing.T) {
	restore := func(t *testing.T) *fixture {
		f := watchTwoDomains(t, newStoreOfTwoDomains())
		f.evacuate(west)
		f.assertEvacuated(west)
		f.store.Save()
		f.advance(60)
		f.evacuate(east)
		f.assertEvacuated(east, west)
		f.store.Restore()
		return f
	}
	t.Run("the store's state is the truth although its revision is lower for good", func(t *testing.T) {
		f := restore(t)
		f.assertEvacuated(west)
		f.assertStaysEvacuated(time.Second, west)
		f.endEvacuation(west)
		f.assertEvacuated()
		f.evacuate(east)
		f.assertEvacuated(east)
	})
	t.Run("other routers are told", func(t *testing.T) {
		f := restore(t)
		f.assertEvacuated(west)
		set, ok := f.Evacuations()
		f.Assert(ok, qt.IsTrue)
		f.Assert(set.Revision.Era, qt.Equals, eraTwo)
		other := newUnwatched(t)
		other.hear(eraOne, 1000, east, west)
		other.hear(set.Revision.Era, set.Revision.Number, set.Names()...)
		other.assertEvacuated(west)
		f.hear(eraOne, 1000, east, west)
		f.assertStaysEvacuated(time.Second, west)
	})
	t.Run("the known set is kept until the store is read", func(t *testing.T) {
		f := watchTwoDomains(t, newStoreOfTwoDomains())
		f.store.Save()
		f.advance(30)
		f.evacuate(east)
		f.assertEvacuated(east)
		f.store.Fail(http.StatusServiceUnavailable)
		f.store.Restore()
		f.assertStaysEvacuated(time.Second, east)
		f.store.Fail(0)
		f.assertEvacuated()
	})
}

// Guards against a router that starts without other routers and never knows the evacuations, and
// against one that asks the store again and again although it need not watch it.
func TestRoutersThatDoNotWatchEvacuations(t *testing.T) {
	start := func(t *testing.T, watches *atomic.Bool, handler func(*platformtest.Store) http.Handler) (*fixture, *kindCalls) {
		store := newStoreOfTwoDomains()
		store.Set(platformtest.KindEvacuations, east, "{}")
		calls := &kindCalls{Handler: handler(store)}
		return newFixtureWithHandler(t, watches.Load, store, calls, storewatch.WithEvacuations(evacuationBound)), calls
	}
	whole := func(s *platformtest.Store) http.Handler { return s }
	refusesCached := func(s *platformtest.Store) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("serializable") && strings.HasSuffix(r.URL.Path, platformtest.KindEvacuations) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.ServeHTTP(w, r)
		})
	}
	t.Run("one cached list is made", func(t *testing.T) {
		f, calls := start(t, new(atomic.Bool), whole)
		f.assertEvacuated(east)
		f.endEvacuation(east)
		f.assertStaysEvacuated(evacuationBound, east)
		lists, cached, watches := calls.counts()
		f.Assert([]int{lists, cached, watches}, qt.DeepEquals, []int{0, 1, 0})
	})
	t.Run("the store is asked if no router has sent a set", func(t *testing.T) {
		f, calls := start(t, new(atomic.Bool), refusesCached)
		f.assertEvacuated(east)
		lists, cached, _ := calls.counts()
		f.Assert([]int{lists, cached}, qt.DeepEquals, []int{1, 1})
	})
	t.Run("and not if one has", func(t *testing.T) {
		f, calls := start(t, new(atomic.Bool), refusesCached)
		f.eventually("the targets are known", func() bool { return f.ready() == 2 })
		f.hear(eraOne, f.store.Revision(), west)
		f.assertEvacuated(west)
		f.assertStaysEvacuated(evacuationBound, west)
		lists, cached, _ := calls.counts()
		f.Assert([]int{lists, cached}, qt.DeepEquals, []int{0, 1})
	})
	t.Run("one that begins to watch reads what it has missed", func(t *testing.T) {
		var watches atomic.Bool
		f, _ := start(t, &watches, whole)
		f.assertEvacuated(east)
		f.endEvacuation(east)
		f.evacuate(west)
		f.assertStaysEvacuated(300*time.Millisecond, east)
		watches.Store(true)
		f.assertEvacuated(west)
	})
	t.Run("one that confirms its view does", func(t *testing.T) {
		f, _ := start(t, new(atomic.Bool), whole)
		f.assertEvacuated(east)
		f.evacuate(west)
		f.Assert(f.Confirm(t.Context()), qt.IsNil)
		f.Assert(f.evacuated(), qt.DeepEquals, []string{east, west})
	})
}

// Guards against a change that other routers are told only once, which one lost beacon hides, or
// for good.
func TestOtherRoutersAreToldOfEvacuationsAFewTimes(t *testing.T) {
	f := watchTwoDomains(t, newStoreOfTwoDomains())
	_, due := f.TakeEvacuations()
	f.Assert(due, qt.IsFalse)
	f.evacuate(east)
	f.assertEvacuated(east)
	for range 2 { // New calls onChange for the first one.
		set, due := f.TakeEvacuations()
		f.Assert(due, qt.IsTrue)
		f.Assert(set.Names(), qt.DeepEquals, []string{east})
	}
	_, due = f.TakeEvacuations()
	f.Assert(due, qt.IsFalse)
	other := newUnwatched(t)
	other.hear(eraOne, 60, east)
	_, due = other.TakeEvacuations()
	f.Assert(due, qt.IsFalse)
}
