package forward_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/targetload"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// newFiguresFixture starts a router in front of six targets, of which the first states another
// load than the others.
func newFiguresFixture(t *testing.T, first, others string) (*fixture, *targetload.Tracker) {
	var f *fixture
	tracker := targetload.NewTracker(targetload.WithHalfLife(time.Hour))
	f = newFixture(t, 6, func(c net.Conn, r rawserver.Request) bool {
		load := others
		if c.LocalAddr().String() == f.targets[0].Address() {
			load = first
		}
		_, err := io.WriteString(c, platformtest.Response(r, "200 OK", platformtest.LoadLine(load), "x"))
		return err == nil
	}, func(c *forward.Config) { c.LoadFigures = tracker })
	return f, tracker
}

// firstOf makes calls with different IDs and returns how many of them have reached the first target.
func (f *fixture) firstOf(calls int) int {
	before := len(f.targets[0].Requests())
	for i := range calls {
		raw := platformtest.Request("/once/a", platformtest.AuthorizationLine, "hello")
		f.assertResponse(f.send(strings.Replace(raw, "c1", fmt.Sprint("id-", i), 1)), 200, "x")
	}
	return len(f.targets[0].Requests()) - before
}

// Guards against calls to a target that another router knows to be slow, and against figures that
// change the choice where targets report none of them.
func TestChoiceByLoadFigures(t *testing.T) {
	t.Run("a slow target gets few calls", func(t *testing.T) {
		f, _ := newFiguresFixture(t, "6,9,6,250", "1,0,6,100")
		_ = f.firstOf(30)
		got := f.firstOf(60)
		f.Assert(got <= 6, qt.IsTrue, qt.Commentf("%d of 60 calls", got))
	})
	t.Run("figures of other routers count", func(t *testing.T) {
		f, tracker := newFiguresFixture(t, "6,9,6", "1,0,6")
		tracker.Merge([]targetload.Report{{Target: f.hash(0), Figures: targetload.Figures{Slots: 6, Slowdown: 20}}}, time.Now())
		got := f.firstOf(60)
		f.Assert(got <= 3, qt.IsTrue, qt.Commentf("%d of 60 calls", got))
	})
	for name, load := range map[string]string{"three figures": "6,9,6", "none": "", "an unreadable fourth": "6,9,6,x"} {
		t.Run("as before with "+name, func(t *testing.T) {
			f, tracker := newFiguresFixture(t, load, load)
			got := f.firstOf(60)
			f.Assert(got >= 3 && got <= 20, qt.IsTrue, qt.Commentf("%d of 60 calls", got))
			f.Assert(tracker.Reports(time.Now(), 16), qt.HasLen, 0)
			f.Assert(tracker.Known(time.Now()), qt.HasLen, 0)
		})
	}
	for name, path := range map[string]string{"a stream": "/stream/a", "an engine": "/once/a"} {
		t.Run("as before with "+name, func(t *testing.T) {
			f, tracker := newFiguresFixture(t, "6,9,6,250", "1,0,6,100")
			if path == "/once/a" {
				f.view.Load().Configuration.Services = map[string]state.Service{"s": {Slots: 8}}
			}
			_ = f.call(path)
			f.Assert(f.targetRequests(), qt.Equals, 1)
			f.Assert(tracker.Known(time.Now()), qt.HasLen, 0)
		})
	}
}
