package storewatch_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/platform/platformtest"
)

const (
	// evacuationBound is the time within which evacuations must be in force in these tests.
	evacuationBound = 2 * time.Second
	east            = "east"
	west            = "west"
)

// kindCalls counts the calls for evacuations before they reach the store.
type kindCalls struct {
	http.Handler
	mu    sync.Mutex
	lists int
	// cachedLists and watches are counted apart.
	cachedLists int
	watches     int
}

func (c *kindCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/"+platformtest.KindEvacuations) {
		c.mu.Lock()
		switch query := r.URL.Query(); {
		case query.Has("watch"):
			c.watches++
		case query.Has("serializable"):
			c.cachedLists++
		default:
			c.lists++
		}
		c.mu.Unlock()
	}
	c.Handler.ServeHTTP(w, r)
}

func (c *kindCalls) counts() (lists, cachedLists, watches int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists, c.cachedLists, c.watches
}

// newStoreOfTwoDomains returns a store with the targets i-1 in east and i-2 in west.
func newStoreOfTwoDomains() *platformtest.Store {
	store := platformtest.NewStore()
	store.Set(platformtest.KindTargets, "i-1", platformtest.TargetIn(east, "10.0.0.1:80", "ready", 0))
	store.Set(platformtest.KindTargets, "i-2", platformtest.TargetIn(west, "10.0.0.2:80", "ready", 0))
	return store
}

// watchTwoDomains returns a router that watches the store.
func watchTwoDomains(t *testing.T, store *platformtest.Store) *fixture {
	f := newFixtureWithStore(t, true, store, storewatch.WithEvacuations(evacuationBound))
	f.awaitSet()
	return f
}

// awaitSet waits until the router knows a set of evacuated failure domains, and the targets.
func (f *fixture) awaitSet() {
	f.Helper()
	f.eventually("a set of evacuations is known", func() bool {
		_, ok := f.Evacuations()
		return ok && f.ready() == 2
	})
}

func (f *fixture) evacuate(domain string) {
	f.store.Set(platformtest.KindEvacuations, domain, "{}")
}

func (f *fixture) endEvacuation(domain string) {
	f.store.Remove(platformtest.KindEvacuations, domain)
}

// evacuated returns the failure domains of the evacuated targets, sorted.
func (f *fixture) evacuated() []string {
	domains := []string{}
	for _, t := range f.View().Targets.ByService["s"] {
		if t.Evacuated {
			domains = append(domains, t.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}

// assertEvacuated checks that exactly the targets of some failure domains get evacuated in time.
func (f *fixture) assertEvacuated(domains ...string) {
	f.Helper()
	started := time.Now()
	for !slices.Equal(f.evacuated(), domains) {
		if time.Since(started) > evacuationBound {
			f.Fatalf("evacuated after %v: %q, want %q", evacuationBound, f.evacuated(), domains)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// assertStaysEvacuated checks that exactly these stay evacuated for a time.
func (f *fixture) assertStaysEvacuated(d time.Duration, domains ...string) {
	f.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.Assert(slices.Equal(f.evacuated(), domains), qt.IsTrue, qt.Commentf("evacuated %q, want %q", f.evacuated(), domains))
	}
}

// newUnwatched returns a router that hears of evacuations from other routers only, and knows the
// same targets.
func newUnwatched(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), Watcher: storewatch.New(nil, zerolog.Nop(), nil, nil, storewatch.WithEvacuations(evacuationBound))}
	f.listTwoDomains()
	return f
}

// listTwoDomains lets the router know the targets i-1 in east and i-2 in west.
func (f *fixture) listTwoDomains() {
	f.Helper()
	f.list(eraOne, 50,
		storewatch.TargetChange{Entry: platformtest.Entry("i-1", platformtest.TargetIn(east, "10.0.0.1:80", "ready", 0))},
		storewatch.TargetChange{Entry: platformtest.Entry("i-2", platformtest.TargetIn(west, "10.0.0.2:80", "ready", 0))})
}

func (f *fixture) hear(era, number uint64, domains ...string) {
	f.ApplyEvacuations(state.Revision{Era: era, Number: number}, domains, "other")
}

// Guards against evacuations that the router which watches the store learns too late or not at
// all, and that outlive their entry.
func TestEvacuationsAreWatched(t *testing.T) {
	f := watchTwoDomains(t, newStoreOfTwoDomains())
	f.assertEvacuated()
	f.evacuate(east)
	f.assertEvacuated(east)
	f.evacuate(west)
	f.assertEvacuated(east, west)
	f.endEvacuation(east)
	f.assertEvacuated(west)
	f.evacuate(east)
	f.endEvacuation(west)
	f.assertEvacuated(east)
	f.endEvacuation(east)
	f.assertEvacuated()
	f.evacuate(east)
	f.endEvacuation(east)
	f.evacuate(west)
	f.assertEvacuated(west)
	f.Assert(f.ready(), qt.Equals, 2) // Evacuated targets are not draining.
}

// Guards against targets of an evacuated failure domain that get calls because they were listed
// later, or have restarted.
func TestTargetsThatAppearInAnEvacuatedDomain(t *testing.T) {
	f := watchTwoDomains(t, newStoreOfTwoDomains())
	f.evacuate(east)
	f.assertEvacuated(east)
	f.store.Set(platformtest.KindTargets, "i-3", platformtest.TargetIn(east, "10.0.0.3:80", "ready", 0))
	f.assertEvacuated(east, east)
	f.store.Remove(platformtest.KindTargets, "i-1")
	f.assertEvacuated(east)
}

// Guards against calls to the store, and targets taken out of use, where the settings have no
// bound on evacuations.
func TestNoEvacuationsWithoutABound(t *testing.T) {
	store := newStoreOfTwoDomains()
	store.Set(platformtest.KindEvacuations, east, "{}")
	calls := &kindCalls{Handler: store}
	f := newFixtureWithHandler(t, func() bool { return true }, store, calls)
	f.eventually("the targets are known", func() bool { return f.ready() == 2 })
	f.hear(eraOne, 90, west)
	f.assertStaysEvacuated(500 * time.Millisecond)
	f.Assert(f.Confirm(t.Context()), qt.IsNil)
	_, known := f.Evacuations()
	f.Assert(known, qt.IsFalse)
	lists, cachedLists, watches := calls.counts()
	f.Assert(lists+cachedLists+watches, qt.Equals, 0)
}

// Guards against an entry that cannot be an evacuation and hides or ends another one.
func TestOddEntriesBesideEvacuations(t *testing.T) {
	odd := func(s *platformtest.Store) {
		s.Set(platformtest.KindEvacuations, strings.Repeat("e", 129), "{}")
		s.Set(platformtest.KindEvacuations, "south", `"spec of another type"`)
		s.SetRaw(platformtest.KindEvacuations, "w", `{"metadata":{"name":"","revision":7},"spec":{}}`)
		s.SetRaw(platformtest.KindEvacuations, "x", `{"metadata":{"name":7},"spec":{}}`)
		s.SetRaw(platformtest.KindEvacuations, "y", `{"metadata":null}`)
		s.SetRaw(platformtest.KindEvacuations, "z", `{"metadata":{"name":"\ud800"},"spec":{}}`)
		s.SetRaw(platformtest.KindEvacuations, "big", `{"metadata":{"name":"big","revision":1e400},"spec":{}}`)
		s.SetRaw(platformtest.KindEvacuations, west, platformtest.DeletingEntry(west))
	}
	assertKnown := func(f *fixture) {
		f.Helper()
		f.assertEvacuated(east)
		set, _ := f.Evacuations()
		f.Assert(set.Names(), qt.DeepEquals, []string{"big", east, "south"})
	}
	t.Run("in a list", func(t *testing.T) {
		store := newStoreOfTwoDomains()
		odd(store)
		store.Set(platformtest.KindEvacuations, east, "{}")
		assertKnown(watchTwoDomains(t, store))
	})
	t.Run("in a watch", func(t *testing.T) {
		f := watchTwoDomains(t, newStoreOfTwoDomains())
		f.evacuate(east)
		odd(f.store)
		f.eventually("all entries are read", func() bool {
			set, _ := f.Evacuations()
			return set.Revision.Number == f.store.Revision()
		})
		assertKnown(f)
	})
	t.Run("a mark for deletion ends an evacuation", func(t *testing.T) {
		f := watchTwoDomains(t, newStoreOfTwoDomains())
		f.evacuate(east)
		f.evacuate(west)
		f.assertEvacuated(east, west)
		f.store.SetRaw(platformtest.KindEvacuations, west, platformtest.DeletingEntry(west))
		f.assertEvacuated(east)
	})
	t.Run("more names than a beacon holds", func(t *testing.T) {
		store := newStoreOfTwoDomains()
		for i := range 40 {
			store.Set(platformtest.KindEvacuations, fmt.Sprintf("a-%02d", i), "{}")
		}
		store.Set(platformtest.KindEvacuations, west, "{}")
		f := watchTwoDomains(t, store)
		f.assertEvacuated(west)
		f.evacuate(east)
		f.assertEvacuated(east, west)
		set, _ := f.Evacuations()
		other := newUnwatched(t)
		other.hear(eraOne, 60, set.NamesForPeers(f.View().Targets)...)
		other.assertEvacuated(east, west)
		told, _ := other.Evacuations()
		f.Assert(told.Domains, qt.HasLen, storewatch.MaxEvacuatedDomains)
	})
}

// Guards against an evacuation that is dropped for good among many entries, because the targets of
// its failure domain were not known yet.
func TestManyEvacuationsThatAreKnownBeforeTheTargets(t *testing.T) {
	names := []string{west}
	for i := range 2 * storewatch.MaxEvacuatedDomains {
		names = append(names, fmt.Sprintf("a-%02d", i))
	}
	f := &fixture{C: qt.New(t), Watcher: storewatch.New(nil, zerolog.Nop(), nil, nil, storewatch.WithEvacuations(evacuationBound))}
	f.hear(eraOne, 60, names...)
	f.listTwoDomains()
	f.assertEvacuated(west)
}

// Guards against a set of another router that takes back a later one, and against one that is
// not taken although it is later.
func TestSetsOfEvacuationsAreOrdered(t *testing.T) {
	later := map[string][2]uint64{
		"a later number":                        {eraOne, 61},
		"a later era with a higher number":      {eraTwo, 70},
		"a later era with a lower number":       {eraTwo, 3},
		"a later era with the number of before": {eraTwo, 60},
	}
	earlier := map[string][2]uint64{
		"an earlier number":                 {eraTwo, 9},
		"the same revision":                 {eraTwo, 10},
		"an earlier era, and later numbers": {eraOne, 99},
		"no era":                            {0, 99},
	}
	for name, revision := range later {
		t.Run(name+" replaces", func(t *testing.T) {
			f := newUnwatched(t)
			f.hear(eraOne, 60, east)
			f.assertEvacuated(east)
			f.hear(revision[0], revision[1], west)
			f.assertEvacuated(west)
			f.hear(eraOne, 60, east)
			f.assertEvacuated(west)
		})
	}
	for name, revision := range earlier {
		t.Run(name+" does not replace", func(t *testing.T) {
			f := newUnwatched(t)
			f.hear(eraTwo, 10, east)
			f.hear(revision[0], revision[1], west)
			f.assertEvacuated(east)
			f.hear(revision[0], revision[1])
			f.assertEvacuated(east)
		})
	}
	t.Run("of two domains, one ends after the other", func(t *testing.T) {
		f := newUnwatched(t)
		f.hear(eraOne, 60, east)
		f.hear(eraOne, 61, east, west)
		f.assertEvacuated(east, west)
		f.hear(eraOne, 62, west)
		f.assertEvacuated(west)
		f.hear(eraOne, 63)
		f.assertEvacuated()
	})
	t.Run("with odd names", func(t *testing.T) {
		f := newUnwatched(t)
		f.hear(eraOne, 60, "", west, strings.Repeat("e", 129), west, east)
		f.assertEvacuated(east, west)
		set, _ := f.Evacuations()
		f.Assert(set.Names(), qt.DeepEquals, []string{east, west})
	})
}

// Guards against fetches from the caches of an evacuated failure domain long after its
// evacuation, because its time starts again.
func TestTimeOfAnEvacuation(t *testing.T) {
	since := func(f *fixture, domain string) time.Time {
		for _, target := range f.View().Targets.ByService["s"] {
			if target.FailureDomain == domain {
				f.Assert(target.Evacuated, qt.IsTrue)
				return target.EvacuatedAt
			}
		}
		return time.Time{}
	}
	f := newUnwatched(t)
	f.hear(eraOne, 60, west)
	f.Assert(since(f, west).IsZero(), qt.IsTrue) // It may have been evacuated long before.
	before := time.Now()
	f.hear(eraOne, 61, west, east)
	at := since(f, east)
	f.Assert(!at.Before(before) && !at.After(time.Now()), qt.IsTrue)
	f.Assert(since(f, west).IsZero(), qt.IsTrue)
	f.hear(eraOne, 62, east)
	f.hear(eraTwo, 7, east, west)
	f.Assert(since(f, east), qt.Equals, at)
	f.Assert(since(f, west).After(at), qt.IsTrue)
	f.hear(eraTwo, 8)
	f.hear(eraTwo, 9, east)
	f.Assert(since(f, east).After(at), qt.IsTrue)
}
