package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// maxLateSends is the number of calls with a part that crashes targets that may be sent
// later than contactTime after the fifth crash.
const maxLateSends = 3

// Guards against a prompt part that crashes each target that begins an answer to it, and
// that routers keep sending from target to target. Its first bytes may not reach a router
// (BUDGET, issue 40).
func TestPartThatCrashesTargets(t *testing.T) {
	for name, path := range map[string]string{
		"chat": platformtest.PathChat, "once": platformtest.PathChatOnce, "chat-silently": platformtest.PathChat,
	} {
		t.Run(name, func(t *testing.T) {
			f := newEngineFleet(t, 3, 8)
			f.crashesSilently = name == "chat-silently"
			f.warmUp(path)
			ctx, cancel := context.WithTimeout(context.Background(), 8500*time.Millisecond)
			defer cancel()
			var running sync.WaitGroup
			running.Go(func() {
				repeat(ctx, 60*time.Millisecond, func(i int) { f.call(path, "aa", crashingPart, fmt.Sprint("e", i)) })
			})
			var mu sync.Mutex
			sound, served := 0, 0
			running.Go(func() {
				repeat(ctx, 20*time.Millisecond, func(i int) {
					late := f.lateBy(2 * contactTime)
					ok := f.call(path, "aa", fmt.Sprint("b", i%6), fmt.Sprint("d", i)) == http.StatusOK
					mu.Lock()
					defer mu.Unlock()
					if late {
						sound++
						if ok {
							served++
						}
					}
				})
			})
			running.Wait()
			f.assertContained()
			f.Assert(sound >= 20, qt.IsTrue, qt.Commentf("%d sound calls", sound))
			f.Assert(2*served >= sound, qt.IsTrue, qt.Commentf("%d of %d sound calls served", served, sound))
		})
	}
}

// lateBy reports whether the first crash is longer ago than d.
func (f *engineFleet) lateBy(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes) > 0 && time.Since(f.crashes[min(len(f.crashes), 5)-1]) > d
}

// assertContained fails if more than maxLateSends calls with crashingPart were sent later
// than contactTime after the fifth crash.
func (f *engineFleet) assertContained() {
	f.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Logf("%d crashes, %d sends", len(f.crashes), len(f.sends))
	if len(f.crashes) < 5 {
		return
	}
	late := 0
	for _, at := range f.sends {
		if at.Sub(f.crashes[4]) > contactTime {
			late++
		}
	}
	f.Assert(late <= maxLateSends, qt.IsTrue, qt.Commentf("%d calls sent late, %d targets crashed", late, len(f.crashes)))
}

// Guards against a part that crashes targets again after a loss of all routers, which
// keep nothing themselves.
func TestQuarantineIsKeptInTheStore(t *testing.T) {
	now := time.Now()
	record := quarantine.Record{Part: 0xc0ffee, Crashes: 5, LastCrash: now, LastSeen: now}
	store := platformtest.NewStore()
	t.Run("written as soon as the store is there", func(t *testing.T) {
		f := newFixtureWithStore(t, store)
		f.configure()
		f.eventually("the router has joined", func() bool { return len(store.Names(platform.KindRouters)) == 1 })
		store.Fail(http.StatusServiceUnavailable)
		f.router.quarantine.Restore([]quarantine.Record{record}, now)
		time.Sleep(1200 * time.Millisecond)
		store.Fail(0)
		f.eventually("the record is stored", func() bool { return len(store.Names(platform.KindQuarantine)) == 1 })
	})
	t.Run("read by a new router", func(t *testing.T) {
		f := newFixtureWithStore(t, store)
		f.eventually("the record is known", func() bool { return len(f.router.quarantineViews()) == 1 })
		got := f.router.quarantineViews()[0]
		f.Assert(got.Part, qt.Equals, "c0ffee")
		f.Assert(got.Crashes, qt.Equals, 5)
		f.Assert(got.Refused, qt.IsTrue)
	})
	t.Run("deleted after a complete answer", func(t *testing.T) {
		f := newFixtureWithStore(t, store)
		f.configure()
		f.eventually("the record is known", func() bool { return len(f.router.quarantineViews()) == 1 })
		f.router.quarantine.RecordAnswer([]uint64{record.Part}, time.Now())
		f.eventually("the record is deleted", func() bool { return len(store.Names(platform.KindQuarantine)) == 0 })
	})
}
