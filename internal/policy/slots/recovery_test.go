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
