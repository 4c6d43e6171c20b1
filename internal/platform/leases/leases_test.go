package leases

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/standin/store"
	"hickoryrock/internal/testing/seed"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{Seed: 1, Steps: 100}) }

type (
	// noDeadlineTB hides the test's Deadline method, which must not be called in a
	// synctest bubble.
	noDeadlineTB struct{ rapid.TB }

	// simulation is several keepers of one lease.
	simulation struct {
		store   *store.Store
		keepers []*Keeper
		ctx     context.Context
		cancel  func()
		// holder is the keeper that held the lease last, and token is its fencing
		// token.
		holder *Keeper
		token  uint64
	}
)

func newSimulation() *simulation {
	s := &simulation{store: store.New()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for range 3 {
		s.keepers = append(s.keepers, s.newKeeper())
	}
	return s
}

func (s *simulation) newKeeper() *Keeper {
	client := s.store.Client(func() bool { return s.ctx.Err() == nil })
	k, _ := New(client, "orders", WithHolder(fmt.Sprint(len(s.keepers))), WithLength(2*time.Second), WithMargin(100*time.Millisecond))
	return k
}

// stop cancels the simulation and waits 5 s, so that all its goroutines end.
func (s *simulation) stop() {
	s.cancel()
	time.Sleep(5 * time.Second)
}

func (s *simulation) try(k *Keeper) {
	go func() { _ = k.TryAcquireOrRenew(s.ctx) }()
}

func (s *simulation) serveAll() {
	for range 5 {
		synctest.Wait()
		for _, c := range s.store.Pending() {
			s.store.Serve(c, store.OK)
		}
	}
}

// check verifies that at most one keeper holds the lease and that a new holder's token
// is higher than the previous one's.
func (s *simulation) check(t rapid.TB) {
	t.Helper()
	holding := 0
	for _, k := range s.keepers {
		l, ok := k.Lease()
		if !ok {
			continue
		}
		holding++
		if k != s.holder && l.Token <= s.token {
			t.Fatalf("a new holder has token %d after %d", l.Token, s.token)
		}
		s.holder, s.token = k, max(s.token, l.Token)
	}
	if holding > 1 {
		t.Fatalf("%d keepers hold the lease", holding)
	}
}

func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			s := newSimulation()
			defer s.stop()
			modes := []store.Mode{store.OK, store.OK, store.ReplyDelayed, store.ReplyLost, store.Unavailable}
			restarts := rapid.Bool().Draw(t, "restarts")
			keeper := func(t *rapid.T) *Keeper { return rapid.SampledFrom(s.keepers).Draw(t, "keeper") }
			try := func(t *rapid.T) { s.try(keeper(t)) }
			t.Repeat(map[string]func(*rapid.T){
				"try": try, "try-2": try,
				"serve": func(t *rapid.T) {
					pending := s.store.Pending()
					if len(pending) == 0 {
						t.Skip("no pending calls")
					}
					s.store.Serve(rapid.SampledFrom(pending).Draw(t, "call"), rapid.SampledFrom(modes).Draw(t, "mode"))
				},
				"serve-all": func(*rapid.T) { s.serveAll() },
				"release": func(t *rapid.T) {
					if !restarts {
						t.Skip("no restarts")
					}
					i := slices.Index(s.keepers, keeper(t))
					go s.keepers[i].release()
					s.keepers[i] = s.newKeeper()
				},
				"restart": func(t *rapid.T) {
					if !restarts {
						t.Skip("no restarts")
					}
					i := slices.Index(s.keepers, keeper(t))
					s.keepers[i] = s.newKeeper()
				},
				"advance": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 12).Draw(t, "advance")) * 200 * time.Millisecond)
				},
				"": func(t *rapid.T) { synctest.Wait(); s.check(t) },
			})
		})
	})
}

func TestTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation()
		defer s.stop()
		wantHolder := func(n int) Lease {
			t.Helper()
			for i, k := range s.keepers {
				_, ok := k.Lease()
				qt.Assert(t, ok, qt.Equals, i == n, qt.Commentf("keeper %d", i))
			}
			if n < 0 {
				return Lease{}
			}
			l, _ := s.keepers[n].Lease()
			return l
		}
		for _, k := range s.keepers[:2] {
			s.try(k)
			s.serveAll()
		}
		first := wantHolder(0)
		time.Sleep(2 * time.Second)
		wantHolder(-1)
		time.Sleep(100 * time.Millisecond)
		s.try(s.keepers[1])
		s.serveAll()
		second := wantHolder(1)
		qt.Assert(t, second.Token > first.Token, qt.IsTrue)
		qt.Assert(t, first.Valid(), qt.IsFalse)

		go s.keepers[1].release()
		s.serveAll()
		s.try(s.keepers[2])
		s.serveAll()
		wantHolder(2)
	})
}

func TestDeadlineCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation()
		defer s.stop()
		serve := func(m store.Mode) {
			synctest.Wait()
			s.store.Serve(s.store.Pending()[0], m)
			synctest.Wait()
		}
		s.try(s.keepers[0])
		serve(store.OK)
		serve(store.ReplyDelayed)
		time.Sleep(1900 * time.Millisecond)
		serve(store.OK)
		_, ok := s.keepers[0].Lease()
		qt.Assert(t, ok, qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		_, ok = s.keepers[0].Lease()
		qt.Assert(t, ok, qt.IsFalse)
	})
}
