package forward

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/testing/seed"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{}) }

func atMostOnce() *state.Route { return &state.Route{MaxAttempts: 1} }
func idempotent() *state.Route { return &state.Route{Idempotent: true, MaxAttempts: 2} }
func resumable() *state.Route {
	return &state.Route{Streaming: true, Resumable: true, MaxAttempts: 2}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		route  *state.Route
		p      Progress
		budget bool
		want   Action
	}{
		{"a response is relayed", atMostOnce(), Progress{Outcome: Responded, Attempts: 1, PossibleExecutions: 1, Remaining: time.Second}, true, Relay},
		{
			"a call that was not executed is retried", atMostOnce(),
			Progress{Outcome: NotExecuted, Attempts: 1, Remaining: time.Second}, true, Retry,
		},
		{
			"a call that was not executed is rejected without retry budget", atMostOnce(),
			Progress{Outcome: NotExecuted, Attempts: 1, Remaining: time.Second}, false, Reject,
		},
		{
			"an at-most-once call that may have executed is not retried", atMostOnce(),
			Progress{Outcome: Unknown, Attempts: 1, PossibleExecutions: 1, Remaining: time.Second}, true, Fail,
		},
		{
			"an earlier attempt may have executed although the last one did not", idempotent(),
			Progress{Outcome: NotExecuted, Attempts: 3, PossibleExecutions: 2, Remaining: time.Second}, true, Fail,
		},
		{
			"an idempotent call is retried", idempotent(),
			Progress{Outcome: Unknown, Attempts: 1, PossibleExecutions: 1, Remaining: time.Second}, true, Retry,
		},
		{
			"a call that may have crashed its target is not retried", idempotent(),
			Progress{Outcome: Unknown, Attempts: 1, PossibleExecutions: 1, Withheld: true, Remaining: time.Second}, true, Fail,
		},
		{
			"the error response of the last attempt is relayed", idempotent(),
			Progress{Outcome: FailedAtTarget, Attempts: 2, PossibleExecutions: 2, HasResponse: true, Remaining: time.Second}, true, Relay,
		},
		{
			"an error response is relayed if no target is left", idempotent(),
			Progress{Outcome: NotExecuted, Attempts: 1, PossibleExecutions: 1, HasResponse: true, Remaining: time.Second}, false, Relay,
		},
		{
			"the error response to an at-most-once call is relayed", atMostOnce(),
			Progress{Outcome: FailedAtTarget, Attempts: 1, PossibleExecutions: 1, HasResponse: true, Remaining: time.Second}, true, Relay,
		},
		{
			"an error response that must not be relayed fails the call", atMostOnce(),
			Progress{Outcome: FailedAtTarget, Attempts: 1, PossibleExecutions: 1, Remaining: time.Second}, true, Fail,
		},
		{
			"a resumable stream is resumed on another target", resumable(),
			Progress{Outcome: Unknown, Attempts: 1, PossibleExecutions: 1, Started: true, Remaining: time.Second}, true, Retry,
		},
		{
			"a stream that cannot be resumed is aborted", &state.Route{Streaming: true, MaxAttempts: 2},
			Progress{Outcome: Unknown, Attempts: 1, PossibleExecutions: 1, Started: true, Remaining: time.Second}, true, Abort,
		},
		{
			"timeout of a call that may have executed", atMostOnce(),
			Progress{Outcome: Unknown, Attempts: 1, PossibleExecutions: 1}, true, TimedOut,
		},
		{"timeout of a call that was not executed", atMostOnce(), Progress{Outcome: NotExecuted, Attempts: 1}, true, Reject},
		{
			"the number of attempts is bounded", idempotent(),
			Progress{Outcome: NotExecuted, Attempts: maxAttempts, Remaining: time.Second}, true, Reject,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Decide(test.route, test.p, func() bool { return test.budget })
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// For any sequence of outcomes, an at-most-once call executes at most once, a
// rejected call was not executed, and no call is executed by more targets than
// its route allows or gets two responses.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.SampledFrom([]*state.Route{atMostOnce(), idempotent(), resumable()}).Draw(t, "route")
		p := Progress{Remaining: time.Second}
		executed := 0
		for range 10 {
			p.Attempts++
			p.Outcome = rapid.SampledFrom([]Outcome{Responded, NotExecuted, FailedAtTarget, Unknown}).Draw(t, "outcome")
			p.HasResponse = p.Outcome == FailedAtTarget
			if p.Outcome != NotExecuted {
				p.PossibleExecutions++
			}
			// An attempt with an unknown outcome may or may not have executed.
			if p.Outcome != NotExecuted && (p.Outcome != Unknown || rapid.Bool().Draw(t, "executed")) {
				executed++
			}
			p.Started = p.Started || (route.Streaming && p.Outcome == Unknown && rapid.Bool().Draw(t, "started"))
			p.Remaining -= time.Duration(rapid.IntRange(0, 300).Draw(t, "elapsed")) * time.Millisecond
			action := Decide(route, p, func() bool { return rapid.Bool().Draw(t, "budget") })
			checkAction(t, route, p, action, executed)
			if action != Retry {
				return
			}
		}
		t.Fatalf("%+v: not finished after ten attempts", p)
	})
}

func checkAction(t *rapid.T, route *state.Route, p Progress, action Action, executed int) {
	switch {
	case action == Retry && route.AtMostOnce() && p.PossibleExecutions > 0:
		t.Fatalf("%+v: an at-most-once call is retried after it may have executed", p)
	case action == Retry && p.PossibleExecutions >= route.MaxAttempts:
		t.Fatalf("%+v: sent to more targets than the route allows", p)
	case action == Retry && p.Started && !route.Resumable:
		t.Fatalf("%+v: retried after a part of the response was sent", p)
	case action == Reject && executed > 0:
		t.Fatalf("%+v: rejected after %d executions", p, executed)
	case p.Started && (action == Reject || action == Fail || action == TimedOut):
		t.Fatalf("%+v: a second response after a part of the first", p)
	case route.AtMostOnce() && executed > 1:
		t.Fatalf("%+v: executed %d times", p, executed)
	}
}

func TestEventBufferSplitsAtEventBoundaries(t *testing.T) {
	c := qt.New(t)
	var e eventBuffer
	assertAdd := func(data, want string) {
		c.Helper()
		got, err := e.add([]byte(data))
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, want)
	}
	assertAdd("id: 1\ndata: a\n", "")
	assertAdd("\nid: 2\nda", "id: 1\ndata: a\n\n")
	c.Assert(e.lastID, qt.Equals, "1")
	assertAdd("ta: b\r\n\r\nid: 3", "id: 2\ndata: b\r\n\r\n")
	c.Assert(e.lastID, qt.Equals, "2")
	c.Assert(string(e.pending), qt.Equals, "id: 3")
}

func TestEventBufferBoundsIncompleteEvent(t *testing.T) {
	c := qt.New(t)
	var e eventBuffer
	piece := []byte(strings.Repeat("d", 4<<10))
	for range maxEventBytes / len(piece) {
		_, err := e.add(piece)
		c.Assert(err, qt.IsNil)
	}
	_, err := e.add(piece)
	c.Assert(err, qt.Equals, errEventTooLarge)
}

// A stream that arrives in arbitrary pieces is returned unchanged.
func TestEventBufferPreservesStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.StringMatching(`((id: [0-9]{1,3}\n)?data: [a-z ]{0,9}\n\n){0,8}(id: [0-9])?`).Draw(t, "stream")
		var e eventBuffer
		out := ""
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			events, err := e.add([]byte(rest[:n]))
			if err != nil {
				t.Fatal(err)
			}
			out += string(events)
			rest = rest[n:]
		}
		if out+string(e.pending) != stream {
			t.Fatalf("%q came out as %q and %q", stream, out, e.pending)
		}
	})
}

func TestStreamPace(t *testing.T) {
	c := qt.New(t)
	var p streamPace
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	_, ok := p.add(1, now)
	c.Assert(ok, qt.IsFalse, qt.Commentf("the time to the first event depends on the prompt"))
	for i := range 2 * eventsPerPace {
		now = now.Add(40 * time.Millisecond)
		perEvent, ok := p.add(1, now)
		c.Assert(ok, qt.Equals, i%eventsPerPace == eventsPerPace-1)
		if ok {
			c.Assert(perEvent, qt.Equals, 40*time.Millisecond)
		}
	}
}

// Routes differ in the time of their calls: a target is slow only against the usual time
// of the same route.
func TestUsualTimes(t *testing.T) {
	c := qt.New(t)
	var u usualTimes
	for range 50 {
		u.ratio("short", 10*time.Millisecond)
		u.ratio("long", 400*time.Millisecond)
	}
	for route, usual := range map[string]time.Duration{"short": 10 * time.Millisecond, "long": 400 * time.Millisecond} {
		ratio, ok := u.ratio(route, 3*usual)
		c.Assert(ok, qt.IsTrue)
		c.Assert(ratio > 2.5 && ratio <= 3, qt.IsTrue, qt.Commentf("%s: %.2f", route, ratio))
	}
	_, ok := u.ratio("new", time.Millisecond)
	c.Assert(ok, qt.IsFalse)
}
