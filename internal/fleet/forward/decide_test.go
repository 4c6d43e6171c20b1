package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/testing/seed"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{}) }

func once() *state.Route       { return &state.Route{MaxAttempts: 1} }
func repeatable() *state.Route { return &state.Route{Repeatable: true, MaxAttempts: 2} }
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
		{"an answer is passed on", once(), Progress{Fate: Answered, Sends: 1, Runs: 1, Left: time.Second}, true, PassOn},
		{
			"a call that has not run goes to another target", once(),
			Progress{Fate: NotRun, Sends: 1, Left: time.Second}, true, Again,
		},
		{
			"a call that has not run is refused without budget", once(),
			Progress{Fate: NotRun, Sends: 1, Left: time.Second}, false, Refuse,
		},
		{
			"a call that may have run is not sent again", once(),
			Progress{Fate: Unknown, Sends: 1, Runs: 1, Left: time.Second}, true, Fail,
		},
		{
			"proof of one attempt is no proof of another", repeatable(),
			Progress{Fate: NotRun, Sends: 3, Runs: 2, Left: time.Second}, true, Fail,
		},
		{
			"a repeatable call is sent again", repeatable(),
			Progress{Fate: Unknown, Sends: 1, Runs: 1, Left: time.Second}, true, Again,
		},
		{
			"the second failure of a target is passed on", repeatable(),
			Progress{Fate: FailedAtTarget, Sends: 2, Runs: 2, HasAnswer: true, Left: time.Second}, true, PassOn,
		},
		{
			"the failure of a call that runs once is passed on", once(),
			Progress{Fate: FailedAtTarget, Sends: 1, Runs: 1, HasAnswer: true, Left: time.Second}, true, PassOn,
		},
		{
			"a resumable stream goes on elsewhere", resumable(),
			Progress{Fate: Unknown, Sends: 1, Runs: 1, Begun: true, Left: time.Second}, true, Again,
		},
		{
			"a stream that cannot be resumed looks cut", &state.Route{Streaming: true, MaxAttempts: 2},
			Progress{Fate: Unknown, Sends: 1, Runs: 1, Begun: true, Left: time.Second}, true, Abort,
		},
		{
			"time is over for a call that may have run", once(),
			Progress{Fate: Unknown, Sends: 1, Runs: 1}, true, TimedOut,
		},
		{"time is over for a call that has not run", once(), Progress{Fate: NotRun, Sends: 1}, true, Refuse},
		{
			"targets are not asked without end", repeatable(),
			Progress{Fate: NotRun, Sends: maxSends, Left: time.Second}, true, Refuse,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Decide(test.route, test.p, func() bool { return test.budget })
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// Whatever happens to its attempts, a call that runs once runs at most once, a
// refusal means that it has not run, and no call is run by more targets than
// its route allows or answered twice.
func TestDecisionsKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.SampledFrom([]*state.Route{once(), repeatable(), resumable()}).Draw(t, "route")
		p := Progress{Left: time.Second}
		ran := 0
		for range 10 {
			p.Sends++
			p.Fate = rapid.SampledFrom([]Fate{Answered, NotRun, FailedAtTarget, Unknown}).Draw(t, "fate")
			p.HasAnswer = p.Fate == FailedAtTarget
			if p.Fate != NotRun {
				p.Runs++
			}
			// An attempt of unknown fate may have run or not.
			if p.Fate != NotRun && (p.Fate != Unknown || rapid.Bool().Draw(t, "ran")) {
				ran++
			}
			p.Begun = p.Begun || (route.Streaming && p.Fate == Unknown && rapid.Bool().Draw(t, "begun"))
			p.Left -= time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond
			action := Decide(route, p, func() bool { return rapid.Bool().Draw(t, "budget") })
			checkAction(t, route, p, action, ran)
			if action != Again {
				return
			}
		}
		t.Fatalf("%+v: no end after ten attempts", p)
	})
}

func checkAction(t *rapid.T, route *state.Route, p Progress, action Action, ran int) {
	switch {
	case action == Again && route.RunsOnce() && p.Runs > 0:
		t.Fatalf("%+v: a call that runs once is sent again after it may have run", p)
	case action == Again && p.Runs >= route.MaxAttempts:
		t.Fatalf("%+v: sent to more targets than the route allows", p)
	case action == Again && p.Begun && !route.Resumable:
		t.Fatalf("%+v: an answer that has begun is started again", p)
	case action == Refuse && ran > 0:
		t.Fatalf("%+v: refused as not run after %d runs", p, ran)
	case p.Begun && (action == Refuse || action == Fail || action == TimedOut):
		t.Fatalf("%+v: a second answer after the first has begun", p)
	case route.RunsOnce() && ran > 1:
		t.Fatalf("%+v: ran %d times", p, ran)
	}
}

func TestEventsAreCutAtTheirEnds(t *testing.T) {
	c := qt.New(t)
	var e events
	c.Assert(string(e.add([]byte("id: 1\ndata: a\n"))), qt.Equals, "")
	c.Assert(string(e.add([]byte("\nid: 2\nda"))), qt.Equals, "id: 1\ndata: a\n\n")
	c.Assert(e.last, qt.Equals, "1")
	c.Assert(string(e.add([]byte("ta: b\r\n\r\nid: 3"))), qt.Equals, "id: 2\ndata: b\r\n\r\n")
	c.Assert(e.last, qt.Equals, "2")
	c.Assert(string(e.rest()), qt.Equals, "id: 3")
}

// Cut at any places, a stream comes out unchanged up to its last whole event.
func TestEventsComeOutUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.StringMatching(`((id: [0-9]{1,3}\n)?data: [a-z ]{0,9}\n\n){0,8}(id: [0-9])?`).Draw(t, "stream")
		var e events
		out := ""
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			out += string(e.add([]byte(rest[:n])))
			rest = rest[n:]
		}
		if out+string(e.rest()) != stream {
			t.Fatalf("%q came out as %q and %q", stream, out, e.rest())
		}
	})
}
