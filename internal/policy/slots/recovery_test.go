package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/slots"
)

// Guards against refusals of calls that have seconds left, while targets work off the calls that
// routers sent without a grant after the loss of all routers: each target of six slots then states
// full slots and a full queue, and calls that take 60 ms take five times as long there.
func TestCallsWithoutGrantsDoNotLookLikeSlowTargets(t *testing.T) {
	const targets, perTarget = 6, 7
	now := time.Unix(1000, 0)
	pool := slots.NewPool()
	var list []slots.Target
	for hash := uint64(1); hash <= targets; hash++ {
		list = append(list, slots.Target{Hash: hash, Slots: 6, IsEligible: true})
	}
	pool.SetTargets(list, now)
	serial := uint64(0)
	request := func() (slots.Request, slots.Reply) {
		serial++
		r := slots.Request{
			Key: slots.Key{Process: 1, Serial: serial}, Workspace: serial % 8, Priority: int(serial % 3),
			Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(4 * time.Second),
		}
		return r, pool.Request(r, now)
	}
	var granted []slots.Key
	for range targets * perTarget {
		r, reply := request()
		qt.Assert(t, reply.Kind, qt.Equals, slots.Granted)
		granted = append(granted, r.Key)
	}
	refused := 0
	count := func(replies []slots.Reply) {
		for _, reply := range replies {
			if reply.Kind == slots.Refused {
				refused++
			}
		}
	}
	// 80 calls arrive while the targets are full; 36 slots run 600 calls of 60 ms a second.
	for i := range 80 {
		now = now.Add(4 * time.Millisecond)
		if _, reply := request(); reply.Kind == slots.Refused {
			refused++
		}
		if i < len(granted) && i > 60/4 {
			count(pool.Release(granted[i], slots.Result{
				Took: 300 * time.Millisecond, Succeeded: true, HasLoad: true, Running: 6, Queued: 24,
			}, now))
		}
		count(pool.Expire(now))
	}
	qt.Assert(t, refused, qt.Equals, 0)
}

// Guards against the first calls of all routers at one target: after the loss of all, each router
// coordinates for itself until it hears of the others, and all know the targets in the same order.
func TestNewPoolsSpreadTheirFirstGrants(t *testing.T) {
	const routers, targets = 125, 6
	now := time.Unix(1000, 0)
	granted := make(map[uint64]int)
	for process := uint64(1); process <= routers; process++ {
		pool := slots.NewPool()
		var list []slots.Target
		for hash := uint64(1); hash <= targets; hash++ {
			list = append(list, slots.Target{Hash: hash * 0x9e3779b97f4a7c15, Slots: 6, IsEligible: true})
		}
		pool.SetTargets(list, now)
		reply := pool.Request(slots.Request{Key: slots.Key{Process: process * 0xc2b2ae3d27d4eb4f, Serial: 1}, Deadline: now.Add(time.Second)}, now)
		qt.Assert(t, reply.Kind, qt.Equals, slots.Granted)
		granted[reply.Target]++
	}
	for target, n := range granted {
		// A target runs 6 calls and queues 24.
		qt.Assert(t, n <= 30, qt.IsTrue, qt.Commentf("%d calls at target %x", n, target))
	}
}
