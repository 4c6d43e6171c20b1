package slots_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/slots"
)

// assertPlaces asserts how many calls a pool's first target may have at a time.
func assertPlaces(c *qt.C, p *slots.Pool, now time.Time, want int) {
	c.Helper()
	c.Assert(p.Summary(now).Targets[0].Places, qt.Equals, want)
}

// playCalls makes a pool serve a call every 5 ms; answer returns how each target answers and
// after what time. It returns the number of calls that each target got.
func playCalls(p *slots.Pool, from time.Time, calls int, answer func(target uint64) slots.Result) map[uint64]int {
	type release struct {
		slots.Key
		slots.Result
		at time.Time
	}
	got := make(map[uint64]int)
	var releases []release
	releaseUntil := func(now time.Time) {
		slices.SortStableFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
		for len(releases) > 0 && !releases[0].at.After(now) {
			p.Release(releases[0].Key, releases[0].Result, releases[0].at)
			releases = releases[1:]
		}
	}
	for i := range calls {
		now := from.Add(time.Duration(i) * 5 * ms)
		releaseUntil(now)
		r := request(uint64(from.Sub(start))+uint64(i), now)
		if reply := p.Request(r, now); reply.Kind == slots.Granted {
			got[reply.Target]++
			result := answer(reply.Target)
			releases = append(releases, release{r.Key, result, now.Add(result.Took)})
		}
	}
	releaseUntil(from.Add(time.Hour))
	return got
}

// Guards against more calls at a target than it can take: a started one, one that others
// use too, one that refuses.
func TestPlaces(t *testing.T) {
	t.Run("are the slots and one", func(t *testing.T) {
		c := qt.New(t)
		assertPlaces(c, newPool(target(7, 6)), start, 7)
	})
	t.Run("are the window of a target that has started", func(t *testing.T) {
		c := qt.New(t)
		assertPlaces(c, newPool(slots.Target{Hash: 7, Slots: 6, Window: 2, IsEligible: true}), start, 2)
	})
	t.Run("are not more than the slots and one with a larger window", func(t *testing.T) {
		c := qt.New(t)
		assertPlaces(c, newPool(slots.Target{Hash: 7, Slots: 6, Window: 20, IsEligible: true}), start, 7)
	})
	t.Run("are none at a target that is not eligible", func(t *testing.T) {
		c := qt.New(t)
		assertPlaces(c, newPool(slots.Target{Hash: 7, Slots: 6}), start, 0)
	})
	t.Run("become free with a new target", func(t *testing.T) {
		c := qt.New(t)
		p := newFullPool(c)
		p.Request(request(3, start), start)
		got := p.SetTargets([]slots.Target{target(7, 1), target(8, 1)}, at(ms))
		c.Assert(got, qt.DeepEquals, []slots.Reply{{Key: key(3), Kind: slots.Granted, Target: 8}})
	})
	t.Run("are fewer by the calls of others, which fades within half a second", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 6))
		p.Request(request(1, start), start)
		p.Release(key(1), slots.Result{Took: 30 * ms, Succeeded: true, HasLoad: true, Running: 4, Queued: 1}, at(30*ms))
		assertPlaces(c, p, at(30*ms), 3)
		assertPlaces(c, p, at(280*ms), 5)
		assertPlaces(c, p, at(530*ms), 7)
	})
	t.Run("become free as knowledge of others fades", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 1))
		p.Request(request(1, start), start)
		p.Release(key(1), slots.Result{Took: 30 * ms, Succeeded: true, HasLoad: true, Running: 5}, at(30*ms))
		assertKind(c, p.Request(request(2, at(31*ms)), at(31*ms)), slots.Waiting)
		c.Assert(p.Expire(at(500*ms)), qt.DeepEquals, []slots.Reply{{Key: key(2), Kind: slots.Granted, Target: 7}})
	})
	t.Run("are half after a refusal, and are back soon", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 6))
		p.Request(request(1, start), start)
		p.Release(key(1), slots.Result{Refused: true}, at(2*ms))
		assertPlaces(c, p, at(2*ms), 3)
		assertPlaces(c, p, at(102*ms), 5)
		assertPlaces(c, p, at(202*ms), 7)
	})
	t.Run("are halved once by refusals with one cause", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 6))
		for serial := range uint64(4) {
			p.Request(request(serial, start), start)
		}
		for serial := range uint64(4) {
			p.Release(key(serial), slots.Result{Refused: true}, at(2*ms))
		}
		assertPlaces(c, p, at(2*ms), 3)
	})
	t.Run("are back earlier with each success", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 6))
		for serial := range uint64(3) {
			p.Request(request(serial, start), start)
		}
		p.Release(key(0), slots.Result{Refused: true}, at(2*ms))
		p.Release(key(1), success, at(3*ms))
		p.Release(key(2), success, at(3*ms))
		assertPlaces(c, p, at(3*ms), 5)
	})
	t.Run("of a target that refuses all are few", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 6), target(8, 6))
		got := playCalls(p, start, 400, func(target uint64) slots.Result {
			if target == 7 {
				return slots.Result{Refused: true}
			}
			return success
		})
		c.Assert(got[7] < 20 && got[8] > 300, qt.IsTrue, qt.Commentf("%v", got))
	})
}

// Guards against calls that go to a slow target while others are free, and to a failing one
// because it seems fast or idle.
func TestChoice(t *testing.T) {
	t.Run("alternates among equal targets", func(t *testing.T) {
		c := qt.New(t)
		got := playCalls(newPool(target(7, 6), target(8, 6), target(9, 6)), start, 300, func(uint64) slots.Result { return success })
		for hash, calls := range got {
			c.Assert(calls >= 90 && calls <= 110, qt.IsTrue, qt.Commentf("target %d: %d", hash, calls))
		}
	})
	t.Run("alternates among equal targets when there is one call at a time", func(t *testing.T) {
		c := qt.New(t)
		got := playCalls(newPool(target(7, 6), target(8, 6), target(9, 6)), start, 30, func(uint64) slots.Result {
			return slots.Result{Took: 5 * ms, Succeeded: true}
		})
		c.Assert(got, qt.DeepEquals, map[uint64]int{7: 10, 8: 10, 9: 10})
	})
	t.Run("prefers a busier target to one that is slower than its load makes up for", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 6), target(8, 6), target(9, 6))
		playCalls(p, start, 400, func(target uint64) slots.Result {
			if target == 7 {
				return slots.Result{Took: 180 * ms, Succeeded: true}
			}
			return success
		})
		now := at(2 * time.Second)
		for serial := range uint64(6) {
			assertKind(c, p.Request(request(1_000_000+serial, now), now), slots.Granted)
		}
		idle := p.Summary(now).Targets[0]
		c.Assert(idle.Slowness > 2, qt.IsTrue, qt.Commentf("%+v", idle))
		c.Assert(idle.InFlight <= 1, qt.IsTrue, qt.Commentf("%+v", p.Summary(now)))
	})
	t.Run("follows the slots", func(t *testing.T) {
		c := qt.New(t)
		got := playCalls(newPool(target(7, 12), target(8, 4)), start, 400, func(uint64) slots.Result { return success })
		// With 6 calls in flight, 5 at the one and 1 at the other use the same part of the slots.
		c.Assert(got[7] > 2*got[8] && got[7] < 6*got[8], qt.IsTrue, qt.Commentf("%v", got))
	})
	t.Run("gives a target that is six times as slow far less", func(t *testing.T) {
		c := qt.New(t)
		got := playCalls(newPool(target(7, 6), target(8, 6), target(9, 6)), start, 600, func(target uint64) slots.Result {
			if target == 7 {
				return slots.Result{Took: 180 * ms, Succeeded: true}
			}
			return success
		})
		c.Assert(got[7] < 60, qt.IsTrue, qt.Commentf("%v", got))
	})
	t.Run("gives a target that has recovered its share again", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 6), target(8, 6))
		playCalls(p, start, 400, func(target uint64) slots.Result {
			if target == 7 {
				return slots.Result{Took: 180 * ms, Succeeded: true}
			}
			return success
		})
		playCalls(p, at(3*time.Second), 400, func(uint64) slots.Result { return success })
		got := playCalls(p, at(6*time.Second), 400, func(uint64) slots.Result { return success })
		c.Assert(got[7] > 150, qt.IsTrue, qt.Commentf("%v", got))
	})
	t.Run("takes longer calls of one kind for no slowness", func(t *testing.T) {
		c := qt.New(t)
		p, now := newPool(target(7, 6), target(8, 6)), start
		for i := range uint64(200) {
			now = now.Add(100 * ms)
			long, short := request(2*i, now), request(2*i+1, now)
			long.Priority, long.Excluded, short.Excluded = 2, []uint64{8}, []uint64{7}
			p.Request(long, now)
			p.Request(short, now)
			p.Release(short.Key, success, now.Add(30*ms))
			p.Release(long.Key, slots.Result{Took: 90 * ms, Succeeded: true}, now.Add(90*ms))
		}
		s := p.Summary(now.Add(90 * ms)).Targets
		c.Assert(s[0].Slowness < 1.1 && s[1].Slowness > 0.9, qt.IsTrue, qt.Commentf("%+v", s))
	})
	t.Run("gives a target whose calls fail at once no more than its part", func(t *testing.T) {
		c := qt.New(t)
		p := newPool(target(7, 6), target(8, 6), target(9, 6))
		answer := func(target uint64) slots.Result {
			if target == 7 {
				return slots.Result{Took: ms}
			}
			return success
		}
		playCalls(p, start, 100, answer)
		got := playCalls(p, at(time.Second), 600, answer)
		c.Assert(got[7] <= 200, qt.IsTrue, qt.Commentf("%v", got))
		c.Assert(p.Summary(at(4 * time.Second)).Targets[0].Slowness, qt.Equals, 1.0)
	})
}
