package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform/platformtest"
)

// Guards against the cost of slots, and a dependency on another router, for calls that need none.
func TestCallsThatNeedNoSlot(t *testing.T) {
	stream := eventScript(9, 9)
	t.Run("streams", func(t *testing.T) {
		f := newSlotFixture(t, 1, stream)
		_ = f.call("/stream/a")
		_ = f.call("/resume/a")
		f.Assert(f.slots.requests(), qt.HasLen, 0)
	})
	t.Run("calls with a prompt", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		f.cacheIndex.MarkRestored()
		f.assertResponse(f.send(platformtest.Request("/chat/a", platformtest.AuthorizationLine+platformtest.PromptLine, "x")), 200, "x")
		f.Assert(f.slots.requests(), qt.HasLen, 0)
	})
	t.Run("services of engines", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		f.view.Load().Configuration.Services = map[string]state.Service{"s": {Name: "s", Slots: 64}}
		f.assertResponse(f.call("/once/a"), 200, "x")
		f.Assert(f.slots.requests(), qt.HasLen, 0)
	})
	t.Run("targets that state no slots", func(t *testing.T) {
		f := newSlotFixture(t, 2, always("200 OK", "", "x"))
		f.change(func(target *state.Target) {
			if target.Address == f.targets[1].Address() {
				target.Slots = 0
			}
		})
		f.assertResponse(f.call("/once/a"), 200, "x")
		f.Assert(f.slots.requests(), qt.HasLen, 0)
	})
	withoutPressure := func(c *forward.Config) { c.HasPressure = false }
	for _, load := range []string{"3,0,6", "3,0,6,140"} {
		t.Run("without pressure, load "+load, func(t *testing.T) {
			f := newSlotFixture(t, 1, always("200 OK", platformtest.LoadLine(load), "x"), withoutPressure)
			for range 3 {
				f.assertResponse(f.call("/once/a"), 200, "x")
			}
			f.Assert(f.slots.requests(), qt.HasLen, 0)
		})
	}
}
