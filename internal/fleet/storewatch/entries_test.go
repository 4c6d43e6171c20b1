package storewatch_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/platform/platformtest"
)

// deepObject returns an object that is nested more deeply than encoding/json decodes.
func deepObject(name string) string {
	return string(platformtest.Entry(name, strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)))
}

// Guards against a router that follows no more changes once the store holds an entry that
// encoding/json rejects.
func TestChangesAreFollowedBesideOddEntries(t *testing.T) {
	for name, set := range map[string]func(s *platformtest.Store, kind string){
		"nested": func(s *platformtest.Store, kind string) { s.SetRaw(kind, "odd", deepObject("odd")) },
		"number": func(s *platformtest.Store, kind string) { s.Set(kind, "odd", `{"slots":Infinity}`) },
		"null":   func(s *platformtest.Store, kind string) { s.SetRaw(kind, "odd", "null") },
	} {
		t.Run("listed: "+name, func(t *testing.T) {
			store := platformtest.NewStore()
			set(store, platformtest.KindTargets)
			set(store, platformtest.KindConfigurations)
			f := newFixtureWithStore(t, true, store)
			f.assertFollows()
		})
		t.Run("watched: "+name, func(t *testing.T) {
			f := newFixture(t, true)
			f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
			f.eventually("the first configuration", func() bool { return f.version() == 1 })
			set(f.store, platformtest.KindTargets)
			set(f.store, platformtest.KindConfigurations)
			f.assertFollows()
		})
	}
}

// assertFollows checks that changes of targets and of the configuration are applied.
func (f *fixture) assertFollows() {
	f.Helper()
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.eventually("a target", func() bool { return f.ready() == 1 })
	f.store.Remove(platformtest.KindTargets, "i-1")
	f.store.Set(platformtest.KindTargets, "i-2", target("ready"))
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(2))
	f.eventually("configuration 2 and the other target", func() bool {
		return f.version() == 2 && f.ready() == 1 && f.View().Targets.ByService["s"][0].ID == "i-2"
	})
}

// Guards against a configuration that cannot be read and takes the last one out of force, or
// hides the next.
func TestOddConfigurationKeepsTheLast(t *testing.T) {
	withTimeout := func(timeout string) string {
		return strings.Replace(platformtest.Configuration(2), "2000", timeout, 1)
	}
	for name, spec := range map[string]string{
		"nested":     `{"version":2,"routes":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"extra":      strings.Replace(withTimeout("1"), "{", `{"x":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`,`, 1),
		"number":     withTimeout("1e999"),
		"not JSON":   withTimeout("NaN"),
		"text":       withTimeout(`"NaN"`),
		"version":    strings.Replace(withTimeout("1"), `"version":2`, `"version":1e30`, 1),
		"no routes":  `{"version":2,"routes":[]}`,
		"null":       `null`,
		"not a spec": `"text"`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, true)
			f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
			f.eventually("configuration 1", func() bool { return f.version() == 1 })
			f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, spec)
			f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
			f.eventually("a target", func() bool { return f.ready() == 1 })
			f.Assert(f.version(), qt.Equals, int64(1))
			f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(3))
			f.eventually("configuration 3", func() bool { return f.version() == 3 })
		})
	}
}

// Guards against routers that never agree on their targets, and fetch snapshots from each
// other, because of two entries whose names cannot be read.
func TestRoutersAgreeBesideUnreadableNames(t *testing.T) {
	store := platformtest.NewStore()
	watching := newFixtureWithStore(t, true, store)
	assertKnown := func(f *fixture) {
		t.Helper()
		f.eventually("the latest revision", func() bool { return f.View().Targets.Revision.Number == store.Revision() })
	}
	assertKnown(watching)
	store.Set(platformtest.KindTargets, "i-1", target("ready"))
	for _, name := range []string{"odd-b", "odd-a"} {
		store.SetRaw(platformtest.KindTargets, name, `{"metadata":{"name":5},"spec":"`+name+`"}`)
		assertKnown(watching)
	}
	listing := newFixtureWithStore(t, true, store)
	assertKnown(listing)
	watching.Assert(watching.View().Targets.Digest, qt.Equals, listing.View().Targets.Digest)
	store.Remove(platformtest.KindTargets, "odd-a")
	assertKnown(watching)
	assertKnown(listing)
	watching.Assert(watching.View().Targets.Digest, qt.Equals, listing.View().Targets.Digest)
	watching.Assert(watching.ready(), qt.Equals, 1)
}

// Guards against calls to a target whose entry another writer has replaced.
func TestTargetIsNotUsedWhileItsEntryIsOdd(t *testing.T) {
	odd := map[string]string{
		"nested":  deepObject("i-1"),
		"port":    string(platformtest.Entry("i-1", platformtest.Target("10.0.0.1:99999", "ready", 0))),
		"number":  string(platformtest.Entry("i-1", `{"service":"s","address":"10.0.0.1:80","state":"ready","born":1e300}`)),
		"no spec": `{"metadata":{"name":"i-1"}}`,
		"large":   string(platformtest.Entry("i-1", `"`+strings.Repeat("x", 1_000_000)+`"`)),
	}
	for name, raw := range odd {
		t.Run("in the store: "+name, func(t *testing.T) {
			f := newFixture(t, true)
			f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
			f.store.Set(platformtest.KindTargets, "i-2", target("ready"))
			f.eventually("the targets are known", func() bool { return f.ready() == 2 })
			f.store.SetRaw(platformtest.KindTargets, "i-1", raw)
			f.eventually("one target is used", func() bool { return f.ready() == 1 })
			f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
			f.eventually("both targets are used again", func() bool { return f.ready() == 2 })
		})
		t.Run("from another router: "+name, func(t *testing.T) {
			f := newFollower(t)
			for number, items := range [][]storewatch.TargetChange{
				{item("i-1", "ready"), item("i-2", "ready")}, {{Entry: []byte(raw)}}, {item("i-1", "ready")}, {{Entry: []byte(raw)}},
			} {
				f.Assert(f.ApplyTargets(storewatch.Delta{
					After: at(uint64(number) + 1), Revision: at(uint64(number) + 2), Items: items,
				}, false, "other"), qt.IsTrue)
				f.Assert(f.ready(), qt.Equals, 2-number%2)
			}
			other := newFollower(t)
			other.ApplyTargets(f.Snapshot(0, at(0)).Targets, true, "other")
			other.Assert(other.ready(), qt.Equals, 1)
			other.Assert(other.View().Targets.Digest, qt.Equals, f.View().Targets.Digest)
		})
	}
}

// newFollower returns a router without a store that knows no targets as of revision 1.
func newFollower(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), Watcher: storewatch.New(nil, zerolog.Nop(), nil, nil)}
	f.ApplyTargets(storewatch.Delta{Revision: at(1)}, true, "other")
	return f
}

// Guards against a router that runs out of memory, and whose snapshots are too large for
// others, because large entries change often.
func TestLargeEntriesAreNotKept(t *testing.T) {
	large := strings.Repeat("x", 900_000)
	for name, spec := range map[string]string{
		"odd":   `{"service":"s","state":"%d","more":"` + large + `"}`,
		"sound": `{"service":"s","address":"10.0.0.1:80","state":"ready","born":%d,"more":"` + large + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollower(t)
			for n := range uint64(20) {
				entry := platformtest.Entry("i-1", fmt.Sprintf(spec, n))
				f.ApplyTargets(storewatch.Delta{
					After: at(n + 1), Revision: at(n + 2), Items: []storewatch.TargetChange{{Entry: entry}},
				}, false, "other")
			}
			for _, after := range []uint64{0, 1, 10} {
				size := 0
				for _, change := range f.Snapshot(0, at(after)).Targets.Items {
					size += len(change.Entry)
				}
				f.Assert(size < 8<<20, qt.IsTrue, qt.Commentf("%d bytes after revision %d", size, after))
			}
		})
	}
}

// Guards against a router that asks again and again for changes that it cannot read, although
// a list no longer holds them.
func TestUnreadableWatchIsFollowedByAList(t *testing.T) {
	for name, write := range map[string]func(s *platformtest.Store, kind string){
		"not delimited": func(s *platformtest.Store, kind string) {
			s.SetRaw(kind, "odd", `{"metadata":{"name":"odd"},"spec":{`)
			s.Remove(kind, "odd")
		},
		"more than is read": func(s *platformtest.Store, kind string) {
			for n := range 10 {
				s.Set(kind, "odd", fmt.Sprintf("[%d,%q]", n, strings.Repeat("x", 900_000)))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			reads := newReadCounter(platformtest.NewStore())
			f := newFixtureWithHandler(t, func() bool { return true }, reads.store, reads)
			f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
			f.eventually("the first configuration", func() bool { return f.version() == 1 })
			f.store.Fail(503)
			write(f.store, platformtest.KindTargets)
			write(f.store, platformtest.KindConfigurations)
			f.store.Fail(0)
			reads.start()
			f.assertListed(reads, platformtest.KindTargets)
			f.assertListed(reads, platformtest.KindConfigurations)
			f.assertFollows()
		})
	}
}

// readCounter is a store that counts the reads of each kind.
type readCounter struct {
	store *platformtest.Store

	mu        sync.Mutex
	isStarted bool
	// watches are those before the first list.
	watches, lists map[string]int
}

func newReadCounter(store *platformtest.Store) *readCounter {
	return &readCounter{store: store, watches: make(map[string]int), lists: make(map[string]int)}
}

// start makes the reads from now on count.
func (r *readCounter) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isStarted = true
}

func (r *readCounter) counts(kind string) (watches, lists int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watches[kind], r.lists[kind]
}

// ServeHTTP implements http.Handler.
func (r *readCounter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	kind := strings.TrimPrefix(req.URL.Path, "/objects/")
	r.mu.Lock()
	switch {
	case !r.isStarted:
	case !req.URL.Query().Has("watch"):
		r.lists[kind]++
	case r.lists[kind] == 0:
		r.watches[kind]++
	}
	r.mu.Unlock()
	r.store.ServeHTTP(w, req)
}

// assertListed checks that a kind is listed after a watch that cannot be read. It counts calls,
// since one with megabytes takes seconds under the race detector on a busy machine.
func (f *fixture) assertListed(reads *readCounter, kind string) {
	f.Helper()
	// One watch is needed. On a busy machine others may end without an answer.
	const maxWatches = 3
	for end := time.Now().Add(12 * waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		watches, lists := reads.counts(kind)
		f.Assert(watches <= maxWatches, qt.IsTrue, qt.Commentf("%d watches of %s without a list", watches, kind))
		if lists > 0 {
			return
		}
		if time.Now().After(end) {
			f.Fatalf("%s not listed within %v", kind, 12*waitTimeout)
		}
	}
}
