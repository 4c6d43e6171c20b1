package claims

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/store"
	"hickoryrock/internal/testing/seed"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{Seed: 1, Steps: 100}) }

var simulationOptions = []Option{
	WithShards(1), WithBucketLength(4 * time.Second), WithWindow(8 * time.Second), WithMaxClockSkew(time.Second),
	WithClaimTimeout(time.Second), WithFinishTimeout(3 * time.Second), WithInProgressTimeout(2 * time.Second),
	WithWriteRate(1e6, 1e6), WithCloseTimeout(0), WithBackoff(objects.Backoff{Base: 10 * time.Millisecond, Max: 10 * time.Millisecond}),
}

type (
	// noDeadlineTB hides the test's Deadline method, which must not be called in a
	// synctest bubble.
	noDeadlineTB struct{ rapid.TB }

	// simulation is several routers that share a store. Every store call waits until
	// the test serves it.
	simulation struct {
		store   *store.Store
		janitor *Janitor
		routers []*testRouter
		keys    []uuid.UUID
		calls   []*testCall
		// runs records the executions of each key, as the numbers of the calls that ran
		// it.
		runs map[uuid.UUID][]int
		// ctx is the context of the janitor and of the test's calls.
		ctx    context.Context
		cancel func()
		// direct makes each router commit its own claims instead of forwarding them to
		// the owner.
		direct bool
	}

	testRouter struct {
		// store is the router's local claim store; sharded forwards to the owner.
		store   Store
		sharded Store
		close   func()
		// owner is the router that this router considers the owner of the shard.
		owner atomic.Pointer[testRouter]
		// loseReplies drops the router's responses to other routers.
		loseReplies atomic.Bool
		// skew is the offset of the router's clock in nanoseconds.
		skew atomic.Int64
		dead atomic.Bool
	}

	// testCall is one call through one router.
	testCall struct {
		number     int
		router     *testRouter
		call       Call
		ranBefore  bool
		decision   atomic.Pointer[Decision]
		dispatched bool
		finished   bool
	}
)

// newKey returns a UUIDv7 with the given timestamp; n makes it unique.
func newKey(t time.Time, n int) uuid.UUID {
	var key uuid.UUID
	binary.BigEndian.PutUint64(key[:8], uint64(t.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(key[8:], 1<<63|uint64(n))
	return key
}

func newSimulation(direct bool) *simulation {
	s := &simulation{store: store.New(), runs: make(map[uuid.UUID][]int), direct: direct}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for range 3 {
		s.routers = append(s.routers, s.newRouter())
	}
	s.janitor = NewJanitor(s.store.Client(func() bool { return true }), simulationOptions...)
	return s
}

func (s *simulation) sweep() {
	go func() { _, _ = s.janitor.Sweep(s.ctx) }()
}

func (s *simulation) newRouter() *testRouter {
	r := &testRouter{}
	now := func() time.Time { return time.Now().Add(time.Duration(r.skew.Load())) }
	var closeStore func()
	r.store, closeStore = NewStore(s.store.Client(func() bool { return !r.dead.Load() }), append(slices.Clone(simulationOptions), WithNow(now))...)
	var closeSharded func()
	r.sharded, closeSharded = NewSharded(r.store, func(uint32) Remote {
		if owner := r.owner.Load(); owner != nil && owner != r {
			return &testRemote{owner}
		}
		return nil
	}, simulationOptions...)
	if s.direct {
		r.sharded = r.store
	}
	r.close = func() {
		closeSharded()
		closeStore()
	}
	return r
}

// testRemote is a router's claim store as seen by other routers.
type testRemote struct{ router *testRouter }

var errRemote = errors.New("no response")

func (r *testRemote) Claim(ctx context.Context, c Call) (Decision, error) {
	if r.router.dead.Load() {
		return Decision{}, errRemote
	}
	d := r.router.store.Claim(ctx, c)
	if r.router.dead.Load() || r.router.loseReplies.Load() || ctx.Err() != nil {
		return Decision{}, errRemote
	}
	return d, nil
}

func (r *testRemote) Finish(ctx context.Context, c Claim, rec Record) error {
	if r.router.dead.Load() {
		return errRemote
	}
	err := r.router.store.Finish(ctx, c, rec)
	if r.router.dead.Load() || r.router.loseReplies.Load() {
		return errRemote
	}
	return err
}

// claim starts a call in the background.
func (s *simulation) claim(r *testRouter, key uuid.UUID, fingerprint string) {
	first := !slices.ContainsFunc(s.calls, func(c *testCall) bool { return c.call.Key == key })
	c := &testCall{number: len(s.calls), router: r, call: Call{Workspace: "w", Key: key, Fingerprint: fingerprint, First: first}}
	c.ranBefore = slices.ContainsFunc(s.runs[key], func(n int) bool { return s.calls[n].call.Fingerprint == fingerprint })
	s.calls = append(s.calls, c)
	go func() {
		d := r.sharded.Claim(s.ctx, c.call)
		c.decision.Store(&d)
	}()
}

// holding returns the calls that hold a claim and have neither dispatched nor finished.
func (s *simulation) holding() []*testCall {
	return s.granted(func(c *testCall) bool { return !c.dispatched && !c.finished })
}

// running returns the calls that have dispatched but not recorded an outcome.
func (s *simulation) running() []*testCall {
	return s.granted(func(c *testCall) bool { return c.dispatched && !c.finished })
}

func (s *simulation) granted(ok func(*testCall) bool) []*testCall {
	var out []*testCall
	for _, c := range s.calls {
		d := c.decision.Load()
		if !c.router.dead.Load() && d != nil && d.Verdict == Run && ok(c) {
			out = append(out, c)
		}
	}
	return out
}

func (s *simulation) dispatch(c *testCall) {
	c.dispatched = true
	s.runs[c.call.Key] = append(s.runs[c.call.Key], c.number)
}

func (s *simulation) finish(c *testCall, r Record) {
	c.finished = true
	go func() { _ = c.router.sharded.Finish(s.ctx, c.decision.Load().Claim, r) }()
}

// serveAll serves all pending store calls, and those that they lead to.
func (s *simulation) serveAll() {
	for range 20 {
		synctest.Wait()
		for _, c := range s.store.Pending() {
			s.store.Serve(c, store.OK)
		}
	}
}

// crash replaces a router by a new one. Only store calls that are already in flight
// still take effect.
func (s *simulation) crash(i int) {
	s.routers[i].dead.Store(true)
	s.routers[i].close()
	s.routers[i] = s.newRouter()
}

// check verifies the invariants: each key runs at most once, a request that was answered
// not-run had not run, and a recorded response is that of the only run.
func (s *simulation) check(t rapid.TB) {
	t.Helper()
	for key, runs := range s.runs {
		if len(runs) > 1 {
			t.Fatalf("key %s ran %d times, by calls %v", key, len(runs), runs)
		}
	}
	for _, c := range s.calls {
		d := c.decision.Load()
		if d == nil || c.router.dead.Load() {
			continue
		}
		runs := s.runs[c.call.Key]
		switch d.Verdict {
		case Refused:
			if c.ranBefore || c.dispatched {
				t.Fatalf("call %d was answered not-run (%s), but its key had run", c.number, d.Failure.Reason)
			}
		case Recorded:
			if len(runs) != 1 || string(d.Record.Body) != fmt.Sprint(runs[0]) {
				t.Fatalf("call %d got the response %q, runs are %v", c.number, d.Record.Body, runs)
			}
			if s.calls[runs[0]].call.Fingerprint != c.call.Fingerprint {
				t.Fatalf("call %d got the response of a different request, call %d", c.number, runs[0])
			}
		}
	}
}

// stop stops all routers and background calls.
func (s *simulation) stop() {
	s.cancel()
	for _, r := range s.routers {
		r.dead.Store(true)
		r.close()
	}
	synctest.Wait()
}

func TestAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, checkSimulation)
	})
}

func checkSimulation(t *rapid.T) {
	s := newSimulation(rapid.Bool().Draw(t, "direct"))
	defer s.stop()
	pick := func(name string, n int) int {
		if n == 0 {
			t.Skip("nothing to choose from")
		}
		return rapid.IntRange(0, n-1).Draw(t, name)
	}
	// Each case enables only some of the faults, so that many cases make progress.
	modes := []store.Mode{store.OK, store.OK, store.OK, store.OK}
	for _, mode := range []store.Mode{store.ReplyLost, store.ReplyDelayed, store.Unavailable, store.RateLimited} {
		if rapid.Bool().Draw(t, string(mode)) {
			modes = append(modes, mode)
		}
	}
	having := func(fault string, action func(*rapid.T)) func(*rapid.T) {
		if rapid.Bool().Draw(t, fault) {
			return action
		}
		return func(t *rapid.T) { t.Skip(fault) }
	}
	serve := func(t *rapid.T) {
		pending := s.store.Pending()
		s.store.Serve(pending[pick("op", len(pending))], rapid.SampledFrom(modes).Draw(t, "mode"))
	}
	claim := func(t *rapid.T) {
		if len(s.keys) == 0 || rapid.IntRange(0, 5).Draw(t, "new") == 0 {
			s.keys = append(s.keys, newKey(time.Now(), len(s.keys)))
		}
		// Choosing among the two newest keys makes calls collide.
		key := s.keys[len(s.keys)-1-pick("key", min(2, len(s.keys)))]
		s.claim(s.routers[pick("router", 3)], key, rapid.SampledFrom([]string{"f", "f", "f", "g"}).Draw(t, "fingerprint"))
	}
	actions := map[string]func(*rapid.T){
		"claim": claim, "claim-2": claim,
		"serve": serve, "serve-2": serve, "serve-3": serve,
		"serve-all": func(*rapid.T) { s.serveAll() },
		"dispatch": func(*rapid.T) {
			calls := s.holding()
			s.dispatch(calls[pick("call", len(calls))])
		},
		"finish": func(*rapid.T) {
			calls := s.running()
			c := calls[pick("call", len(calls))]
			s.finish(c, Record{Status: outcome.Done, Body: []byte(fmt.Sprint(c.number))})
		},
		"release": having("releases", func(*rapid.T) {
			calls := s.holding()
			s.finish(calls[pick("call", len(calls))], Record{Status: outcome.NotRun})
		}),
		"crash": having("crashes", func(*rapid.T) { s.crash(pick("router", 3)) }),
		"owner": having("owners", func(t *rapid.T) {
			r := s.routers[pick("router", 3)]
			r.owner.Store(s.routers[pick("owner", 3)])
			r.loseReplies.Store(rapid.Bool().Draw(t, "losing"))
		}),
		"advance": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 30).Draw(t, "advance")) * 10 * time.Millisecond)
		},
		"wait": having("waits", func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 8).Draw(t, "wait")) * time.Second)
		}),
		"skew": having("skews", func(t *rapid.T) {
			s.routers[pick("router", 3)].skew.Store(int64(rapid.IntRange(-30, 1).Draw(t, "seconds")) * int64(time.Second))
		}),
		"sweep": func(*rapid.T) { s.sweep() },
		"":      func(t *rapid.T) { synctest.Wait(); s.check(t) },
	}
	t.Repeat(actions)
}
