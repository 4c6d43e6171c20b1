package placement

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

const largeFleetTargets = 5400

func targets(n int) []Target {
	ts := make([]Target, n)
	for i := range ts {
		ts[i] = Target{
			Name:          fmt.Sprintf("engine-%04d", i),
			FailureDomain: fmt.Sprintf("domain-%d", i%6),
			Weight:        []float64{1, 1, 2}[i%3],
		}
	}
	return ts
}

func order(s *Set, key uint64) []string {
	var names []string
	o := s.Order(key)
	for t, ok := o.Next(); ok; t, ok = o.Next() {
		names = append(names, t.Name)
	}
	return names
}

func without(names []string, name string) []string {
	var rest []string
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}

func TestOrder(t *testing.T) {
	t.Run("visits each target once, the best first", func(t *testing.T) {
		c := qt.New(t)
		s := NewSet(targets(100))
		names := order(s, Key("chat"))
		best, ok := s.Best(Key("chat"))
		c.Assert(ok, qt.IsTrue)
		c.Assert(names[0], qt.Equals, best.Name)
		seen := map[string]bool{}
		for _, n := range names {
			seen[n] = true
		}
		c.Assert(seen, qt.HasLen, 100)
		c.Assert(names, qt.HasLen, 100)
	})
	t.Run("removing a target keeps the order of the others", func(t *testing.T) {
		c := qt.New(t)
		ts := targets(50)
		all, fewer := NewSet(ts), NewSet(ts[1:])
		for i := range 200 {
			key := Key(fmt.Sprint("chat-", i))
			c.Assert(order(fewer, key), qt.DeepEquals, without(order(all, key), ts[0].Name))
		}
	})
	t.Run("an empty set has no best", func(t *testing.T) {
		_, ok := NewSet(nil).Best(1)
		qt.New(t).Assert(ok, qt.IsFalse)
	})
	t.Run("chats are in proportion to weights", func(t *testing.T) {
		const chats = 200_000
		s := NewSet(targets(30))
		counts := map[string]float64{}
		for i := range chats {
			best, _ := s.Best(Key(fmt.Sprint("chat-", i)))
			counts[best.Name]++
		}
		for _, target := range targets(30) {
			want := chats * target.Weight / 40
			// Five standard deviations of the count.
			qt.New(t).Check(math.Abs(counts[target.Name]-want) < 5*math.Sqrt(want), qt.IsTrue,
				qt.Commentf("%s: %v, want about %v", target.Name, counts[target.Name], want))
		}
	})
}

// TestSpill checks that the chats of one full target spread over all others in
// proportion to their weights.
func TestSpill(t *testing.T) {
	const chats = 400_000
	s := NewSet(targets(30))
	counts, homeCounts := map[string]map[string]float64{}, map[string]float64{}
	for i := range chats {
		o := s.Order(Key(fmt.Sprint("chat-", i)))
		home, _ := o.Next()
		second, _ := o.Next()
		if counts[home.Name] == nil {
			counts[home.Name] = map[string]float64{}
		}
		counts[home.Name][second.Name]++
		homeCounts[home.Name]++
	}
	for _, home := range targets(30) {
		for _, second := range targets(30) {
			if home.Name == second.Name {
				continue
			}
			want := homeCounts[home.Name] * second.Weight / (40 - home.Weight)
			got := counts[home.Name][second.Name]
			// Six standard deviations, as there are 870 pairs.
			qt.New(t).Check(math.Abs(got-want) < 6*math.Sqrt(want), qt.IsTrue,
				qt.Commentf("%s to %s: %v, want about %v", home.Name, second.Name, got, want))
		}
	}
}

func TestOwner(t *testing.T) {
	routers := []Router{{"r1", "a"}, {"r2", "a"}, {"r3", "b"}}
	t.Run("prefers a router in the failure domain", func(t *testing.T) {
		r, ok := Owner(Target{Name: "t", FailureDomain: "b"}, routers)
		qt.New(t).Assert(ok, qt.IsTrue)
		qt.New(t).Assert(r.Name, qt.Equals, "r3")
	})
	t.Run("uses another domain if its own has no router", func(t *testing.T) {
		_, ok := Owner(Target{Name: "t", FailureDomain: "c"}, routers)
		qt.New(t).Assert(ok, qt.IsTrue)
	})
	t.Run("returns false without routers", func(t *testing.T) {
		_, ok := Owner(Target{Name: "t"}, nil)
		qt.New(t).Assert(ok, qt.IsFalse)
	})
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{20, 1800, largeFleetTargets} {
		s := NewSet(targets(n))
		b.Run(fmt.Sprint("best/", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				s.Best(uint64(i) * multiplier)
			}
		})
		b.Run(fmt.Sprint("first-three/", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				o := s.Order(uint64(i) * multiplier)
				for range 3 {
					o.Next()
				}
			}
		})
	}
}
