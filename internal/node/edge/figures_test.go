package edge

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/targetload"
)

// Guards against figures that operators cannot see, and against old ones that look new.
func TestViewShowsLoadFigures(t *testing.T) {
	f := newFixture(t)
	f.configure()
	var target *state.Target
	for _, targets := range f.router.watcher.View().Targets.ByService {
		target = targets[0]
	}
	shown := func() *loadFiguresView {
		w := httptest.NewRecorder()
		f.router.serveView(w, nil)
		var got view
		f.Assert(json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
		f.Assert(got.Targets, qt.HasLen, 1)
		return got.Targets[0].LoadFigures
	}
	f.Assert(shown(), qt.IsNil)
	figures := targetload.Figures{Running: 3, Waiting: 1, Slots: 6, Slowdown: 1.4}
	f.router.loadFigures.Observe(target.Hash, figures, time.Now().Add(-300*time.Millisecond))
	got := shown()
	f.Assert(got, qt.IsNotNil)
	f.Assert(got.Figures, qt.Equals, figures)
	f.Assert(got.AgeMS >= 300 && got.AgeMS < 2000, qt.IsTrue, qt.Commentf("%d ms", got.AgeMS))
}
