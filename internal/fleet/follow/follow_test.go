package follow_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/follow"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

const patience = 5 * time.Second

type fixture struct {
	*qt.C
	meta    *platformtest.Store
	changes chan follow.Change
	served  atomic.Bool
	*follow.Follower
}

func target(state string) string { return platformtest.Target("10.0.0.1:80", state, 0) }

func newFixture(t *testing.T, leads bool) *fixture {
	return newFixtureAt(t, leads, platformtest.NewStore())
}

func newFixtureAt(t *testing.T, leads bool, store *platformtest.Store) *fixture {
	f := &fixture{C: qt.New(t), meta: store, changes: make(chan follow.Change, 100)}
	server := httptest.NewServer(f.meta)
	client, stop := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	f.Follower = follow.New(client, zerolog.Nop(), func(c *follow.Change) {
		if c != nil {
			f.changes <- *c
		}
	}, f.served.Load)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Follower.Run(ctx, func() bool { return leads })
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
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func (f *fixture) version() int64 {
	if c := f.View().Configuration; c != nil {
		return c.Version
	}
	return 0
}

// ready returns the number of targets that get calls.
func (f *fixture) ready() int {
	n := 0
	for _, t := range f.View().Targets.ByService["s"] {
		if !t.Leaving {
			n++
		}
	}
	return n
}

func TestChangesComeIntoForce(t *testing.T) {
	f := newFixture(t, true)
	f.meta.Set(platformtest.Configurations, platformtest.Current, platformtest.Configuration(3))
	f.meta.Set(platformtest.Targets, "i-1", target("ready"))
	f.meta.Set(platformtest.Targets, "foreign", `{"service":7}`)
	f.eventually("configuration 3 and one target", func() bool { return f.version() == 3 && f.ready() == 1 })
	f.meta.Set(platformtest.Targets, "i-1", target("draining"))
	f.eventually("the target leaves", func() bool { return f.ready() == 0 })
	f.meta.Set(platformtest.Targets, "i-1", target("ready"))
	f.eventually("the target is back", func() bool { return f.ready() == 1 })
	f.meta.Remove(platformtest.Targets, "i-1")
	f.eventually("the target is gone", func() bool { return f.ready() == 0 })
}

// Pattern: a router starts while cached lists are seconds old.
func TestAnOldFirstListIsMadeUpFor(t *testing.T) {
	store := platformtest.NewStore()
	store.Set(platformtest.Configurations, platformtest.Current, platformtest.Configuration(1))
	store.Set(platformtest.Targets, "i-1", target("ready"))
	store.Lag(true)
	store.Set(platformtest.Configurations, platformtest.Current, platformtest.Configuration(2))
	store.Remove(platformtest.Targets, "i-1")
	store.Set(platformtest.Targets, "i-2", target("ready"))
	assertNewest := func(f *fixture) {
		f.Helper()
		f.eventually("configuration 2 and the one target", func() bool {
			return f.version() == 2 && f.ready() == 1 && f.View().Targets.ByService["s"][0].ID == "i-2"
		})
	}
	t.Run("by the first watch", func(t *testing.T) {
		begun := time.Now()
		assertNewest(newFixtureAt(t, true, store))
		qt.Assert(t, time.Since(begun) < time.Second, qt.IsTrue)
	})
	t.Run("by a list when its history is gone", func(t *testing.T) {
		store.Compact()
		assertNewest(newFixtureAt(t, true, store))
	})
}

func TestVersionsNeverStepBack(t *testing.T) {
	f := newFixture(t, true)
	f.meta.Set(platformtest.Configurations, platformtest.Current, platformtest.Configuration(5))
	f.eventually("configuration 5", func() bool { return f.version() == 5 })
	f.TakeConfiguration([]byte(platformtest.Configuration(4)), "router")
	f.TakeConfiguration([]byte(`{"version":9`), "router")
	f.Assert(f.version(), qt.Equals, int64(5))
	f.TakeConfiguration([]byte(platformtest.Configuration(6)), "router")
	f.Assert(f.version(), qt.Equals, int64(6))
	f.meta.Set(platformtest.Configurations, platformtest.Current, platformtest.Configuration(7))
	f.eventually("configuration 7", func() bool { return f.version() == 7 })
}

// Pattern: watches hear nothing while a target leaves, then their history is dropped.
func TestDeafWatchesAreHealedByTheirEnd(t *testing.T) {
	f := newFixture(t, true)
	f.meta.Set(platformtest.Targets, "i-1", target("ready"))
	f.eventually("the target is known", func() bool { return f.ready() == 1 })
	f.meta.Deafen(true)
	f.meta.Remove(platformtest.Targets, "i-1")
	time.Sleep(time.Second)
	gone := time.Now()
	f.meta.Compact()
	f.meta.Deafen(false)
	f.meta.Set(platformtest.Configurations, platformtest.Current, platformtest.Configuration(1))
	f.eventually("the target is gone", func() bool { return f.ready() == 0 })
	f.Assert(time.Since(gone) < time.Second, qt.IsTrue)
}

func TestEntriesThatLapseDuringAnOutageMayComeBack(t *testing.T) {
	f := newFixture(t, true)
	f.meta.Set(platformtest.Targets, "i-1", target("ready"))
	f.meta.Set(platformtest.Targets, "i-2", target("ready"))
	f.eventually("the targets are known", func() bool { return f.ready() == 2 })
	f.meta.Fail(503)
	f.meta.Remove(platformtest.Targets, "i-1")
	f.meta.Remove(platformtest.Targets, "i-2")
	time.Sleep(2 * time.Second)
	f.meta.Fail(0)
	time.Sleep(500 * time.Millisecond)
	f.Assert(f.ready(), qt.Equals, 2)
	f.meta.Set(platformtest.Targets, "i-1", target("ready"))
	f.eventually("the one that stayed away is gone", func() bool { return f.ready() == 1 })
	time.Sleep(time.Second)
	f.Assert(f.ready(), qt.Equals, 1)
}

// Pattern: fresh-9298 of kjaergaard-drift. The store served the other routers
// all along, so an entry that is missing afterwards has been deleted.
func TestNothingLapsesInARoutersOwnOutage(t *testing.T) {
	f := newFixture(t, true)
	f.meta.Set(platformtest.Targets, "i-1", target("ready"))
	f.eventually("the target is known", func() bool { return f.ready() == 1 })
	f.served.Store(true)
	f.meta.Fail(503)
	time.Sleep(2 * time.Second)
	f.meta.Remove(platformtest.Targets, "i-1")
	f.meta.Fail(0)
	back := time.Now()
	f.eventually("the target is gone", func() bool { return f.ready() == 0 })
	f.Assert(time.Since(back) < time.Second, qt.IsTrue)
}

// Pattern: hunt-b628-27 of kjaergaard-drift. Grace ends soon after the store's
// return, not after each deletion.
func TestGraceCountsFromTheStoresReturn(t *testing.T) {
	f := newFixture(t, true)
	f.meta.Set(platformtest.Targets, "i-1", target("ready"))
	f.eventually("the target is known", func() bool { return f.ready() == 1 })
	f.meta.Fail(503)
	time.Sleep(2 * time.Second)
	f.meta.Fail(0)
	time.Sleep(1900 * time.Millisecond)
	f.meta.Remove(platformtest.Targets, "i-1")
	deleted := time.Now()
	f.eventually("the target is gone", func() bool { return f.ready() == 0 })
	f.Assert(time.Since(deleted) < time.Second, qt.IsTrue)
}

func TestRoutersThatDoNotWatch(t *testing.T) {
	f := newFixture(t, false)
	f.eventually("the first lists", func() bool { return f.meta.Calls() >= 2 })
	f.meta.Set(platformtest.Targets, "i-1", target("ready"))
	time.Sleep(300 * time.Millisecond)
	f.Assert(f.meta.Calls(), qt.Equals, 2)
	f.Assert(f.ready(), qt.Equals, 0)
	f.Poke()
	f.eventually("the target is known after a poke", func() bool { return f.ready() == 1 })
}

func item(name, state string) follow.Item {
	return follow.Item{Entry: platformtest.Entry(name, target(state))}
}

func TestChangesOfOtherRouters(t *testing.T) {
	f := newFixture(t, false)
	f.eventually("the first lists", func() bool { return f.View().Targets.Revision == 1 })
	c := f.C
	c.Assert(f.TakeTargets(follow.Change{After: 1, Revision: 4, Items: []follow.Item{
		item("i-1", "ready"), item("i-2", "ready"), {Deleted: "i-2"},
	}}, false, "other"), qt.IsTrue)
	c.Assert(f.ready(), qt.Equals, 1)
	c.Run("with a gap are not taken", func(c *qt.C) {
		c.Assert(f.TakeTargets(follow.Change{After: 6, Revision: 7}, false, "other"), qt.IsFalse)
		c.Assert(f.View().Targets.Revision, qt.Equals, uint64(4))
	})
	c.Run("that are older change nothing", func(c *qt.C) {
		c.Assert(f.TakeTargets(follow.Change{After: 1, Revision: 2, Items: []follow.Item{{Deleted: "i-1"}}}, false, "other"),
			qt.IsTrue)
		c.Assert(f.ready(), qt.Equals, 1)
	})
	c.Run("are handed on to a router that knows less", func(c *qt.C) {
		s := f.Snapshot(0, 2)
		c.Assert(s.All, qt.IsFalse)
		c.Assert(len(s.Targets.Items), qt.Equals, 3)
		c.Assert(f.Snapshot(0, 0).All, qt.IsTrue)
		c.Assert(len(f.Snapshot(0, 0).Targets.Items), qt.Equals, 1)
		c.Assert(len(f.Snapshot(0, 4).Targets.Items), qt.Equals, 0)
	})
	c.Run("a whole set replaces what was known", func(c *qt.C) {
		c.Assert(f.TakeTargets(follow.Change{Revision: 9, Items: []follow.Item{item("i-3", "ready")}}, true, "other"),
			qt.IsTrue)
		c.Assert(f.ready(), qt.Equals, 1)
		c.Assert(f.View().Targets.ByService["s"][0].ID, qt.Equals, "i-3")
	})
}

func TestARestartUnderTheSameNameIsAnotherTarget(t *testing.T) {
	f := newFixture(t, true)
	f.meta.Set(platformtest.Targets, "i-1", platformtest.Target("10.0.0.1:80", "ready", 1))
	f.eventually("the target is known", func() bool { return f.ready() == 1 })
	before := f.View().Targets.ByService["s"][0].Hash
	f.meta.Set(platformtest.Targets, "i-1", platformtest.Target("10.0.0.1:80", "ready", 2))
	f.eventually("the restart is known", func() bool { return f.View().Targets.ByService["s"][0].Hash != before })
}
