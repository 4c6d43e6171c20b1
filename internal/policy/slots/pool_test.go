package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/slots"
	"hickoryrock/internal/testing/seed"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{}) }

// request returns a request with an objective of 150 ms and a deadline of 1.5 s.
func request(serial uint64, now time.Time) slots.Request {
	return slots.Request{
		Key: slots.Key{Process: 1, Serial: serial}, Workspace: 1,
		Objective: now.Add(150 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
	}
}

func newPool(targets ...slots.Target) *slots.Pool {
	p := slots.NewPool()
	p.SetTargets(targets, start)
	return p
}

func plainTarget(hash uint64, n int) slots.Target {
	return slots.Target{Hash: hash, Slots: n, IsEligible: true}
}

// Guards against a place that stays unused while a request waits.
func TestReleaseGrantsToWaiting(t *testing.T) {
	c := qt.New(t)
	p := newPool(plainTarget(7, 1))
	for serial := range uint64(2) {
		c.Assert(p.Request(request(serial, start), start).Kind, qt.Equals, slots.Granted)
	}
	c.Assert(p.Request(request(2, start), start).Kind, qt.Equals, slots.Waiting)
	got := p.Release(slots.Key{Process: 1}, slots.Result{Took: time.Millisecond, Succeeded: true}, start.Add(time.Millisecond))
	c.Assert(got, qt.DeepEquals, []slots.Reply{{Key: slots.Key{Process: 1, Serial: 2}, Kind: slots.Granted, Target: 7}})
}
