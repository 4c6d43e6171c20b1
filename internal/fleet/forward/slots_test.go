package forward_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/policy/slots"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// Guards against calls that are sent elsewhere than where a slot is free, without what the
// coordinator needs to order them, or that wait at a target although the coordinator refused them.
func TestSlotDecidesTheTarget(t *testing.T) {
	t.Run("the granted target is used", func(t *testing.T) {
		f := newSlotFixture(t, 3, always("200 OK", platformtest.LoadLine("3,1,6"), "x"))
		f.grant(1)
		for range 8 {
			f.assertResponse(f.call("/safe/a"), 200, "x")
		}
		f.Assert(f.received(), qt.DeepEquals, []int{0, 8, 0})
		f.awaitEnds(8, 0)
		got := f.slots.results[0]
		got.Took = 0
		f.Assert(got, qt.Equals, slots.Result{Succeeded: true, Running: 3, Queued: 1, HasLoad: true})
	})
	t.Run("the request has the times of the call", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		f.assertResponse(f.call("/safe/a"), 200, "x")
		f.assertResponse(f.call("/once/a"), 200, "x")
		asked := f.slots.requests()
		f.Assert([]string{asked[0].Service, asked[0].Workspace}, qt.DeepEquals, []string{"s", "w"})
		f.Assert(asked[0].Deadline.Sub(asked[0].Objective), qt.Equals, 900*time.Millisecond)
		// A route without an objective must not look late from the start.
		f.Assert(asked[1].Objective.IsZero(), qt.IsTrue)
	})
	t.Run("a refusal", func(t *testing.T) {
		f := newSlotFixture(t, 3, always("200 OK", "", "x"))
		f.fail(&slotgrant.Refusal{RetryAfter: 3 * time.Second})
		for _, path := range []string{"/once/a", "/safe/a"} {
			got := f.call(path)
			f.assertResponse(got, 503, "")
			f.Assert(f.retryAfter(got) >= 3*time.Second, qt.IsTrue)
		}
		f.Assert(f.targetRequests(), qt.Equals, 0)
		f.Assert(f.slots.requests(), qt.HasLen, 2)
	})
	t.Run("the log line of a refusal", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		f.fail(&slotgrant.Refusal{RetryAfter: time.Second})
		_ = f.call("/once/a")
		line := f.line()
		f.Assert([]any{line["reason"], line["sends"], line["runs"]}, qt.DeepEquals, []any{"no-slot", 0.0, 0.0})
	})
	t.Run("without a coordinator the router chooses", func(t *testing.T) {
		f := newSlotFixture(t, 3, always("200 OK", "", "x"))
		f.fail(slotgrant.ErrNoCoordinator)
		f.assertResponse(f.call("/once/a"), 200, "x")
		f.awaitEnds(0, 0)
	})
	t.Run("the wait is in the log line", func(t *testing.T) {
		f := newSlotFixture(t, 1, always("200 OK", "", "x"))
		f.slots.assign = func(context.Context, slotgrant.Request) (uint64, error) {
			time.Sleep(50 * time.Millisecond)
			return f.hash(0), nil
		}
		f.assertResponse(f.call("/once/a"), 200, "x")
		line := f.line()
		wait, _ := line["slot-wait-ms"].(float64)
		f.Assert(wait >= 50, qt.IsTrue, qt.Commentf("%v", line))
		f.Assert([]any{line["placement"], line["coordinator"]}, qt.DeepEquals, []any{"slot", "1"})
	})
}

// Guards against calls to a target that must get none because the coordinator does not know so, or
// learns later, and against grants that are kept although nothing was sent.
func TestGrantOfATargetThatTakesNoCalls(t *testing.T) {
	exclude := map[string]func(*state.Target){
		"draining":  func(t *state.Target) { t.Draining = true },
		"leaving":   func(t *state.Target) { t.Leaving, t.Draining = true, true },
		"evacuated": func(t *state.Target) { t.Evacuated, t.EvacuatedAt = true, time.Now() },
	}
	for name, edit := range exclude {
		edits := func(f *slotFixture) func(*state.Target) {
			return func(t *state.Target) {
				if t.Address == f.targets[0].Address() {
					edit(t)
				}
			}
		}
		t.Run(name+" before the request", func(t *testing.T) {
			f := newSlotFixture(t, 2, always("200 OK", "", "x"))
			f.change(edits(f))
			f.grant(0, 1)
			f.assertResponse(f.call("/once/a"), 200, "x")
			f.Assert(f.received(), qt.DeepEquals, []int{0, 1})
			f.Assert(contains(f.slots.requests()[0].Excluded, f.hash(0)), qt.IsTrue)
			f.awaitEnds(1, 1)
		})
		t.Run(name+" while the call waits", func(t *testing.T) {
			f := newSlotFixture(t, 2, always("200 OK", "", "x"))
			n := 0
			f.slots.assign = func(context.Context, slotgrant.Request) (uint64, error) {
				if n++; n == 1 {
					f.change(edits(f))
				}
				return f.hash(min(n, 2) - 1), nil
			}
			f.assertResponse(f.call("/once/a"), 200, "x")
			f.Assert(f.received(), qt.DeepEquals, []int{0, 1})
			f.awaitEnds(1, 1)
		})
		t.Run(name+", and it is granted again and again", func(t *testing.T) {
			f := newSlotFixture(t, 2, always("200 OK", "", "x"))
			f.change(edits(f))
			f.grant(0)
			f.assertResponse(f.call("/once/a"), 200, "x")
			f.Assert(f.received(), qt.DeepEquals, []int{0, 1})
			f.awaitEnds(0, 3)
		})
	}
	t.Run("none is left", func(t *testing.T) {
		f := newSlotFixture(t, 2, always("200 OK", "", "x"))
		f.evacuate(time.Now(), 0, 1)
		f.assertRefused("/once/a")
		f.Assert(f.slots.requests(), qt.HasLen, 0)
	})
	t.Run("a pause of the router while the call waits", func(t *testing.T) {
		var f *slotFixture
		checks := 0
		f = newSlotFixture(t, 2, always("200 OK", "", "x"), func(c *forward.Config) {
			c.AwaitFreshView = func(context.Context) {
				if checks++; checks == 3 { // After the arrival and before the attempt.
					f.evacuate(time.Now(), 0)
				}
			}
		})
		f.grant(0, 1)
		f.assertResponse(f.call("/once/a"), 200, "x")
		f.Assert(f.received(), qt.DeepEquals, []int{0, 1})
	})
}

// Guards against retries that a coordinator sends to a target where the call may have run.
func TestRetriesExcludeTriedTargets(t *testing.T) {
	t.Run("the request names them", func(t *testing.T) {
		f := newSlotFixture(t, 2, once(reset, always("200 OK", "", "x")))
		f.assertResponse(f.call("/safe/a"), 200, "x")
		f.Assert(f.received(), qt.DeepEquals, []int{1, 1})
		f.Assert(f.slots.requests()[1].Excluded, qt.DeepEquals, []uint64{f.hash(0)})
		f.awaitEnds(2, 0)
	})
	t.Run("a tried one that is granted all the same", func(t *testing.T) {
		f := newSlotFixture(t, 2, once(reset, always("200 OK", "", "x")))
		f.grant(0)
		f.assertResponse(f.call("/safe/a"), 200, "x")
		f.Assert(f.received(), qt.DeepEquals, []int{1, 1})
		f.awaitEnds(1, 3)
	})
	t.Run("all were tried", func(t *testing.T) {
		f := newSlotFixture(t, 2, write(platformtest.NotExecuted))
		got := f.call("/once/a")
		f.assertResponse(got, 503, "")
		f.Assert(got.Field("retry-after"), qt.Not(qt.Equals), "")
		f.Assert(f.received(), qt.DeepEquals, []int{1, 1})
		f.Assert(f.slots.requests(), qt.HasLen, 2)
		f.awaitEnds(2, 0)
	})
	t.Run("a call that runs at most once is not sent again", func(t *testing.T) {
		f := newSlotFixture(t, 2, reset)
		f.assertResponse(f.call("/once/a"), 502, "")
		f.Assert(f.targetRequests(), qt.Equals, 1)
		f.awaitEnds(1, 0)
	})
}

// Guards against calls that leave a slow target although no other has room for them: they would
// fail, and the slow target would answer.
func TestSilentTargetIsLeftOnlyForAnotherSlot(t *testing.T) {
	slow := func(c net.Conn, r rawserver.Request) bool {
		time.Sleep(200 * time.Millisecond)
		return always("200 OK", "", "x")(c, r)
	}
	t.Run("no other slot", func(t *testing.T) {
		f := newSlotFixture(t, 2, slow)
		first := f.slots.assign
		f.slots.assign = func(ctx context.Context, r slotgrant.Request) (uint64, error) {
			if len(r.Excluded) > 0 {
				return 0, &slotgrant.Refusal{RetryAfter: time.Second}
			}
			return first(ctx, r)
		}
		f.assertResponse(f.call("/safe/a"), 200, "x")
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("another slot", func(t *testing.T) {
		f := newSlotFixture(t, 2, slow)
		f.assertResponse(f.call("/safe/a"), 200, "x")
		f.Assert(f.targetRequests(), qt.Equals, 2)
		f.slots.mu.Lock()
		defer f.slots.mu.Unlock()
		f.Assert(f.slots.granted, qt.Equals, 2)
		f.Assert(len(f.slots.released)+len(f.slots.cancelled), qt.Equals, 2)
	})
}
