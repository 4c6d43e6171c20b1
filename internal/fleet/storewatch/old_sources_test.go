package storewatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// sourcesTargets is the number of names of targets in TestSourcesOfAnyAge.
const sourcesTargets = 24

type (
	// sourcesModel is a store with its history, and routers whose answers arrive in any order.
	sourcesModel struct {
		store  *platformtest.Store
		client *platform.Store

		mu sync.Mutex
		// history holds the states of each name, which begin at ascending revisions.
		history map[string][]nameState
		// between holds the changes to make before each further page of the next list, and ages
		// how many states before the current one the pages are, if it is a cached one.
		between [][]func()
		ages    []int

		routers []*sourcesRouter
	}

	// nameState is the state of a name from a revision on.
	nameState struct {
		from     uint64
		isListed bool
	}

	sourcesRouter struct {
		*Watcher
		// position is the revision of the last page of the store that was applied.
		position uint64
		// known holds the revision as of which the router has been told of a name at least.
		known map[string]uint64
		// late holds answers that have not arrived yet.
		late []func()
	}
)

func newSourcesModel(t *rapid.T, store *platformtest.Store) *sourcesModel {
	m := &sourcesModel{store: store, history: make(map[string][]nameState)}
	for n := range sourcesTargets {
		m.set(sourcesName(n), n)
	}
	m.store.SetPageSize(rapid.SampledFrom([]int{2, 3, 4, 6, 12}).Draw(t, "page size"))
	m.store.AgeCachedPages(func(_ string, past []time.Time) int {
		m.mu.Lock()
		defer m.mu.Unlock()
		age := 0
		if len(m.ages) > 0 {
			age, m.ages = m.ages[0], m.ages[1:]
		}
		return max(0, len(past)-1-age)
	})
	for range 3 {
		m.routers = append(m.routers, &sourcesRouter{
			Watcher: New(nil, zerolog.Nop(), func(*Delta) {}, func() bool { return true }), known: make(map[string]uint64),
		})
	}
	return m
}

func sourcesName(n int) string { return fmt.Sprintf("i-%02d", n) }

func (m *sourcesModel) set(name string, version int) {
	m.change(name, true, func() {
		m.store.Set(platformtest.KindTargets, name, platformtest.Target("10.0.0.1:80", "ready", version))
	})
}

func (m *sourcesModel) remove(name string) {
	m.change(name, false, func() { m.store.Remove(platformtest.KindTargets, name) })
}

// change makes a change of a name, unless it changes nothing, and records it.
func (m *sourcesModel) change(name string, isListed bool, change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.store.Revision()
	change()
	if revision := m.store.Revision(); revision > before {
		m.history[name] = append(m.history[name], nameState{revision, isListed})
	}
}

// drawChanges draws up to n changes.
func (m *sourcesModel) drawChanges(t *rapid.T, n int) []func() {
	changes := make([]func(), rapid.IntRange(0, n).Draw(t, "changes"))
	for i := range changes {
		name, version := sourcesName(rapid.IntRange(0, sourcesTargets-1).Draw(t, "target")), rapid.IntRange(0, 1<<20).Draw(t, "version")
		switch rapid.SampledFrom([]string{"set", "remove", "other kind"}).Draw(t, "change") {
		case "set":
			changes[i] = func() { m.set(name, version) }
		case "remove":
			changes[i] = func() { m.remove(name) }
		default:
			changes[i] = func() {
				m.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(version))
			}
		}
	}
	return changes
}

// ServeHTTP implements http.Handler. It makes the changes that are due before a further page.
func (m *sourcesModel) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("after") {
		m.mu.Lock()
		var due []func()
		if len(m.between) > 0 {
			due, m.between = m.between[0], m.between[1:]
		}
		m.mu.Unlock()
		runAll(due)
	}
	m.store.ServeHTTP(w, r)
}

func runAll(list []func()) {
	for _, run := range list {
		run()
	}
}

// plan sets the changes between the pages of the next list, and the ages of the pages.
func (m *sourcesModel) plan(between [][]func(), ages []int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.between, m.ages = between, ages
}

// list reads a list for a router. It arrives when the returned function is called.
func (m *sourcesModel) list(t *rapid.T, r *sourcesRouter, read func(context.Context, string) (platform.Page, error)) func() {
	const pages = 12
	between, ages := make([][]func(), pages), make([]int, pages)
	for i := range pages {
		between[i], ages[i] = m.drawChanges(t, 2), rapid.IntRange(0, 15).Draw(t, "age")
	}
	m.plan(between, ages)
	page, err := read(context.Background(), platform.KindTargets)
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	return func() {
		if !r.handleTargets(page, true) {
			return
		}
		r.position = max(r.position, page.Revision.Number)
		r.learn(func(name string) uint64 { return page.RevisionOf(name).Number })
	}
}

func (m *sourcesModel) watch(t *rapid.T, r *sourcesRouter) func() {
	page, err := m.client.Watch(context.Background(), platform.KindTargets, r.position, 0)
	if err != nil {
		t.Fatalf("watch: %v", err)
	}
	return func() {
		r.handleTargets(page, false)
		r.position = max(r.position, page.Revision.Number)
		r.learn(func(string) uint64 { return page.Revision.Number })
	}
}

// tell lets a router learn from another one.
func tell(to, from *sourcesRouter, known state.Revision) func() {
	s := from.Snapshot(0, known)
	return func() {
		isNewer := to.revision.Before(s.Targets.Revision)
		if !to.ApplyTargets(s.Targets, s.Full, "other") || !isNewer {
			return
		}
		to.learn(func(string) uint64 { return s.Targets.Revision.Number })
		for _, item := range s.Targets.Items {
			if item.Deleted == "" {
				o := platform.DecodeRaw(item.Entry)
				to.known[o.Name] = max(to.known[o.Name], o.Revision)
			}
		}
	}
}

// learn records as of which revision the router has been told of each name.
func (r *sourcesRouter) learn(asOf func(name string) uint64) {
	for n := range sourcesTargets {
		name := sourcesName(n)
		r.known[name] = max(r.known[name], asOf(name))
	}
}

// check fails unless the router has a state of each name that is not older than what it was told
// before, and records that it has it.
func (m *sourcesModel) check(t *rapid.T, r *sourcesRouter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, states := range m.history {
		e, isListed := r.entries[name]
		revision := uint64(0)
		if isListed {
			revision = platform.DecodeRaw(e.raw).Revision
		}
		if !isListed && r.known[name] < states[0].from {
			continue // It was not listed then.
		}
		i := findState(states, isListed, revision, r.known[name])
		if i < 0 {
			t.Fatalf("%s is listed: %v, as of revision %d; revision %d was known; history %v", name, isListed, revision, r.known[name], states)
		}
		r.known[name] = max(r.known[name], states[i].from)
	}
}

// findState returns the index of the first state that a router may have as of a known revision or
// later: one that was not replaced until then. revision is that of the entry if the name is listed.
func findState(states []nameState, isListed bool, revision, known uint64) int {
	for i, s := range states {
		isReplaced := i+1 < len(states) && states[i+1].from <= known
		if !isReplaced && s.isListed == isListed && (!isListed || s.from == revision) {
			return i
		}
	}
	return -1
}

func (m *sourcesModel) drawRouter(t *rapid.T) *sourcesRouter {
	return m.routers[rapid.IntRange(0, len(m.routers)-1).Draw(t, "router")]
}

// act lets a router learn something, on time or late, or changes the store. It returns the router.
func (m *sourcesModel) act(t *rapid.T) *sourcesRouter {
	r := m.drawRouter(t)
	var answer func()
	switch rapid.SampledFrom([]string{"cached list", "list", "watch", "delta", "snapshot", "beacon", "late", "change"}).Draw(t, "action") {
	case "cached list":
		answer = m.list(t, r, m.client.ListCached)
	case "list":
		answer = m.list(t, r, m.client.List)
	case "watch":
		answer = m.watch(t, r)
	case "delta":
		answer = tell(r, m.drawRouter(t), r.View().Targets.Revision)
	case "snapshot":
		answer = tell(r, m.drawRouter(t), state.Revision{})
	case "beacon":
		told := m.drawRouter(t).View().Targets
		answer = func() { r.AdvanceRevision(told.Revision, told.Digest) }
	case "late":
		if len(r.late) > 0 {
			i := rapid.IntRange(0, len(r.late)-1).Draw(t, "answer")
			answer, r.late = r.late[i], slices.Delete(r.late, i, i+1)
		}
	case "change":
		runAll(m.drawChanges(t, 6))
	}
	switch {
	case answer == nil:
	case rapid.Bool().Draw(t, "is late"):
		r.late = append(r.late, answer)
	default:
		answer()
	}
	return r
}

// Guards against an older state of a target that replaces, removes, brings back or spreads over a
// newer one (issue 55), whichever source tells it: lists of 2 to 12 pages of different ages with
// changes in between, watches, changes and snapshots from other routers, each on time or late.
func TestSourcesOfAnyAge(t *testing.T) {
	var current atomic.Pointer[sourcesModel]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { current.Load().ServeHTTP(w, r) }))
	t.Cleanup(server.Close)
	client, stop := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(stop)
	rapid.Check(t, func(t *rapid.T) {
		m := newSourcesModel(t, platformtest.NewStore())
		m.client = client
		current.Store(m)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			m.check(t, m.act(t))
		}
		for _, r := range m.routers {
			runAll(r.late)
			m.check(t, r)
			m.plan(nil, nil)
			page, err := client.List(context.Background(), platform.KindTargets)
			if err != nil || !r.handleTargets(page, true) || page.Revision.Number != m.store.Revision() {
				t.Fatalf("a list at rest as of %v: %v", page.Revision, err)
			}
			r.learn(func(string) uint64 { return page.Revision.Number })
			m.check(t, r)
		}
	})
}
