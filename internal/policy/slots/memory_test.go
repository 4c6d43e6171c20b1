package slots

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against memory that grows with the number of calls.
func TestMemory(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	t.Run("forgets the oldest at its limit", func(t *testing.T) {
		c := qt.New(t)
		m := newMemory[int, int](100, time.Second)
		for i := range 10_000 {
			m.add(i, i, start)
		}
		c.Assert(m.values, qt.HasLen, 100)
		c.Assert(len(m.order) <= 300, qt.IsTrue, qt.Commentf("%d", len(m.order)))
		_, ok := m.get(9_900)
		c.Assert(ok, qt.IsTrue)
		_, ok = m.get(9_899)
		c.Assert(ok, qt.IsFalse)
	})
	t.Run("forgets what is old", func(t *testing.T) {
		c := qt.New(t)
		m := newMemory[int, int](100, time.Second)
		m.add(1, 1, start)
		m.add(2, 2, start.Add(500*time.Millisecond))
		m.expire(start.Add(1200 * time.Millisecond))
		c.Assert(m.values, qt.DeepEquals, map[int]int{2: 2})
	})
	t.Run("keeps the first value of a key", func(t *testing.T) {
		c := qt.New(t)
		m := newMemory[int, int](100, time.Second)
		m.add(1, 1, start)
		m.add(1, 2, start)
		v, _ := m.get(1)
		c.Assert(v, qt.Equals, 1)
	})
	t.Run("of workspaces is bounded", func(t *testing.T) {
		c := qt.New(t)
		u := newUsage()
		for i := range uint64(20_000) {
			u.recordGrant(i, start.Add(time.Duration(i)*time.Millisecond))
		}
		c.Assert(len(u.workspaces) <= maxWorkspaces, qt.IsTrue)
		c.Assert(u.grants(19_999, start.Add(19_999*time.Millisecond)), qt.Equals, 1)
	})
	t.Run("of replies is bounded", func(t *testing.T) {
		c := qt.New(t)
		p := NewPool(WithCapacity(1))
		p.SetTargets([]Target{{Hash: 1, Slots: 1, IsEligible: true}}, start)
		for i := range uint64(3 * maxReplies) {
			// Each request is more urgent than the one that waits, which is refused.
			p.Request(Request{
				Key: Key{Serial: i}, Priority: int(4*maxReplies - i),
				Objective: start.Add(time.Second), Deadline: start.Add(time.Minute),
			}, start)
		}
		c.Assert(len(p.waiting), qt.Equals, 1)
		c.Assert(len(p.replies) <= maxReplies, qt.IsTrue)
	})
}
