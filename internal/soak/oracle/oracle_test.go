package oracle_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/oracle"
)

func TestCallsThatRunOnce(t *testing.T) {
	assertBroken := func(t *testing.T, want oracle.Promise, saw func(b *oracle.Book)) {
		t.Helper()
		b := oracle.New()
		saw(b)
		breaks, counts := b.Breaks()
		if want == "" {
			qt.Assert(t, breaks, qt.HasLen, 0)
			return
		}
		qt.Assert(t, counts[want], qt.Equals, 1)
	}
	t.Run("may run once", func(t *testing.T) {
		assertBroken(t, "", func(b *oracle.Book) { b.Ran("c", 1, "t") })
	})
	t.Run("must not run twice", func(t *testing.T) {
		assertBroken(t, oracle.Twice, func(b *oracle.Book) {
			b.Ran("c", 1, "t")
			b.Ran("c", 1, "u")
		})
	})
	t.Run("others may not run at more targets than allowed", func(t *testing.T) {
		assertBroken(t, oracle.Attempts, func(b *oracle.Book) {
			for _, target := range []string{"t", "u", "v"} {
				b.Ran("c", 2, target)
			}
		})
	})
	t.Run("others may", func(t *testing.T) {
		assertBroken(t, "", func(b *oracle.Book) {
			b.Ran("c", 2, "t")
			b.Ran("c", 2, "u")
		})
	})
	t.Run("must not have run when they are refused", func(t *testing.T) {
		assertBroken(t, oracle.Refused, func(b *oracle.Book) {
			b.Ran("c", 1, "t")
			b.Refused("c", "503")
		})
	})
	t.Run("must not run later either", func(t *testing.T) {
		assertBroken(t, oracle.Refused, func(b *oracle.Book) {
			b.Refused("c", "503")
			b.Ran("c", 1, "t")
		})
	})
}

func TestCalmBeginsWhenTheLastFaultEnds(t *testing.T) {
	c := qt.New(t)
	b := oracle.New()
	one, other := b.Trouble(), b.Trouble()
	one()
	one()
	time.Sleep(20 * time.Millisecond)
	c.Assert(b.Calm(), qt.Equals, time.Duration(0))
	other()
	time.Sleep(20 * time.Millisecond)
	c.Assert(b.Calm() >= 20*time.Millisecond, qt.IsTrue)
}

func TestRepeatsOverTheFleet(t *testing.T) {
	broken := func(calls, repeats int) int {
		b := oracle.New()
		for i := range calls {
			b.Sent()
			b.Arrived(string(rune('a' + i)))
		}
		for range repeats {
			b.Arrived("a")
		}
		_, counts := b.Breaks()
		return counts[oracle.Budget]
	}
	qt.Assert(t, broken(100, 70), qt.Equals, 0)
	qt.Assert(t, broken(100, 71), qt.Equals, 1)
}
