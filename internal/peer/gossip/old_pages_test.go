package gossip_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform/platformtest"
)

const (
	oldPageSize = 2
	// leaving is the target on the last page, which drains or is removed.
	leaving = "z-1"
)

// usesLeaving reports whether a router may send new calls to the leaving target.
func (r *router) usesLeaving() bool {
	for _, t := range r.watcher.View().Targets.ByService["s"] {
		if t.ID == leaving && !t.Draining {
			return true
		}
	}
	return false
}

// startPeers starts two routers that know four targets and the leaving one.
func (f *fixture) startPeers() []*router {
	f.store.SetPageSize(oldPageSize)
	f.configure(1)
	for n := range 2 * oldPageSize {
		f.target(fmt.Sprint("a-", n), "ready")
	}
	f.target(leaving, "ready")
	a, b := f.start("a", f.storeAddress), f.start("b", f.storeAddress)
	b.AddPeer(a.address)
	for _, r := range []*router{a, b} {
		f.eventually("the targets are known", func() bool { return r.LiveCount() == 2 && r.usesLeaving() })
	}
	return []*router{a, b}
}

// restartWithOldPages starts a third router. Pages of its cached list that isOld selects, by the
// name that they follow, are as the store was when the fleet started.
func (f *fixture) restartWithOldPages(peers []*router, change func(), isOld func(after string) bool) *router {
	f.store.FreezeCachedPages(isOld)
	change()
	for _, r := range peers {
		f.eventually("the change is known", func() bool {
			return !r.usesLeaving() && r.watcher.View().Targets.Revision.Number == f.store.Revision()
		})
	}
	restarted := f.start("restarted", f.storeAddress)
	f.eventually("the restarted router has read the list", func() bool {
		return restarted.watcher.View().Targets.Revision != state.Revision{}
	})
	for _, r := range peers {
		restarted.AddPeer(r.address)
	}
	return restarted
}

// Guards against calls to a target that drains or has left (DRAIN, issue 55): a router that
// restarted read old further pages of a cached list, stated the revision of the first page, and the
// others took the old entries from it.
func TestRoutersTakeNoOldPagesFromARestartedOne(t *testing.T) {
	changes := map[string]func(f *fixture){
		"drains":     func(f *fixture) { f.target(leaving, "draining") },
		"is removed": func(f *fixture) { f.store.Remove(platformtest.KindTargets, leaving) },
		"is replaced by others": func(f *fixture) {
			for n := range 2 * oldPageSize {
				f.target(fmt.Sprint("z-", n+2), "ready")
			}
			f.store.Remove(platformtest.KindTargets, leaving)
		},
		"drains before other changes": func(f *fixture) {
			f.target(leaving, "draining")
			for version := range 20 {
				f.configure(version + 2)
			}
		},
	}
	pages := map[string]func(after string) bool{
		"the further pages": func(after string) bool { return after != "" },
		"the last page":     func(after string) bool { return after == "a-3" },
		"the first page":    func(after string) bool { return after == "" },
		"all pages":         func(string) bool { return true },
	}
	for what, change := range changes {
		for which, isOld := range pages {
			t.Run("target "+what+", old: "+which, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				peers := f.startPeers()
				restarted := f.restartWithOldPages(peers, func() { change(f) }, isOld)
				f.eventually("the restarted router is up to date", func() bool {
					return restarted.LiveCount() == 3 && !restarted.usesLeaving() &&
						restarted.watcher.View().Targets.Digest == peers[0].watcher.View().Targets.Digest
				})
				for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					for _, r := range append(peers, restarted) {
						f.Assert(r.usesLeaving(), qt.IsFalse)
					}
				}
			})
		}
	}
}
