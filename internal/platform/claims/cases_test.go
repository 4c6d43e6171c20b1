package claims

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/standin/store"
)

// simulate runs a scenario in a synctest bubble and then checks the invariants of the
// randomized test.
func simulate(t *testing.T, direct bool, run func(t *testing.T, s *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(direct)
		defer s.stop()
		run(t, s)
		synctest.Wait()
		s.check(noDeadlineTB{t})
	})
}

// serveUntilDecided serves store calls until the last claim has its decision.
func (s *simulation) serveUntilDecided(t *testing.T) *testCall {
	t.Helper()
	c := s.calls[len(s.calls)-1]
	for range 5 {
		s.serveAll()
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(t, c.decision.Load(), qt.IsNotNil)
	return c
}

// serveNext serves the oldest pending store call.
func (s *simulation) serveNext(mode store.Mode) {
	synctest.Wait()
	s.store.Serve(s.store.Pending()[0], mode)
	synctest.Wait()
}

func wantVerdict(t *testing.T, c *testCall, want Verdict) {
	t.Helper()
	d := c.decision.Load()
	qt.Assert(t, d, qt.IsNotNil)
	qt.Assert(t, d.Verdict, qt.Equals, want)
}

// runAndSweep runs a key, lets its bucket expire, and has the janitor delete its claims
// object. It then sets the routers' clocks back by 20 s, so that they accept the key
// again.
func (s *simulation) runAndSweep(t *testing.T) *testCall {
	s.sweep()
	s.serveAll()
	s.claim(s.routers[0], newKey(time.Now(), 0), "f")
	c := s.serveUntilDecided(t)
	wantVerdict(t, c, Run)
	s.dispatch(c)
	time.Sleep(20 * time.Second)
	s.sweep()
	s.serveAll()
	qt.Assert(t, s.store.Len(), qt.Equals, 1, qt.Commentf("only the watermark is left"))
	for _, r := range s.routers {
		r.skew.Store(int64(-20 * time.Second))
	}
	return c
}

func TestDeletedBucketAcceptsNoClaims(t *testing.T) {
	t.Run("a router whose clock is behind does not run the key again", func(t *testing.T) {
		simulate(t, true, func(t *testing.T, s *simulation) {
			c := s.runAndSweep(t)
			s.claim(s.routers[1], c.call.Key, "f")
			wantVerdict(t, s.serveUntilDecided(t), Unknown)
		})
	})
	t.Run("an entry in a recreated object proves nothing about the key", func(t *testing.T) {
		simulate(t, true, func(t *testing.T, s *simulation) {
			c := s.runAndSweep(t)
			s.claim(s.routers[1], c.call.Key, "g")
			s.serveNext(store.OK)
			qt.Assert(t, s.store.Len(), qt.Equals, 2)
			// The router that waits to read the watermark gets no response.
			s.store.DropPending()
			s.claim(s.routers[2], c.call.Key, "f")
			wantVerdict(t, s.serveUntilDecided(t), Unknown)
		})
	})
}

func TestUnverifiedObjectProvesNothing(t *testing.T) {
	simulate(t, true, func(t *testing.T, s *simulation) {
		c := s.runAndSweep(t)
		s.claim(s.routers[1], c.call.Key, "f")
		// The object is recreated and read back, but the watermark cannot be read.
		for _, mode := range []store.Mode{store.ReplyLost, store.OK, store.Unavailable} {
			s.serveNext(mode)
			time.Sleep(20 * time.Millisecond)
		}
		wantVerdict(t, s.serveUntilDecided(t), Unknown)
	})
}

func TestOwnerWithLostReply(t *testing.T) {
	simulate(t, false, func(t *testing.T, s *simulation) {
		s.routers[0].owner.Store(s.routers[1])
		s.claim(s.routers[0], newKey(time.Now(), 0), "f")
		synctest.Wait()
		// The owner's write is in flight when the router falls back to its own claim
		// store.
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		for _, op := range s.store.Pending() {
			s.store.Serve(op, store.OK)
		}
		// From here on, the owner's writes take effect only after all of the router's reads.
		for range 5 {
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
			for _, op := range s.store.Pending() {
				if !op.Write {
					s.store.Serve(op, store.OK)
				}
			}
		}
		c := s.calls[0]
		wantVerdict(t, c, Run)
		s.dispatch(c)
		s.serveAll()
		s.claim(s.routers[2], c.call.Key, "f")
		wantVerdict(t, s.serveUntilDecided(t), Unknown)
	})
}

func TestUnresponsivePlatform(t *testing.T) {
	simulate(t, true, func(t *testing.T, s *simulation) {
		s.claim(s.routers[0], newKey(time.Now(), 0), "f")
		time.Sleep(time.Second)
		synctest.Wait()
		wantVerdict(t, s.calls[0], Refused)
		// The next call is refused without waiting for the timeout again.
		s.claim(s.routers[0], newKey(time.Now(), 1), "f")
		synctest.Wait()
		wantVerdict(t, s.calls[1], Refused)
		time.Sleep(time.Second)
		s.claim(s.routers[0], newKey(time.Now(), 2), "f")
		wantVerdict(t, s.serveUntilDecided(t), Run)
	})
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	simulate(t, true, func(t *testing.T, s *simulation) {
		key := newKey(time.Now(), 0)
		s.claim(s.routers[0], key, "f")
		c := s.serveUntilDecided(t)
		wantVerdict(t, c, Run)
		s.finish(c, Record{Status: outcome.NotRun})
		s.serveAll()
		s.claim(s.routers[1], key, "f")
		wantVerdict(t, s.serveUntilDecided(t), Run)
	})
}

func TestParseKey(t *testing.T) {
	for _, s := range []string{"", "x", "6ba7b810-9dad-11d1-80b4-00c04fd430c8"} {
		_, f := ParseKey(s)
		qt.Assert(t, f, qt.IsNotNil, qt.Commentf("%q", s))
		qt.Assert(t, f.Status, qt.Equals, outcome.NotRun)
	}
	want := time.UnixMilli(1700000000123)
	key, f := ParseKey(newKey(want, 1).String())
	qt.Assert(t, f == nil, qt.IsTrue)
	qt.Assert(t, KeyTime(key), qt.Equals, want)
}

func TestFinishThroughAnotherStore(t *testing.T) {
	finishBy := func(t *testing.T, s *simulation, r *testRouter, key uuid.UUID) {
		s.claim(s.routers[0], key, "f")
		c := s.serveUntilDecided(t)
		wantVerdict(t, c, Run)
		s.dispatch(c)
		c.router = r
		s.finish(c, Record{Status: outcome.Done, Body: []byte(fmt.Sprint(c.number))})
		s.serveAll()
		s.claim(s.routers[2], key, "f")
		wantVerdict(t, s.serveUntilDecided(t), Recorded)
	}
	t.Run("that has not read the object", func(t *testing.T) {
		simulate(t, true, func(t *testing.T, s *simulation) {
			finishBy(t, s, s.routers[1], newKey(time.Now(), 0))
		})
	})
	t.Run("that caches an older version of the object", func(t *testing.T) {
		simulate(t, true, func(t *testing.T, s *simulation) {
			s.claim(s.routers[1], newKey(time.Now(), 0), "f")
			wantVerdict(t, s.serveUntilDecided(t), Run)
			finishBy(t, s, s.routers[1], newKey(time.Now(), 1))
		})
	})
}

func TestCloseRecordsPendingOutcomes(t *testing.T) {
	simulate(t, true, func(t *testing.T, s *simulation) {
		client := s.store.Client(func() bool { return true })
		claimStore, closeStore := NewStore(client, append(slices.Clone(simulationOptions), WithCloseTimeout(5*time.Second))...)
		r := &testRouter{store: claimStore, sharded: claimStore}
		s.claim(r, newKey(time.Now(), 0), "f")
		c := s.serveUntilDecided(t)
		wantVerdict(t, c, Run)
		s.dispatch(c)
		s.finish(c, Record{Status: outcome.Done, Body: []byte(fmt.Sprint(c.number))})
		s.serveNext(store.Unavailable)
		go closeStore()
		time.Sleep(100 * time.Millisecond)
		s.serveAll()
		s.claim(s.routers[2], c.call.Key, "f")
		wantVerdict(t, s.serveUntilDecided(t), Recorded)
		s.claim(r, newKey(time.Now(), 1), "f")
		wantVerdict(t, s.serveUntilDecided(t), Refused)
	})
}

func TestFinishContinuesAfterContextEnds(t *testing.T) {
	for name, owner := range map[string]int{"at the owner": 1, "at the router itself": 0} {
		t.Run(name, func(t *testing.T) {
			simulate(t, false, func(t *testing.T, s *simulation) {
				s.routers[0].owner.Store(s.routers[owner])
				s.claim(s.routers[0], newKey(time.Now(), 0), "f")
				c := s.serveUntilDecided(t)
				wantVerdict(t, c, Run)
				s.dispatch(c)
				cancelled, cancel := context.WithCancel(s.ctx)
				cancel()
				_ = s.routers[0].sharded.Finish(cancelled, c.decision.Load().Claim, Record{Status: outcome.Done, Body: []byte("0")})
				s.serveAll()
				s.claim(s.routers[2], c.call.Key, "f")
				wantVerdict(t, s.serveUntilDecided(t), Recorded)
			})
		})
	}
}
