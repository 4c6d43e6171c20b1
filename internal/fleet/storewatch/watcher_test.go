package storewatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// waitTimeout bounds the wait for an expected state.
const waitTimeout = 5 * time.Second

type fixture struct {
	*qt.C
	store       *platformtest.Store
	changes     chan storewatch.Delta
	servesPeers atomic.Bool
	*storewatch.Watcher
}

func target(state string) string { return platformtest.Target("10.0.0.1:80", state, 0) }

func newFixture(t *testing.T, shouldWatch bool) *fixture {
	return newFixtureWithStore(t, shouldWatch, platformtest.NewStore())
}

func newFixtureWithStore(t *testing.T, shouldWatch bool, store *platformtest.Store, opts ...storewatch.Option) *fixture {
	return newFixtureWithHandler(t, func() bool { return shouldWatch }, store, store, opts...)
}

// newFixtureWithHandler returns a fixture whose router calls a store through a handler.
func newFixtureWithHandler(
	t *testing.T, shouldWatch func() bool, store *platformtest.Store, handler http.Handler, opts ...storewatch.Option,
) *fixture {
	f := &fixture{C: qt.New(t), store: store, changes: make(chan storewatch.Delta, 100)}
	server := httptest.NewServer(handler)
	client, stop := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	f.Watcher = storewatch.New(client, zerolog.Nop(), func(c *storewatch.Delta) {
		if c != nil {
			f.changes <- *c
		}
	}, f.servesPeers.Load, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Watcher.Run(ctx, shouldWatch)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		stop()
		server.Close()
	})
	return f
}

func (f *fixture) eventually(what string, holds func() bool) {
	f.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.Fatalf("condition not met within %v: %s", waitTimeout, what)
		}
	}
}

func (f *fixture) version() int64 {
	if c := f.View().Configuration; c != nil {
		return c.Version
	}
	return 0
}

// ready returns the number of targets that are not draining.
func (f *fixture) ready() int {
	n := 0
	for _, t := range f.View().Targets.ByService["s"] {
		if !t.Draining {
			n++
		}
	}
	return n
}

func TestChangesAreApplied(t *testing.T) {
	f := newFixture(t, true)
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(3))
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.store.Set(platformtest.KindTargets, "foreign", `{"service":7}`)
	f.eventually("configuration 3 and one target", func() bool { return f.version() == 3 && f.ready() == 1 })
	f.store.Set(platformtest.KindTargets, "i-1", target("draining"))
	f.eventually("the target drains", func() bool { return f.ready() == 0 })
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.eventually("the target is ready again", func() bool { return f.ready() == 1 })
	f.store.Remove(platformtest.KindTargets, "i-1")
	f.eventually("the target is removed", func() bool { return f.ready() == 0 })
}

// A router that starts while cached lists are seconds out of date must not keep
// the stale state.
func TestStaleFirstListIsCorrected(t *testing.T) {
	store := platformtest.NewStore()
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
	store.Set(platformtest.KindTargets, "i-1", target("ready"))
	store.FreezeCachedLists(true)
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(2))
	store.Remove(platformtest.KindTargets, "i-1")
	store.Set(platformtest.KindTargets, "i-2", target("ready"))
	assertNewest := func(f *fixture) {
		f.Helper()
		f.eventually("configuration 2 and the one target", func() bool {
			return f.version() == 2 && f.ready() == 1 && f.View().Targets.ByService["s"][0].ID == "i-2"
		})
	}
	t.Run("by the first watch", func(t *testing.T) {
		started := time.Now()
		assertNewest(newFixtureWithStore(t, true, store))
		qt.Assert(t, time.Since(started) < time.Second, qt.IsTrue)
	})
	t.Run("by a list when the history is compacted", func(t *testing.T) {
		store.Compact()
		assertNewest(newFixtureWithStore(t, true, store))
	})
}

func TestConfigurationVersionsNeverDecrease(t *testing.T) {
	f := newFixture(t, true)
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(5))
	f.eventually("configuration 5", func() bool { return f.version() == 5 })
	f.ApplyConfiguration([]byte(platformtest.Configuration(4)), "router")
	f.ApplyConfiguration([]byte(`{"version":9`), "router")
	f.Assert(f.version(), qt.Equals, int64(5))
	f.ApplyConfiguration([]byte(platformtest.Configuration(6)), "router")
	f.Assert(f.version(), qt.Equals, int64(6))
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(7))
	f.eventually("configuration 7", func() bool { return f.version() == 7 })
}

// A watch delivers no events while a target is deleted, and the store then
// compacts its history. The router must list again and drop the target.
func TestWatchThatMissesEventsRecovers(t *testing.T) {
	f := newFixture(t, true)
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.eventually("the target is known", func() bool { return f.ready() == 1 })
	f.store.SuppressEvents(true)
	f.store.Remove(platformtest.KindTargets, "i-1")
	time.Sleep(time.Second)
	compacted := time.Now()
	f.store.Compact()
	f.store.SuppressEvents(false)
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
	f.eventually("the target is removed", func() bool { return f.ready() == 0 })
	f.Assert(time.Since(compacted) < time.Second, qt.IsTrue)
}

func TestEntriesMissingAfterOutageAreRetained(t *testing.T) {
	f := newFixture(t, true)
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.store.Set(platformtest.KindTargets, "i-2", target("ready"))
	f.eventually("the targets are known", func() bool { return f.ready() == 2 })
	f.store.Fail(503)
	f.store.Remove(platformtest.KindTargets, "i-1")
	f.store.Remove(platformtest.KindTargets, "i-2")
	time.Sleep(2 * time.Second)
	f.store.Fail(0)
	time.Sleep(500 * time.Millisecond)
	f.Assert(f.ready(), qt.Equals, 2)
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.eventually("the entry that was not written again is removed", func() bool { return f.ready() == 1 })
	time.Sleep(time.Second)
	f.Assert(f.ready(), qt.Equals, 1)
}

// Guards against a failure found by run fresh-9298 of kjaergaard-drift: only this
// router's calls to the store failed. The store served the other routers all
// along, so an entry that is missing afterwards was deleted and must not be kept.
func TestLocalOutageRetainsNoEntries(t *testing.T) {
	f := newFixture(t, true)
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.eventually("the target is known", func() bool { return f.ready() == 1 })
	f.servesPeers.Store(true)
	f.store.Fail(503)
	time.Sleep(2 * time.Second)
	f.store.Remove(platformtest.KindTargets, "i-1")
	f.store.Fail(0)
	recovered := time.Now()
	f.eventually("the target is removed", func() bool { return f.ready() == 0 })
	f.Assert(time.Since(recovered) < time.Second, qt.IsTrue)
}

// Guards against a failure found by run hunt-b628-27 of kjaergaard-drift: the
// grace period must end soon after the store recovers, not after each deletion.
func TestGraceStartsWhenTheStoreRecovers(t *testing.T) {
	f := newFixture(t, true)
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.eventually("the target is known", func() bool { return f.ready() == 1 })
	f.store.Fail(503)
	time.Sleep(2 * time.Second)
	f.store.Fail(0)
	time.Sleep(1900 * time.Millisecond)
	f.store.Remove(platformtest.KindTargets, "i-1")
	deleted := time.Now()
	f.eventually("the target is removed", func() bool { return f.ready() == 0 })
	f.Assert(time.Since(deleted) < time.Second, qt.IsTrue)
}

func TestRouterThatDoesNotWatchPollsOnRefresh(t *testing.T) {
	f := newFixture(t, false)
	f.eventually("the first lists", func() bool { return f.store.Calls() >= 2 })
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	time.Sleep(300 * time.Millisecond)
	f.Assert(f.store.Calls(), qt.Equals, 2)
	f.Assert(f.ready(), qt.Equals, 0)
	f.Refresh(true, true)
	f.eventually("the target is known after the requested poll", func() bool { return f.ready() == 1 })
}

// at returns a revision of the store's first era.
func at(number uint64) state.Revision {
	return state.Revision{Era: state.FirstEra, Number: number}
}

func item(name, state string) storewatch.TargetChange {
	return storewatch.TargetChange{Entry: platformtest.Entry(name, target(state))}
}

func TestChangesFromOtherRouters(t *testing.T) {
	f := newFixture(t, false)
	f.eventually("the first lists", func() bool { return f.View().Targets.Revision.Number == 1 })
	c := f.C
	c.Assert(f.ApplyTargets(storewatch.Delta{After: at(1), Revision: at(4), Items: []storewatch.TargetChange{
		item("i-1", "ready"), item("i-2", "ready"), {Deleted: "i-2"},
	}}, false, "other"), qt.IsTrue)
	c.Assert(f.ready(), qt.Equals, 1)
	c.Run("with a gap are not applied", func(c *qt.C) {
		c.Assert(f.ApplyTargets(storewatch.Delta{After: at(6), Revision: at(7)}, false, "other"), qt.IsFalse)
		c.Assert(f.View().Targets.Revision, qt.Equals, at(4))
	})
	c.Run("that are older change nothing", func(c *qt.C) {
		c.Assert(f.ApplyTargets(storewatch.Delta{After: at(1), Revision: at(2), Items: []storewatch.TargetChange{{Deleted: "i-1"}}}, false, "other"),
			qt.IsTrue)
		c.Assert(f.ready(), qt.Equals, 1)
	})
	c.Run("are in the snapshot for a router that is behind", func(c *qt.C) {
		s := f.Snapshot(0, at(2))
		c.Assert(s.Full, qt.IsFalse)
		c.Assert(len(s.Targets.Items), qt.Equals, 3)
		c.Assert(f.Snapshot(0, at(0)).Full, qt.IsTrue)
		c.Assert(len(f.Snapshot(0, at(0)).Targets.Items), qt.Equals, 1)
		c.Assert(len(f.Snapshot(0, at(4)).Targets.Items), qt.Equals, 0)
	})
	c.Run("a full set replaces all targets", func(c *qt.C) {
		c.Assert(f.ApplyTargets(storewatch.Delta{Revision: at(9), Items: []storewatch.TargetChange{item("i-3", "ready")}}, true, "other"),
			qt.IsTrue)
		c.Assert(f.ready(), qt.Equals, 1)
		c.Assert(f.View().Targets.ByService["s"][0].ID, qt.Equals, "i-3")
	})
}

func TestRestartChangesTargetHash(t *testing.T) {
	f := newFixture(t, true)
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target("10.0.0.1:80", "ready", 1))
	f.eventually("the target is known", func() bool { return f.ready() == 1 })
	before := f.View().Targets.ByService["s"][0].Hash
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target("10.0.0.1:80", "ready", 2))
	f.eventually("the restart is known", func() bool { return f.View().Targets.ByService["s"][0].Hash != before })
}

// In a fleet of hundreds, a router that announced what it received from another one
// would make each change take a datagram for each pair of routers.
func TestOnlyChangesFromTheStoreAreAnnounced(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client, stop := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(stop)
	announced := 0
	w := storewatch.New(client, zerolog.Nop(), func(*storewatch.Delta) { announced++ }, func() bool { return false })
	w.ApplyConfiguration([]byte(platformtest.Configuration(3)), "router")
	w.ApplyTargets(storewatch.Delta{Revision: at(7), Items: []storewatch.TargetChange{
		{Entry: platformtest.Entry("i-1", target("ready"))},
	}}, true, "router")
	c.Assert(w.View().Configuration.Version, qt.Equals, int64(3))
	c.Assert(len(w.View().Targets.ByService["s"]), qt.Equals, 1)
	c.Assert(announced, qt.Equals, 0)
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(4))
	c.Assert(w.Confirm(context.Background()), qt.IsNil)
	c.Assert(announced, qt.Equals, 1)
}
