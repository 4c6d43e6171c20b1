package storewatch_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	bytes int
}

func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return w.ResponseWriter.Write(data)
}

// Guards against a change that is in force too late (CONFIG, issue 36): a router that takes over
// the store's watch, or asks for a change that its peers have not sent, must not get all
// configurations of the store's history.
func TestRouterThatHasNotWatchedReadsOnlyTheNewestConfiguration(t *testing.T) {
	const versions = 100
	for name, takesOver := range map[string]bool{"takes over the watch": true, "asks for a change": false} {
		t.Run(name, func(t *testing.T) {
			store := platformtest.NewStore()
			write := func(version int) string {
				spec := platformtest.FleetConfiguration(version)
				store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, spec)
				return spec
			}
			write(1)
			var largest atomic.Int64
			var shouldWatch atomic.Bool
			f := newFixtureWithHandler(t, shouldWatch.Load, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				counting := &countingWriter{ResponseWriter: w}
				store.ServeHTTP(counting, r)
				if size := int64(counting.bytes); size > largest.Load() {
					largest.Store(size)
				}
			}))
			f.eventually("the first configuration", func() bool { return f.version() == 1 })
			size := 0
			for version := 2; version <= versions; version++ {
				size = len(write(version))
			}
			if takesOver {
				shouldWatch.Store(true)
			} else {
				f.Refresh(true, false)
			}
			f.eventually("the newest configuration", func() bool { return f.version() == versions })
			f.Assert(largest.Load() < int64(2*size), qt.IsTrue, qt.Commentf("%d bytes, the configuration has %d", largest.Load(), size))
		})
	}
}

// Guards against calls of all routers to a store that is in trouble: one that has asked for a
// change once must not repeat that for as long as the store fails.
func TestRouterThatDoesNotWatchDoesNotRepeatAFailedPoll(t *testing.T) {
	f := newFixture(t, false)
	f.eventually("the first lists", func() bool { return f.store.Calls() >= 2 })
	f.store.Fail(http.StatusServiceUnavailable)
	f.Refresh(true, true)
	time.Sleep(3 * time.Second)
	f.Assert(f.store.Calls() <= 2+2, qt.IsTrue, qt.Commentf("%d calls", f.store.Calls()))
	f.store.Fail(0)
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.Refresh(true, true)
	f.eventually("the target is known after the next poll", func() bool { return f.ready() == 1 })
}

// Guards against a router that asks again and again for changes that do not arrive in time: each
// call starts again from the first byte (found by TestUnreadableWatchIsFollowedByAList beside other
// load, issue 36).
func TestWatchThatDoesNotArriveInTimeIsFollowedByAList(t *testing.T) {
	store := platformtest.NewStore()
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
	var isSlow atomic.Bool
	f := newFixtureWithHandler(t, func() bool { return true }, store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isSlow.Load() && r.URL.Query().Has("watch") {
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write([]byte(`{"events":[`))
			_ = http.NewResponseController(w).Flush() // The client reads on until it gives up.
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	}))
	f.eventually("the first configuration", func() bool { return f.version() == 1 })
	isSlow.Store(true)
	change := func(version int, state string) {
		store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(version))
		store.Set(platformtest.KindTargets, "i-1", target(state))
	}
	change(2, "ready") // The watches that wait already return it.
	f.eventually("the first change", func() bool { return f.version() == 2 && f.ready() == 1 })
	change(3, "draining")
	f.eventually("the second change", func() bool { return f.version() == 3 && f.ready() == 0 })
}
