package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/slots"
	"hickoryrock/internal/testing/seed"
)

const ms = time.Millisecond

var (
	start   = time.Unix(1_000_000, 0)
	success = slots.Result{Took: 30 * ms, Succeeded: true}
)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{}) }

func at(d time.Duration) time.Time { return start.Add(d) }

func key(serial uint64) slots.Key { return slots.Key{Process: 1, Serial: serial} }

// request returns a request at a time with an objective of 150 ms and a deadline of 1.5 s.
func request(serial uint64, now time.Time) slots.Request {
	return slots.Request{Key: key(serial), Workspace: 1, Objective: now.Add(150 * ms), Deadline: now.Add(1500 * ms)}
}

func target(hash uint64, n int) slots.Target {
	return slots.Target{Hash: hash, Slots: n, IsEligible: true}
}

func newPool(targets ...slots.Target) *slots.Pool {
	p := slots.NewPool()
	p.SetTargets(targets, start)
	return p
}

// newFullPool returns a pool with one target of one slot, whose two places the requests 1
// and 2 occupy.
func newFullPool(c *qt.C, opts ...slots.Option) *slots.Pool {
	c.Helper()
	p := slots.NewPool(opts...)
	p.SetTargets([]slots.Target{target(7, 1)}, start)
	assertKind(c, p.Request(request(1, start), start), slots.Granted)
	assertKind(c, p.Request(request(2, start), start), slots.Granted)
	return p
}

func assertKind(c *qt.C, got slots.Reply, want slots.Kind) {
	c.Helper()
	c.Assert(got.Kind, qt.Equals, want, qt.Commentf("%+v", got))
}

// assertNext asserts which requests are granted as the given ones are released in turn.
func assertNext(c *qt.C, p *slots.Pool, now time.Time, released []uint64, want ...uint64) {
	c.Helper()
	var got []uint64
	for _, serial := range released {
		for _, r := range p.Release(key(serial), success, now) {
			assertKind(c, r, slots.Granted)
			got = append(got, r.Serial)
		}
	}
	c.Assert(got, qt.DeepEquals, want)
}

// Guards against requests that wait or are refused without need, and against calls that are
// granted twice because a datagram is repeated or late.
func TestRequest(t *testing.T) {
	t.Run("with room is granted at once", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 1))
		c.Assert(p.Request(request(1, start), start), qt.Equals, slots.Reply{Key: key(1), Kind: slots.Granted, Target: 7})
	})
	t.Run("may use one place beyond the slots", func(t *testing.T) {
		c := qt.New(t)
		assertKind(c, newFullPool(c).Request(request(3, start), start), slots.Waiting)
	})
	t.Run("repeated while granted gets the same reply and no second place", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 1), target(8, 1))
		first := p.Request(request(1, start), start)
		c.Assert(p.Request(request(1, at(ms)), at(ms)), qt.Equals, first)
		c.Assert(p.Summary(at(ms)).InFlight, qt.Equals, 1)
	})
	t.Run("repeated while it waits still waits once", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		assertKind(c, p.Request(request(3, start), start), slots.Waiting)
		assertKind(c, p.Request(request(3, at(ms)), at(ms)), slots.Waiting)
		c.Assert(p.Summary(at(ms)).Waiting, qt.Equals, 1)
	})
	t.Run("repeated after its grant is lost on the way gets it again", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		p.Request(request(3, start), start)
		p.Release(key(1), success, at(ms))
		c.Assert(p.Request(request(3, at(2*ms)), at(2*ms)), qt.Equals, slots.Reply{Key: key(3), Kind: slots.Granted, Target: 7})
	})
	t.Run("repeated after a refusal gets the same refusal", func(t *testing.T) {
		c := qt.New(t)
		p := newPool()
		first := p.Request(request(1, start), start)
		assertKind(c, first, slots.Refused)
		p.SetTargets([]slots.Target{target(7, 1)}, at(ms))
		c.Assert(p.Request(request(1, at(ms)), at(ms)), qt.Equals, first)
	})
	t.Run("late copy of a released one is not granted", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 1))
		p.Request(request(1, start), start)
		p.Release(key(1), success, at(30*ms))
		assertKind(c, p.Request(request(1, at(time.Hour)), at(time.Hour)), slots.Refused)
	})
	t.Run("that arrives after its cancellation is not granted", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 1))
		p.Cancel(key(1), start)
		assertKind(c, p.Request(request(1, at(ms)), at(ms)), slots.Refused)
		c.Assert(p.Summary(at(ms)).InFlight, qt.Equals, 0)
	})
	t.Run("does not get a target that it excludes", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 1), target(8, 1))
		for serial := range uint64(2) {
			r := request(serial, start)
			r.Excluded = []uint64{7}
			c.Assert(p.Request(r, start).Target, qt.Equals, uint64(8))
		}
	})
	t.Run("that can use a free place is not behind one that cannot", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 1), target(8, 1))
		for serial := range uint64(3) {
			r := request(serial, start)
			r.Excluded = []uint64{7}
			p.Request(r, start)
		}
		c.Assert(p.Summary(start).Waiting, qt.Equals, 1)
		c.Assert(p.Request(request(9, start), start).Target, qt.Equals, uint64(7))
	})
	t.Run("after its deadline is refused", func(t *testing.T) {
		c := qt.New(t)
		r := request(1, start)
		r.Deadline = start
		assertKind(c, newPool(target(7, 1)).Request(r, start), slots.Refused)
	})
}

// Guards against an order in which urgent or small callers are not served in time.
func TestOrder(t *testing.T) {
	wait := func(c *qt.C, p *slots.Pool, serial uint64, change func(*slots.Request)) {
		c.Helper()
		r := request(serial, start)
		if change != nil {
			change(&r)
		}
		assertKind(c, p.Request(r, start), slots.Waiting)
	}
	t.Run("the more urgent goes first", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		wait(c, p, 3, func(r *slots.Request) { r.Priority = 1 })
		wait(c, p, 4, nil)
		assertNext(c, p, at(ms), []uint64{1, 2}, 4, 3)
	})
	t.Run("the workspace with fewer recent grants goes first", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		wait(c, p, 3, nil)
		wait(c, p, 4, func(r *slots.Request) { r.Workspace = 2 })
		assertNext(c, p, at(ms), []uint64{1, 2}, 4, 3)
	})
	t.Run("the earlier latency objective goes first", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		wait(c, p, 3, func(r *slots.Request) { r.Objective = at(500 * ms) })
		wait(c, p, 4, nil)
		assertNext(c, p, at(ms), []uint64{1, 2}, 4, 3)
	})
	t.Run("one that is late goes after one that can be on time", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		wait(c, p, 3, func(r *slots.Request) { r.Objective = at(10 * ms) })
		wait(c, p, 4, func(r *slots.Request) { r.Objective = at(900 * ms) })
		assertNext(c, p, at(20*ms), []uint64{1, 2}, 4, 3)
	})
	t.Run("one that has waited for half of its deadline goes first", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		wait(c, p, 3, func(r *slots.Request) { r.Priority, r.Objective = 5, at(10*ms) })
		urgent := request(4, at(700*ms))
		assertKind(c, p.Request(urgent, at(700*ms)), slots.Waiting)
		assertNext(c, p, at(751*ms), []uint64{1, 2}, 3, 4)
	})
	t.Run("but not one that has waited for less", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		wait(c, p, 3, func(r *slots.Request) { r.Priority, r.Objective = 5, at(10*ms) })
		assertKind(c, p.Request(request(4, at(700*ms)), at(700*ms)), slots.Waiting)
		assertNext(c, p, at(749*ms), []uint64{1, 2}, 4, 3)
	})
}

// Guards against requests that wait in vain, and against retries that come all at once.
func TestRefusal(t *testing.T) {
	t.Run("at once if no target is eligible", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(slots.Target{Hash: 7, Slots: 4})
		got := p.Request(request(1, start), start)
		assertKind(c, got, slots.Refused)
		c.Assert(got.RetryAfter >= time.Second && got.RetryAfter < 2*time.Second, qt.IsTrue, qt.Commentf("%v", got.RetryAfter))
	})
	t.Run("at once if all eligible targets are excluded", func(t *testing.T) {
		c := qt.New(t)
		r := request(1, start)
		r.Excluded = []uint64{7}
		assertKind(c, newPool(target(7, 4)).Request(r, start), slots.Refused)
	})
	t.Run("at once if the deadline is too close", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		r := request(3, start)
		r.Deadline = at(60 * ms)
		assertKind(c, p.Request(r, start), slots.Refused)
	})
	t.Run("of what waits when the targets leave", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		p.Request(request(3, start), start)
		got := p.SetTargets(nil, at(ms))
		c.Assert(got, qt.HasLen, 1)
		assertKind(c, got[0], slots.Refused)
	})
	t.Run("of what waits when too little of its deadline is left", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		r := request(3, start)
		r.Deadline = at(600 * ms)
		assertKind(c, p.Request(r, start), slots.Waiting)
		got := p.Expire(at(590 * ms))
		c.Assert(got, qt.HasLen, 1)
		assertKind(c, got[0], slots.Refused)
	})
	t.Run("names times that are spread and the same for a repeated request", func(t *testing.T) {
		c := qt.New(t)
		times := make(map[time.Duration]bool)
		for serial := range uint64(100) {
			a, b := newPool().Request(request(serial, start), start), newPool().Request(request(serial, start), start)
			c.Assert(a, qt.Equals, b)
			times[a.RetryAfter.Round(10*ms)] = true
		}
		c.Assert(len(times) > 50, qt.IsTrue, qt.Commentf("%d different times", len(times)))
	})
	t.Run("at the capacity, of the least urgent of the workspace with the most waiting", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c, slots.WithCapacity(3))
		for serial, r := range map[uint64]slots.Request{
			3: {Workspace: 1, Priority: 0}, 4: {Workspace: 1, Priority: 1}, 5: {Workspace: 2, Priority: 2},
		} {
			r.Key, r.Objective, r.Deadline = key(serial), at(time.Second), at(10*time.Second)
			assertKind(c, p.Request(r, start), slots.Waiting)
		}
		r := request(6, start)
		r.Workspace, r.Objective, r.Deadline = 3, at(time.Second), at(10*time.Second)
		assertKind(c, p.Request(r, start), slots.Waiting)
		got := p.Expire(start)
		c.Assert(got, qt.HasLen, 1)
		c.Assert(got[0].Key, qt.Equals, key(4))
		assertKind(c, got[0], slots.Refused)
		c.Assert(p.Request(request(4, start), start), qt.Equals, got[0])
	})
}

// Guards against places that stay occupied without a call, or are free with one.
func TestLeases(t *testing.T) {
	t.Run("end at the deadline", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		r := request(3, at(1400*ms))
		p.Request(r, at(1400*ms))
		c.Assert(p.Expire(at(1499*ms)), qt.HasLen, 0)
		c.Assert(p.Expire(at(1500*ms)), qt.DeepEquals, []slots.Reply{{Key: key(3), Kind: slots.Granted, Target: 7}})
		c.Assert(p.Summary(at(1500*ms)).InFlight, qt.Equals, 1)
	})
	t.Run("that have ended are not released again", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		p.Expire(at(1500 * ms))
		p.Release(key(1), success, at(1501*ms))
		p.Release(key(1), success, at(1502*ms))
		c.Assert(p.Summary(at(1502*ms)).InFlight, qt.Equals, 0)
	})
	t.Run("that are cancelled free their place", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		p.Request(request(3, start), start)
		c.Assert(p.Cancel(key(1), at(ms)), qt.DeepEquals, []slots.Reply{{Key: key(3), Kind: slots.Granted, Target: 7}})
	})
	t.Run("of a target that leaves and comes back still occupy its places", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		p.SetTargets(nil, at(ms))
		p.SetTargets([]slots.Target{target(7, 1)}, at(2*ms))
		assertKind(c, p.Request(request(3, at(2*ms)), at(2*ms)), slots.Waiting)
	})
	t.Run("whose release is lost free their place when the target states fewer calls", func(t *testing.T) {
		c := qt.New(t)
		p, now := newPool(target(7, 2)), start
		p.Request(request(1000, now), now)
		for serial := range uint64(20) {
			now = now.Add(30 * ms)
			assertKind(c, p.Request(request(serial, now), now), slots.Granted)
			p.Release(key(serial), slots.Result{Took: 30 * ms, Succeeded: true, HasLoad: true}, now.Add(30*ms))
			now = now.Add(30 * ms)
		}
		got := p.Summary(now).Targets[0]
		c.Assert([]int{got.InFlight, got.Lost}, qt.DeepEquals, []int{0, 1})
		c.Assert(p.Request(request(1000, now), now).Target, qt.Equals, uint64(7))
	})
	t.Run("whose release is lost free their place also if the target counts the answered call", func(t *testing.T) {
		c := qt.New(t)
		p, now := newPool(target(7, 2)), start
		lost := request(1000, now)
		lost.Deadline = at(time.Minute)
		p.Request(lost, now)
		for serial := range uint64(120) {
			p.Request(request(serial, now), now)
			now = now.Add(30 * ms)
			p.Release(key(serial), slots.Result{Took: 30 * ms, Succeeded: true, HasLoad: true, Running: 1}, now)
		}
		got := p.Summary(now).Targets[0]
		c.Assert([]int{got.InFlight, got.Lost}, qt.DeepEquals, []int{0, 1})
	})
	t.Run("of calls that the target states, if only in some answers, remain", func(t *testing.T) {
		c := qt.New(t)
		p, now := newPool(target(7, 2)), start
		p.Request(request(1000, now), now)
		for serial := range uint64(20) {
			now = now.Add(30 * ms)
			p.Request(request(serial, now), now)
			r := slots.Result{Took: 30 * ms, Succeeded: true, HasLoad: true, Running: int((serial + 1) % 2)}
			p.Release(key(serial), r, now.Add(30*ms))
			now = now.Add(30 * ms)
		}
		c.Assert(p.Summary(now).Targets[0].InFlight, qt.Equals, 1)
	})
	t.Run("of calls that may just be on their way remain", func(t *testing.T) {
		c := qt.New(t)
		p, now := newPool(target(7, 6)), start
		p.Request(request(0, now), now)
		p.Request(request(1, now), now)
		for serial := range uint64(100) {
			now = now.Add(10 * ms)
			p.Request(request(serial+2, now), now)
			p.Release(key(serial), slots.Result{Took: 20 * ms, Succeeded: true, HasLoad: true}, now)
			c.Assert(p.Summary(now).Targets[0].Lost, qt.Equals, 0)
		}
	})
}
