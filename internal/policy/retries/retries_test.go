package retries

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/testing/seed"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	seed.Main(m, seed.Settings{Seed: 20263, Checks: 500})
}

// assertAllowed checks how many retries are allowed at once.
func assertAllowed(t *testing.T, b *Budgets, now time.Time, want int) {
	t.Helper()
	allowed := 0
	for b.Retry(now, "workspace", "service") == Allowed {
		allowed++
	}
	qt.New(t).Assert(allowed, qt.Equals, want)
}

func TestRetry(t *testing.T) {
	t.Run("a fraction of requests", func(t *testing.T) {
		b := NewBudgets(WithFraction(0.25), WithFloor(0), WithBurst(5))
		assertAllowed(t, b, start, 5)
		for range 8 {
			b.Request(start, "workspace", "service")
		}
		assertAllowed(t, b, start, 2)
	})
	t.Run("a minimum per second", func(t *testing.T) {
		b := NewBudgets(WithFloor(0.5), WithBurst(3))
		assertAllowed(t, b, start, 3)
		assertAllowed(t, b, start.Add(4*time.Second), 2)
	})
	t.Run("a spent service budget takes nothing from the workspace", func(t *testing.T) {
		b := NewBudgets(WithFraction(1), WithFloor(0), WithBurst(1))
		qt.New(t).Assert(b.Retry(start, "other", "service"), qt.Equals, Allowed)
		qt.New(t).Assert(b.Retry(start, "workspace", "service"), qt.Equals, ServiceSpent)
		qt.New(t).Assert(b.Retry(start, "workspace", "second"), qt.Equals, Allowed)
		qt.New(t).Assert(b.Count(ServiceSpent), qt.Equals, uint64(1))
	})
}

// TestRetriesBounded checks that the retries from any one budget stay within
// the sum of the fraction of requests, the floor and the burst.
func TestRetriesBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudgets(WithFraction(0.2), WithFloor(1), WithBurst(4))
		now, requests, retries := start, map[string]float64{}, map[string]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			workspace := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
			service := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service")
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.Request(now, workspace, service)
				requests[workspace]++
				requests[service]++
			} else if b.Retry(now, workspace, service) == Allowed {
				retries[workspace]++
				retries[service]++
			}
			for name, n := range retries {
				if limit := 4 + 0.2*requests[name] + now.Sub(start).Seconds(); n > limit+1e-9 {
					t.Fatalf("%s: %v retries, at most %v", name, n, limit)
				}
			}
		}
	})
}

// Guards against a fleet whose routers together exceed its retry budget: each
// router knows how many share the budget and takes its part of the burst.
func TestRoutersStayWithinFleetBudget(t *testing.T) {
	const (
		routers  = 87
		slack    = 214.0
		ratio    = 0.2
		requests = 40
	)
	now := time.Unix(0, 0)
	total := 0
	for range routers {
		b := NewBudgets(WithFraction(ratio), WithFloor(0))
		b.SetBurst(slack / routers)
		for range requests {
			b.Request(now, "", "s")
			for b.Retry(now, "", "s") == Allowed {
				total++
			}
		}
	}
	if limit := ratio*requests*routers + slack; float64(total) > limit {
		t.Fatalf("%d retries of %d requests: more than %.0f", total, requests*routers, limit)
	}
}
