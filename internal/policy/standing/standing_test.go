package standing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/standing"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func targets(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

func newBook() *standing.Book { return standing.NewBook(func(standing.Change) {}) }

func aside(b *standing.Book, all []uint64, now time.Time) int {
	n := 0
	for _, s := range b.Summaries(all, now) {
		if s.Aside {
			n++
		}
	}
	return n
}

// share makes every router tell every other one its loads.
func share(books []*standing.Book, all []uint64, now time.Time) {
	for i, from := range books {
		for j, to := range books {
			if i != j {
				to.Report(string(rune('a'+i)), from.Loads(now), len(all), now)
			}
		}
	}
}

// Pattern: one target fails part of its requests while its health is good.
// Six routers each see a sixth of its calls; together they find it.
func TestAFailingTargetIsFoundByTheFleet(t *testing.T) {
	c := qt.New(t)
	all := targets(18)
	books := make([]*standing.Book, 6)
	for i := range books {
		books[i] = newBook()
	}
	now := start
	for i, b := range books {
		for _, target := range all {
			b.Begin(target, 0, now).End()
			b.Succeeded(target, now)
		}
		if i < 4 {
			b.Failed(all[3], now)
		}
	}
	share(books, all, now)
	for _, b := range books {
		c.Assert(b.Summaries(all, now)[3].Aside, qt.IsTrue)
		c.Assert(aside(b, all, now), qt.Equals, 1)
	}
}

// Pattern: all targets of a service fail many requests alike. Setting some
// aside would only move prompts away from where they are cached.
func TestFailuresThatAllTargetsShareSetNoneAside(t *testing.T) {
	c := qt.New(t)
	all := targets(18)
	b := newBook()
	now := start
	for round := range 40 {
		now = now.Add(25 * time.Millisecond)
		for i, target := range all {
			if (i+round)%2 == 0 {
				b.Failed(target, now)
			} else {
				b.Succeeded(target, now)
			}
		}
	}
	c.Assert(aside(b, all, now), qt.Equals, 0)
}

func TestASingleFailureSetsNoTargetAside(t *testing.T) {
	c := qt.New(t)
	all := targets(4)
	b := newBook()
	b.Failed(all[0], start)
	c.Assert(aside(b, all, start), qt.Equals, 0)
}

func TestAFailingTargetComesBack(t *testing.T) {
	c := qt.New(t)
	all := targets(4)
	b := newBook()
	for range 3 {
		b.Failed(all[0], start)
	}
	c.Assert(aside(b, all, start), qt.Equals, 1)
	c.Assert(aside(b, all, start.Add(3*time.Second)), qt.Equals, 0)
}

func TestUnreachableTargets(t *testing.T) {
	all := targets(10)
	t.Run("are set aside for longer each time", func(t *testing.T) {
		c := qt.New(t)
		b := newBook()
		b.Unreachable(all[0], start)
		c.Assert(aside(b, all, start.Add(900*time.Millisecond)), qt.Equals, 1)
		c.Assert(aside(b, all, start.Add(1100*time.Millisecond)), qt.Equals, 0)
		b.Unreachable(all[0], start.Add(1100*time.Millisecond))
		c.Assert(aside(b, all, start.Add(2900*time.Millisecond)), qt.Equals, 1)
	})
	t.Run("are avoided by routers that have no call there", func(t *testing.T) {
		c := qt.New(t)
		cut, other := newBook(), newBook()
		cut.Unreachable(all[0], start)
		other.Report("cut", cut.Loads(start), len(all), start)
		c.Assert(aside(other, all, start), qt.Equals, 1)
	})
	t.Run("are used by a router that they answer", func(t *testing.T) {
		c := qt.New(t)
		cut, other := newBook(), newBook()
		cut.Unreachable(all[0], start)
		other.Succeeded(all[0], start)
		other.Report("cut", cut.Loads(start), len(all), start)
		c.Assert(aside(other, all, start), qt.Equals, 0)
	})
	t.Run("of a router that reaches few targets are its own trouble", func(t *testing.T) {
		c := qt.New(t)
		cut, other := newBook(), newBook()
		for _, target := range all[:6] {
			cut.Unreachable(target, start)
		}
		other.Report("cut", cut.Loads(start), len(all), start)
		c.Assert(aside(other, all, start), qt.Equals, 0)
	})
}

func TestLoadsOfOtherRouters(t *testing.T) {
	all := targets(3)
	t.Run("are added", func(t *testing.T) {
		c := qt.New(t)
		b, other := newBook(), newBook()
		b.Begin(all[0], 500, start)
		other.Begin(all[0], 900, start)
		b.Report("other", other.Loads(start), len(all), start)
		c.Assert(b.Summaries(all, start)[0], qt.Equals, standing.Summary{Calls: 2, Unread: 1400})
	})
	t.Run("are forgotten when they are old", func(t *testing.T) {
		c := qt.New(t)
		b := newBook()
		b.Report("other", []standing.Load{{Target: all[0], Calls: 5}}, len(all), start)
		c.Assert(b.Summaries(all, start.Add(2*time.Second))[0].Calls, qt.Equals, 0)
	})
	t.Run("hold prompts told of since, until the next report", func(t *testing.T) {
		c := qt.New(t)
		b := newBook()
		b.Report("other", nil, len(all), start)
		b.Expect("other", all[0], 8600)
		c.Assert(b.Summaries(all, start)[0].Unread, qt.Equals, 8600)
		b.Report("other", []standing.Load{{Target: all[0], Calls: 1, Unread: 8000}}, len(all), start)
		c.Assert(b.Summaries(all, start)[0].Unread, qt.Equals, 8000)
	})
}

func TestTickets(t *testing.T) {
	all := targets(1)
	t.Run("the first sign means that the prompt has been read", func(t *testing.T) {
		c := qt.New(t)
		b := newBook()
		ticket := b.Begin(all[0], 500, start)
		ticket.Sign(start)
		c.Assert(b.Summaries(all, start)[0], qt.Equals, standing.Summary{Calls: 1})
		ticket.End()
		ticket.End()
		c.Assert(b.Summaries(all, start)[0], qt.Equals, standing.Summary{})
	})
	t.Run("a target with calls that says nothing is silent", func(t *testing.T) {
		c := qt.New(t)
		b := newBook()
		ticket := b.Begin(all[0], 0, start)
		c.Assert(b.Silent(all[0], start.Add(time.Second)), qt.Equals, time.Second)
		ticket.Sign(start.Add(time.Second))
		c.Assert(b.Silent(all[0], start.Add(time.Second)), qt.Equals, time.Duration(0))
		b.Awake(start.Add(5 * time.Second))
		c.Assert(b.Silent(all[0], start.Add(5*time.Second)), qt.Equals, time.Duration(0))
	})
	t.Run("an idle target is not", func(t *testing.T) {
		b := newBook()
		b.Begin(all[0], 0, start).End()
		qt.Assert(t, b.Silent(all[0], start.Add(time.Minute)), qt.Equals, time.Duration(0))
	})
	t.Run("only calls without a sign are overdue", func(t *testing.T) {
		c := qt.New(t)
		b := newBook()
		late, signed := b.Begin(all[0], 0, start), b.Begin(all[0], 0, start)
		signed.Sign(start)
		late.Overdue(start)
		signed.Overdue(start)
		c.Assert(b.Loads(start)[0].Failures, qt.Equals, 1.0)
	})
}
