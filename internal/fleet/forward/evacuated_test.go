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
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// baseJitter is what is added at random to the time after which any refused caller should return.
const baseJitter = 200 * time.Millisecond

// evacuate publishes a view in which the targets of the given numbers, and no others, have been
// evacuated since a time.
func (f *fixture) evacuate(since time.Time, numbers ...int) {
	view := f.view.Load()
	evacuated := make(map[string]bool)
	for _, n := range numbers {
		evacuated[f.targets[n].Address()] = true
	}
	var targets []*state.Target
	for _, old := range view.Targets.ByService["s"] {
		t := *old
		t.Evacuated, t.EvacuatedAt = evacuated[t.Address], since
		targets = append(targets, &t)
	}
	f.view.Store(&state.View{Configuration: view.Configuration, Targets: state.NewTargets(targets)})
}

// assertRefused checks that a call is refused at once, that the caller is told that it was not
// executed and when to return, and that it has reached no target.
func (f *fixture) assertRefused(path string) {
	f.Helper()
	before, started := f.targetRequests(), time.Now()
	got := f.call(path)
	f.assertResponse(got, 503, "")
	f.Assert(time.Since(started) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
	delay := f.retryAfter(got)
	f.Assert(delay >= time.Second && delay <= 2*time.Second+baseJitter, qt.IsTrue, qt.Commentf("%v", delay))
	f.Assert(f.targetRequests(), qt.Equals, before)
}

// Guards against calls that reach evacuated targets, and against calls that wait or fail although
// others are free, or though none is.
func TestEvacuatedTargetsGetNoNewCalls(t *testing.T) {
	f := newFixture(t, 3, always("200 OK", "", "x"))
	const calls = 20
	callAll := func() {
		f.Helper()
		for i := range calls { // The targets are chosen by the calls' IDs.
			f.assertResponse(f.send(platformtest.Call(fmt.Sprint("c-", i), "POST", "/once/a", 1000, "x")), 200, "x")
			f.assertResponse(f.send(platformtest.Call(fmt.Sprint("d-", i), "POST", "/safe/a", 1000, "x")), 200, "x")
		}
	}
	received := func(n int) int { return len(f.targets[n].Requests()) }
	f.evacuate(time.Now(), 0)
	callAll()
	f.Assert(received(0), qt.Equals, 0)
	f.evacuate(time.Now(), 0, 1)
	before := received(1)
	callAll()
	f.Assert([]int{received(0), received(1)}, qt.DeepEquals, []int{0, before})
	f.evacuate(time.Now(), 0, 1, 2)
	for _, path := range []string{"/once/a", "/safe/a", "/stream/a", "/resume/a", "/chat/a"} {
		f.assertRefused(path)
	}
	f.evacuate(time.Now(), 2)
	before = received(2)
	callAll()
	f.Assert(received(2), qt.Equals, before)
	f.Assert(received(0) > 0, qt.IsTrue) // A failure domain that comes back is used again.
}

// Guards against calls that are cut or moved because their target is evacuated while it answers.
func TestCallsInProgressOfAnEvacuatedTargetGoOn(t *testing.T) {
	for path, want := range map[string]string{"/stream/a": wholeStream(2), "/resume/a": wholeStream(2), "/once/a": "x", "/safe/a": "x"} {
		t.Run(path, func(t *testing.T) {
			started, goOn := make(chan struct{}, 1), make(chan struct{})
			f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
				isStream := strings.HasPrefix(r.Target, "/stream") || strings.HasPrefix(r.Target, "/resume")
				if isStream {
					_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk("id: 1\ndata: x\n\n"))
				}
				started <- struct{}{}
				<-goOn
				if !isStream {
					return always("200 OK", "", "x")(c, r)
				}
				_, err := io.WriteString(c, chunk("id: 2\ndata: x\n\n")+"0\r\n\r\n")
				return err == nil
			})
			got := make(chan response, 1)
			go func() { got <- f.call(path) }()
			<-started
			f.evacuate(time.Now(), 0, 1)
			f.assertRefused(path)
			time.Sleep(20 * time.Millisecond)
			close(goOn)
			f.assertResponse(<-got, 200, want)
			f.Assert(f.targetRequests(), qt.Equals, 1)
		})
	}
}

// Guards against retries and resumed streams that go to a target which was evacuated after the
// call's first attempt had begun.
func TestRetriesAvoidEvacuatedTargets(t *testing.T) {
	// run makes a call whose first attempt ends as end says once all other targets have been
	// evacuated, and returns the response.
	run := func(t *testing.T, path string, end rawserver.Handler) (*fixture, response) {
		started, goOn := make(chan int, 1), make(chan struct{})
		f := newFixture(t, 3, once(func(c net.Conn, r rawserver.Request) bool {
			started <- 1
			<-goOn
			return end(c, r)
		}, always("200 OK", "", "x")))
		got := make(chan response, 1)
		go func() { got <- f.call(path) }()
		<-started
		f.evacuate(time.Now(), 0, 1, 2)
		close(goOn)
		return f, <-got
	}
	t.Run("a retry", func(t *testing.T) {
		f, got := run(t, "/safe/a", reset)
		f.Assert(got.err != nil || got.Status >= 500, qt.IsTrue)
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("a retry of a call that was not executed", func(t *testing.T) {
		f, got := run(t, "/once/a", write(platformtest.NotExecuted))
		f.assertResponse(got, 503, "")
		f.Assert(got.Field("retry-after"), qt.Not(qt.Equals), "")
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("a resumed stream", func(t *testing.T) {
		f, got := run(t, "/resume/a", eventScript(9, 4))
		f.Assert(got.err, qt.IsNotNil)
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
	t.Run("a retry goes to one that is not evacuated", func(t *testing.T) {
		f := newFixture(t, 3, once(reset, always("200 OK", "", "x")))
		f.evacuate(time.Now(), 1)
		f.assertResponse(f.call("/safe/a"), 200, "x")
		f.Assert(f.targets[1].Requests(), qt.HasLen, 0)
		f.Assert(f.targetRequests(), qt.Equals, 2)
	})
}

// Guards against fetches of cached parts from an evacuated failure domain beyond the time that
// the settings allow, and against prompts that are read again although they may be fetched.
func TestEvacuatedTargetsSupplyCachedPartsForATime(t *testing.T) {
	const fetchTime = time.Minute
	name, value, _ := strings.Cut(strings.TrimSpace(platformtest.PromptLine), ": ")
	parts := platform.DecodeCallHeaders([]http1.Field{http1.NewField(name, value)}).Parts
	assertFetches := func(t *testing.T, since time.Time, want bool) {
		f := newFixture(t, 2, always("200 OK", "", "x"), func(c *forward.Config) { c.EvacuatedFetchTime = fetchTime })
		f.view.Load().Configuration.Services = map[string]state.Service{"s": {Name: "s", CacheTransfer: true}}
		source := f.view.Load().Targets.ByService["s"][0]
		for _, p := range parts {
			f.cacheIndex.Restore([]affinity.Holding{{Part: p.Hash, Target: source.Hash, Prefilled: true}}, time.Now())
		}
		f.cacheIndex.MarkRestored()
		f.evacuate(since, 0)
		f.assertResponse(f.send(platformtest.Request("/chat/a", platformtest.AuthorizationLine+platformtest.PromptLine, "x")), 200, "x")
		f.Assert(f.targets[0].Requests(), qt.HasLen, 0)
		requests := f.targets[1].Requests()
		f.Assert(requests, qt.HasLen, 1)
		f.Assert(platformtest.DecodeForwarded(requests[0]).CacheSource == source.Address, qt.Equals, want)
	}
	t.Run("at first", func(t *testing.T) { assertFetches(t, time.Now(), true) })
	t.Run("shortly before the end", func(t *testing.T) { assertFetches(t, time.Now().Add(-fetchTime+10*time.Second), true) })
	t.Run("not later", func(t *testing.T) { assertFetches(t, time.Now().Add(-fetchTime), false) })
	t.Run("not if it was evacuated before this router started", func(t *testing.T) { assertFetches(t, time.Time{}, false) })
}
