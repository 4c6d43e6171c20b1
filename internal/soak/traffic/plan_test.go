package traffic

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

func TestWorkFollowsFromPath(t *testing.T) {
	assertPlan := func(t *testing.T, path string, want plan) {
		t.Helper()
		qt.Assert(t, planOf(path) == want, qt.IsTrue, qt.Commentf("%+v", planOf(path)))
	}
	t.Run("long stream", func(t *testing.T) {
		assertPlan(t, platformtest.PathLong+"40-150", plan{events: 40, gap: 150 * time.Millisecond, long: true})
	})
	t.Run("long whole answer", func(t *testing.T) {
		assertPlan(t, platformtest.PathWork+"1-2500", plan{events: 1, gap: 2500 * time.Millisecond, long: true})
	})
	t.Run("other calls", func(t *testing.T) {
		assertPlan(t, platformtest.PathStream+"x", plan{events: eventsPerStream, gap: eventGap})
	})
	t.Run("drawn paths", func(t *testing.T) {
		for range 1000 {
			path := drawLongPath()
			p := planOf(path)
			total := time.Duration(p.events) * p.gap
			qt.Assert(t, p.long && total >= minLongWork && total <= maxLongWork+maxLongGap, qt.IsTrue, qt.Commentf("%s", path))
		}
	})
}

func TestBehaviorFollowsFromNameAndSeed(t *testing.T) {
	c := qt.New(t)
	c.Assert(DrawBehavior("caller-1", 7) == DrawBehavior("caller-1", 7), qt.IsTrue)
	styles := make(map[bodyStyle]bool)
	for seed := range uint64(200) {
		styles[DrawBehavior("caller-1", seed).body] = true
	}
	c.Assert(styles, qt.HasLen, int(bodyStyles))
}
