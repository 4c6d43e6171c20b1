package fairness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func push(q *Queue[int], workspace string, priority, n int) (refused []string) {
	for range n {
		if i, full := q.Push(start, Item[int]{Workspace: workspace, Priority: priority, Cost: 1}); full {
			refused = append(refused, i.Workspace)
		}
	}
	return refused
}

func pop(q *Queue[int], n int) map[string]int {
	served := map[string]int{}
	for range n {
		if i, ok := q.Pop(); ok {
			served[i.Workspace]++
		}
	}
	return served
}

func TestQueue(t *testing.T) {
	t.Run("serves by priority without starving", func(t *testing.T) {
		q := NewQueue[int]()
		push(q, "low", 0, 50)
		push(q, "high", 3, 50)
		qt.New(t).Assert(pop(q, 50), qt.DeepEquals, map[string]int{"low": 10, "high": 40})
	})
	t.Run("only the workspace with the longest backlog is refused", func(t *testing.T) {
		q := NewQueue[int](WithCapacity(10))
		push(q, "surging", 0, 10)
		for _, refused := range push(q, "small", 0, 5) {
			qt.New(t).Assert(refused, qt.Equals, "surging")
		}
		qt.New(t).Assert(pop(q, 10), qt.DeepEquals, map[string]int{"surging": 5, "small": 5})
	})
	t.Run("returns items that have waited too long", func(t *testing.T) {
		q := NewQueue[int](WithMaxWait(time.Second))
		push(q, "a", 0, 3)
		qt.New(t).Assert(q.Expired(start.Add(time.Second)), qt.HasLen, 0)
		qt.New(t).Assert(q.Expired(start.Add(time.Second+1)), qt.HasLen, 3)
		qt.New(t).Assert(q.Len(), qt.Equals, 0)
	})
}

// TestQueueFairness checks that while a workspace waits for its next item to be
// served, no other workspace is served more than its weight and one item allow.
func TestQueueFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int](WithCapacity(30))
		waiting, since := map[string]int{}, map[string]map[string]float64{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			w := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "workspace")
			priority := int(w[0] - 'a')
			if rapid.Bool().Draw(t, "push") {
				cost := rapid.Uint32Range(1, 4).Draw(t, "cost")
				waiting[w]++
				if since[w] == nil {
					since[w] = map[string]float64{}
				}
				if i, full := q.Push(start, Item[int]{Workspace: w, Priority: priority, Cost: cost}); full {
					waiting[i.Workspace]--
				}
			} else if i, ok := q.Pop(); ok {
				waiting[i.Workspace]--
				since[i.Workspace] = map[string]float64{}
				assertNoStarvation(t, waiting, since, i)
			}
			total := 0
			for _, n := range waiting {
				total += n
			}
			if total != q.Len() || total > 30 {
				t.Fatalf("%d waiting, queue has %d", total, q.Len())
			}
		}
	})
}

func assertNoStarvation(t *rapid.T, waiting map[string]int, since map[string]map[string]float64, i Item[int]) {
	for w, served := range since {
		if w == i.Workspace {
			continue
		}
		if waiting[w] == 0 {
			since[w] = map[string]float64{}
			continue
		}
		served[i.Workspace] += float64(i.Cost)
		// The waiting item costs at most 4 and was queued behind at most one
		// served item of its workspace.
		limit := 2*4*weight(i.Priority)/weight(int(w[0]-'a')) + 2*4
		if served[i.Workspace] > limit {
			t.Fatalf("%s was served %v while %s waited, at most %v", i.Workspace, served[i.Workspace], w, limit)
		}
	}
}
