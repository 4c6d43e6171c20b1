package storewatch_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/testing/seed"
	"hickoryrock/platform/platformtest"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{}) }

type (
	// historyModel is a plain model of the store, its targets and two routers: reader reads
	// the store's lists, follower only what reader tells it.
	historyModel struct {
		revision state.Revision
		entries  map[string]listedTarget
		copies   []savedEntries
		// alive holds the state of each live process by target.
		alive            map[string]listedTarget
		born             int
		reader, follower *storewatch.Watcher
		// drained holds the incarnations that a router has known to be leaving.
		drained map[*storewatch.Watcher]map[string]bool
	}

	listedTarget struct {
		born  int
		state string
	}

	savedEntries struct {
		number  uint64
		entries map[string]listedTarget
	}
)

func newHistoryModel() *historyModel {
	m := &historyModel{
		revision: state.Revision{Era: state.FirstEra, Number: 1}, entries: make(map[string]listedTarget),
		alive:  make(map[string]listedTarget),
		reader: storewatch.New(nil, zerolog.Nop(), nil, nil), follower: storewatch.New(nil, zerolog.Nop(), nil, nil),
	}
	m.drained = map[*storewatch.Watcher]map[string]bool{m.reader: {}, m.follower: {}}
	return m
}

// write stores a live target's state, or removes the entry of one that has ended.
func (m *historyModel) write(name string) {
	if live, ok := m.alive[name]; ok {
		m.entries[name] = live
	} else {
		delete(m.entries, name)
	}
	m.revision.Number++
}

func (m *historyModel) act(t *rapid.T) {
	name := fmt.Sprint("i-", rapid.IntRange(1, 4).Draw(t, "target"))
	switch live, ok := m.alive[name]; rapid.SampledFrom([]string{"start", "drain", "say", "end", "idle", "save", "restore", "write"}).Draw(t, "action") {
	case "start":
		if !ok {
			m.born++
			m.alive[name] = listedTarget{m.born, "ready"}
			m.write(name)
		}
	case "drain":
		if ok {
			m.alive[name] = listedTarget{live.born, "draining"}
			m.write(name)
		}
	case "say":
		if ok {
			m.reader.RecordLeaving(incarnation(name, live.born))
		}
	case "end":
		delete(m.alive, name)
		m.write(name)
	case "idle":
		m.revision.Number += uint64(rapid.IntRange(1, 20).Draw(t, "changes"))
	case "save":
		m.copies = append(m.copies, savedEntries{m.revision.Number, maps.Clone(m.entries)})
	case "restore":
		if len(m.copies) > 0 {
			i := rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy")
			m.revision.Era++
			m.revision.Number, m.entries = m.copies[i].number, maps.Clone(m.copies[i].entries)
			m.copies = m.copies[:i+1]
		}
	case "write":
		m.write(name)
	}
}

func (m *historyModel) list() storewatch.Delta {
	d := storewatch.Delta{Revision: m.revision}
	for _, name := range slices.Sorted(maps.Keys(m.entries)) {
		e := m.entries[name]
		d.Items = append(d.Items, storewatch.TargetChange{
			Entry: platformtest.Entry(name, platformtest.Target("10.0.0.1:80", e.state, e.born)),
		})
	}
	return d
}

// sync brings the follower up to date with the reader.
func (m *historyModel) sync() {
	known := m.follower.View().Targets.Revision
	m.follower.ApplyAnnouncements(m.reader.TakeAnnouncements())
	s := m.reader.Snapshot(0, known)
	m.follower.ApplyDepartures(s.Departures)
	m.follower.ApplyTargets(s.Targets, s.Full, "reader")
}

// readyTargets returns the incarnations that a router may call, and records those that drain.
func (m *historyModel) readyTargets(w *storewatch.Watcher) map[string]bool {
	ready := make(map[string]bool)
	for _, t := range w.View().Targets.ByService["s"] {
		key := fmt.Sprint(t.ID, "/", t.StartUnixMilli)
		if t.Draining {
			m.drained[w][key] = true
		} else {
			ready[key] = true
		}
	}
	return ready
}

// Guards against routers that use a target again after they have seen it draining, and against
// routers that differ after one has told the other all, in any history of a store that comes
// back from copies.
func TestHistoriesOfARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newHistoryModel()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.act(t)
			if rapid.Bool().Draw(t, "read") {
				m.reader.ApplyTargets(m.list(), true, "store")
			}
			if rapid.Bool().Draw(t, "told") {
				m.sync()
			}
			for _, w := range []*storewatch.Watcher{m.reader, m.follower} {
				for key := range m.readyTargets(w) {
					if m.drained[w][key] && w.View().Targets.Revision.Era > 0 {
						t.Fatalf("%s is called again after it was draining", key)
					}
				}
			}
		}
		m.reader.ApplyTargets(m.list(), true, "store")
		m.sync()
		if r, f := m.readyTargets(m.reader), m.readyTargets(m.follower); !maps.Equal(r, f) {
			t.Fatalf("the reader calls %v, the follower %v", r, f)
		}
	})
}
