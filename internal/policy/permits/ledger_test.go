package permits

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_000_000, 0)

// newSettledLedger returns a ledger that owns one target with no load.
func newSettledLedger(t *testing.T, b Bound) (*Ledger, time.Time) {
	t.Helper()
	l := NewLedger()
	l.SetBound("chat", b)
	now := start
	l.Confirm(now)
	epoch := l.Adopt(now, Target{Name: "engine", Service: "chat"})
	l.Receive(now, "engine", Handover{Epoch: epoch})
	return l, now
}

func permit(id string, weight uint32) Permit {
	return Permit{Holder: "router", ID: id, Weight: weight}
}

func assertVerdict(t *testing.T, l *Ledger, now time.Time, p Permit, want Verdict) {
	t.Helper()
	qt.New(t).Assert(l.Acquire(now, "engine", p), qt.Equals, want)
}

func TestAcquire(t *testing.T) {
	t.Run("only the floor without a mean", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Factor: 2, Floor: 4})
		assertVerdict(t, l, now, permit("a", 3), Granted)
		assertVerdict(t, l, now, permit("b", 2), Full)
		assertVerdict(t, l, now, permit("c", 1), Granted)
	})
	t.Run("the mean times the factor, rounded up", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Factor: 1.25, Floor: 1})
		l.SetMean(now, "chat", 5)
		assertVerdict(t, l, now, permit("a", 7), Granted)
		assertVerdict(t, l, now, permit("b", 1), Full)
	})
	t.Run("a stale mean counts as unknown", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Factor: 2, Floor: 4})
		l.SetMean(now, "chat", 100)
		now = now.Add(defaultMeanTerm + 1)
		l.Confirm(now)
		epoch := l.Adopt(now, Target{Name: "engine", Service: "chat"})
		l.Receive(now, "engine", Handover{Epoch: epoch})
		assertVerdict(t, l, now, permit("a", 5), Full)
		assertVerdict(t, l, now, permit("b", 4), Granted)
	})
	t.Run("asking again counts once", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Floor: 4})
		assertVerdict(t, l, now, permit("a", 4), Granted)
		assertVerdict(t, l, now, permit("a", 4), Granted)
		l.Release("engine", "router", "a")
		assertVerdict(t, l, now, permit("b", 4), Granted)
	})
	t.Run("requests in flight are bounded", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Floor: 100, MaxInFlight: 1})
		assertVerdict(t, l, now, permit("a", 1), Granted)
		assertVerdict(t, l, now, permit("b", 1), Full)
	})
	t.Run("a lapsed lease grants nothing and starts a new contest", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Floor: 4})
		now = now.Add(defaultLeaseTerm + 1)
		assertVerdict(t, l, now, permit("a", 1), NotOwner)
		l.Confirm(now)
		assertVerdict(t, l, now, permit("a", 1), Contested)
	})
	t.Run("load in the report that is not in the ledger counts", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Floor: 4})
		l.ReportLoad("engine", Report{Usage: Usage{Load: 3}, SampledAt: now})
		assertVerdict(t, l, now, permit("a", 2), Full)
		assertVerdict(t, l, now, permit("b", 1), Granted)
		assertVerdict(t, l, now, permit("c", 1), Full)
	})
	t.Run("a handover of an older epoch does not end the contest", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Floor: 4})
		old := l.Adopt(now, Target{Name: "engine", Service: "chat"})
		now = now.Add(defaultLeaseTerm + 1)
		l.Confirm(now)
		l.Receive(now, "engine", Handover{Epoch: old})
		assertVerdict(t, l, now, permit("a", 1), Contested)
	})
	t.Run("a ceded target goes only to the router it was ceded to", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Floor: 4})
		assertVerdict(t, l, now, permit("a", 1), Granted)
		l.Cede(now, "engine", "next")
		assertVerdict(t, l, now, permit("b", 1), NotOwner)
		_, ok := l.Handover(now, "engine", "other", 1)
		qt.New(t).Assert(ok, qt.IsFalse)
		h, ok := l.Handover(now, "engine", "next", 1)
		qt.New(t).Assert(ok, qt.IsTrue)
		qt.New(t).Assert(h.Permits, qt.DeepEquals, []Permit{permit("a", 1)})
	})
	t.Run("a handover includes load without a permit", func(t *testing.T) {
		from, now := newSettledLedger(t, Bound{Floor: 4})
		from.ReportLoad("engine", Report{Usage: Usage{Load: 4}, SampledAt: now})
		from.Cede(now, "engine", "next")
		h, ok := from.Handover(now, "engine", "next", 1)
		qt.New(t).Assert(ok, qt.IsTrue)
		to, now := newSettledLedger(t, Bound{Floor: 4})
		to.Receive(now, "engine", h)
		assertVerdict(t, to, now, permit("a", 1), Full)
	})
	t.Run("a draining target grants nothing", func(t *testing.T) {
		l, now := newSettledLedger(t, Bound{Floor: 4})
		l.Adopt(now, Target{Name: "engine", Service: "chat", Leaving: true})
		assertVerdict(t, l, now, permit("a", 1), Leaving)
	})
}

func TestForget(t *testing.T) {
	l, now := newSettledLedger(t, Bound{Floor: 4})
	assertVerdict(t, l, now, permit("a", 4), Granted)
	l.Forget("router")
	assertVerdict(t, l, now, permit("b", 1), Full)
	now = now.Add(defaultGrantTerm + 1)
	l.ReportLoad("engine", Report{SampledAt: now})
	assertVerdict(t, l, now, permit("b", 4), Granted)
}

// TestConcurrent checks the bound while several holders use one target at once.
func TestConcurrent(t *testing.T) {
	l, now := newSettledLedger(t, Bound{Floor: 10})
	var load, over atomic.Int64
	var holders sync.WaitGroup
	for h := range 4 {
		holders.Go(func() {
			for i := range 500 {
				p := Permit{Holder: fmt.Sprint(h), ID: fmt.Sprint(i), Weight: 3}
				l.Confirm(now)
				if l.Acquire(now, "engine", p) != Granted {
					continue
				}
				if load.Add(3) > 10 {
					over.Add(1)
				}
				l.Sums(now)
				load.Add(-3)
				l.Release("engine", p.Holder, p.ID)
			}
		})
	}
	holders.Wait()
	qt.New(t).Assert(over.Load(), qt.Equals, int64(0))
	qt.New(t).Assert(l.Sums(now)["chat"].Load, qt.Equals, uint64(0))
}

func BenchmarkAcquire(b *testing.B) {
	l := NewLedger()
	l.SetBound("chat", Bound{Floor: 1000})
	l.Confirm(start)
	epoch := l.Adopt(start, Target{Name: "engine", Service: "chat"})
	l.Receive(start, "engine", Handover{Epoch: epoch})
	l.ReportLoad("engine", Report{SampledAt: start})
	for i := range 20 {
		l.Acquire(start, "engine", permit(fmt.Sprint(i), 2))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Acquire(start, "engine", permit("measured", 1))
		l.Release("engine", "router", "measured")
	}
}
