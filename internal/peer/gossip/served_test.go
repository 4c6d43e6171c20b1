package gossip_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
)

// Guards against a failure found by trial trouble-1 of sovnmerket-hq-grown with seed
// 1058504391369: the store turns away the routers that come first in the order in which
// routers watch it, and the others take it for down, so that revoked keys are served on.
func TestStoreThatTurnsFirstRoutersAwayIsWatchedByOthers(t *testing.T) {
	const count, turnedAway = 14, 7
	f := newFixture(t)
	f.configure(1)
	f.target("i-1", "ready")
	var refuses atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refuses.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("r-", i)
	}
	slices.SortFunc(names, func(a, b string) int {
		if xxhash.Sum64String(a) < xxhash.Sum64String(b) {
			return -1
		}
		return 1
	})
	var routers []*router
	for i, name := range names {
		address := f.storeAddress
		if i < turnedAway {
			address = strings.TrimPrefix(server.URL, "http://")
		}
		r := f.start(name, address)
		for _, other := range routers {
			r.AddPeer(other.address)
		}
		routers = append(routers, r)
	}
	allKnow := func(version int64) func() bool {
		return func() bool {
			for _, r := range routers {
				if c := r.watcher.View().Configuration; c == nil || c.Version != version || r.LiveCount() != count {
					return false
				}
			}
			return true
		}
	}
	f.eventually("every router knows the configuration and all others", allKnow(1))
	f.eventually("the first router watches the store", func() bool {
		watching := 0
		for _, r := range routers {
			if r.WatchesStore() {
				watching++
			}
		}
		return watching == 1 && routers[0].WatchesStore()
	})
	refuses.Store(true)
	f.configure(2) // A watch that is waiting still returns it.
	f.eventually("every router has the next configuration", allKnow(2))
	assertTakes := func(version int, limit time.Duration) {
		f.configure(version)
		changed := time.Now()
		f.eventually("every router has the configuration", allKnow(int64(version)))
		f.Assert(time.Since(changed) < limit, qt.IsTrue, qt.Commentf("version %d after %v", version, time.Since(changed)))
	}
	assertTakes(3, 2*time.Second) // The bound of a change with the default settings.
	assertTakes(4, time.Second)
	calls := f.store.Calls()
	time.Sleep(2 * time.Second)
	f.Assert(f.store.Calls()-calls < 2*5, qt.IsTrue, qt.Commentf("%d calls", f.store.Calls()-calls))
}

// Guards against a store that is called by all routers while it is down for all.
func TestUnavailableStoreIsCalledByFewRouters(t *testing.T) {
	const count = 14
	f := newFixture(t)
	f.configure(1)
	var routers []*router
	for i := range count {
		r := f.start(fmt.Sprint("r-", i), f.storeAddress)
		for _, other := range routers {
			r.AddPeer(other.address)
		}
		routers = append(routers, r)
	}
	f.eventually("every router knows all others", func() bool {
		for _, r := range routers {
			if r.LiveCount() != count || r.watcher.View().Configuration == nil {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	f.store.Fail(503)
	time.Sleep(time.Second)
	calls := f.store.ChargedCalls()
	time.Sleep(3 * time.Second)
	// Four routers call it with two kinds, at most each 400 ms; the others' cached lists are
	// charged a tenth.
	f.Assert(f.store.ChargedCalls()-calls <= 4*2*3/0.4+6, qt.IsTrue, qt.Commentf("%v calls", f.store.ChargedCalls()-calls))
	f.store.Fail(0)
	f.configure(2)
	back := time.Now()
	f.eventually("every router has the next configuration", func() bool {
		for _, r := range routers {
			if r.watcher.View().Configuration.Version != 2 {
				return false
			}
		}
		return true
	})
	f.Assert(time.Since(back) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(back)))
}
