package slots

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against memory that grows with the number of calls.
func TestMemory(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	t.Run("displaces the oldest at its limit", func(t *testing.T) {
		c := qt.New(t)
		m := newMemory[int, int](100)
		for i := range 10_050 {
			m.add(i, i)
		}
		c.Assert(m.values, qt.HasLen, 100)
		c.Assert(m.order, qt.HasLen, 100)
		_, ok := m.get(9_950)
		c.Assert(ok, qt.IsTrue)
		_, ok = m.get(9_949)
		c.Assert(ok, qt.IsFalse)
	})
	t.Run("keeps the first value of a key", func(t *testing.T) {
		c := qt.New(t)
		m := newMemory[int, int](100)
		m.add(1, 1)
		m.add(1, 2)
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
	t.Run("of ended and refused requests is bounded", func(t *testing.T) {
		c := qt.New(t)
		p := NewPool(WithRemembered(10))
		for i := range uint64(100) {
			p.Cancel(Key{Serial: i}, start)
			p.Request(Request{Key: Key{Serial: 1000 + i}, Deadline: start.Add(time.Second)}, start)
		}
		c.Assert(p.ended.values, qt.HasLen, 10)
		c.Assert(p.refused.values, qt.HasLen, 10)
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
