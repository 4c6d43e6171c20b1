package forward_test

import (
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

const (
	guiltyPart = "c0ffee"
	rarePart   = "abba"
)

// crashFixture is a fixture with three targets that end when they begin to answer a call with
// guiltyPart; one that gets a call with rarePart ends once, as if for another reason.
func crashFixture(t *testing.T) (*fixture, *quarantine.Tracker) {
	return crashFixtureWith(t, func(r rawserver.Request) string { return platformtest.StreamHead(r) })
}

// crashFixtureWith is crashFixture with what a target sends of its answer before it ends.
func crashFixtureWith(t *testing.T, begin func(r rawserver.Request) string) (*fixture, *quarantine.Tracker) {
	var f *fixture
	ended := make(chan struct{}, 1)
	tracker := quarantine.NewTracker()
	f = newFixture(t, 3, func(c net.Conn, r rawserver.Request) bool {
		parts := platformtest.Parts(r)
		crash := slices.Contains(parts, guiltyPart)
		if slices.Contains(parts, rarePart) {
			select {
			case ended <- struct{}{}:
				crash = true
			default:
			}
		}
		if crash {
			_, _ = io.WriteString(c, begin(r))
			time.Sleep(10 * time.Millisecond)
			f.stopTarget(c)
			rawserver.Reset(c)
			return false
		}
		_, err := io.WriteString(c, platformtest.StreamHead(r)+chunk("id: 1\ndata: x\n\n")+"0\r\n\r\n")
		return err == nil
	}, func(c *forward.Config) { c.Quarantine = tracker })
	f.cacheIndex.MarkRestored()
	return f, tracker
}

// Guards against a prompt part that crashes targets and is never found (BUDGET, issues 36 and 40, and
// case 4 of the review of hickoryrock): the target ends before the head of its answer is complete, or
// the kernel loses the first bytes that it has written.
func TestCrashIsEvidenceWhereverItCutsTheAttempt(t *testing.T) {
	for name, begin := range map[string]func(r rawserver.Request) string{
		"before the first byte":  func(rawserver.Request) string { return "" },
		"after one byte":         func(r rawserver.Request) string { return platformtest.StreamHead(r)[:1] },
		"within the fields":      func(r rawserver.Request) string { return platformtest.StreamHead(r)[:60] },
		"after an interim head":  func(rawserver.Request) string { return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" },
		"after a stale answer":   func(rawserver.Request) string { return platformtest.ResponseToOtherCall() },
		"in a stale answer":      func(rawserver.Request) string { return strings.TrimSuffix(platformtest.ResponseToOtherCall(), "x") },
		"after the head":         func(r rawserver.Request) string { return platformtest.StreamHead(r) },
		"after an event":         func(r rawserver.Request) string { return platformtest.StreamHead(r) + chunk("id: 1\ndata: x\n\n") },
		"in a body":              func(r rawserver.Request) string { return platformtest.ResponseHead(r, 9) + "x" },
		"at the end of a stream": func(r rawserver.Request) string { return platformtest.UnframedStreamHead(r) + "id: 1\ndata: x\n\n" },
	} {
		for _, path := range []string{"/talk/a", "/chat/a"} {
			t.Run(name+path, func(t *testing.T) {
				f, tracker := crashFixtureWith(t, begin)
				_ = f.callWithParts(path, guiltyPart, "e1")
				f.assertSuspected(tracker)
			})
		}
	}
}

// Guards against a crash that no router learns of (BUDGET, issue 40): the end of the connection does
// not arrive, or the target is back before a router looks at it.
func TestCrashIsNoticedWithoutARefusedProbe(t *testing.T) {
	t.Run("the connection stays open", func(t *testing.T) {
		var f *fixture
		tracker := quarantine.NewTracker()
		f = newFixture(t, 2, func(c net.Conn, _ rawserver.Request) bool {
			f.stopTarget(c)
			time.Sleep(time.Second)
			return false
		}, func(c *forward.Config) { c.Quarantine = tracker })
		f.cacheIndex.MarkRestored()
		_ = f.callWithParts("/talk/a", guiltyPart, "e1")
		f.assertSuspected(tracker)
	})
	t.Run("answers since the target was heard last count", func(t *testing.T) {
		var f *fixture
		tracker := quarantine.NewTracker()
		f = newFixture(t, 2, firstCall(func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.StreamHead(r)+chunk("id: 1\ndata: x\n\n"))
			time.Sleep(100 * time.Millisecond)
			tracker.RecordAnswer([]uint64{partHash(rarePart)}, time.Now())
			f.stopTarget(c)
			time.Sleep(10 * time.Millisecond)
			other := quarantine.Crash{Target: 1, At: time.Now(), Parts: []uint64{partHash(rarePart)}}
			tracker.RecordCrash(other, 0, other.At)
			time.Sleep(time.Second)
			return false
		}, reset), func(c *forward.Config) { c.Quarantine = tracker })
		f.cacheIndex.MarkRestored()
		_ = f.callWithParts("/talk/a", rarePart, guiltyPart, "e1")
		f.assertSuspected(tracker)
		f.Assert(tracker.Standing([]uint64{partHash(rarePart)}, time.Now()), qt.Equals, quarantine.Clear)
	})
	t.Run("the target has started again", func(t *testing.T) {
		tracker := quarantine.NewTracker()
		f := newFixture(t, 2, reset, func(c *forward.Config) { c.Quarantine = tracker })
		f.cacheIndex.MarkRestored()
		time.AfterFunc(200*time.Millisecond, f.restartTargets)
		_ = f.callWithParts("/chat/a", guiltyPart, "e1")
		f.assertSuspected(tracker)
	})
}

// Guards against a crash that is taken for the end of an answer that ends with its connection (BUDGET,
// issue 40).
func TestCrashThatEndsAnAnswerWithItsConnectionIsEvidence(t *testing.T) {
	var f *fixture
	tracker := quarantine.NewTracker()
	f = newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
		_, _ = io.WriteString(c, platformtest.UnframedStreamHead(r)+"id: 1\ndata: x\n\n")
		f.stopTarget(c)
		return false
	}, func(c *forward.Config) { c.Quarantine = tracker })
	f.cacheIndex.MarkRestored()
	_ = f.callWithParts("/talk/a", guiltyPart, "e1")
	f.assertSuspected(tracker)
}

// Guards against calls that notice a crash after the router knows of it and are no evidence (BUDGET,
// issue 40).
func TestLaterEndsAtACrashedTargetAreEvidence(t *testing.T) {
	tracker := quarantine.NewTracker()
	crashIsKnown := make(chan struct{})
	f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
		if slices.Contains(platformtest.Parts(r), guiltyPart) {
			<-crashIsKnown
		}
		return reset(c, r)
	}, func(c *forward.Config) { c.Quarantine = tracker })
	release := sync.OnceFunc(func() { close(crashIsKnown) })
	f.cacheIndex.MarkRestored()
	f.restartTargets() // They state a start time now.
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	t.Cleanup(release)
	group.Go(func() { _ = f.callWithParts("/chat/a", guiltyPart, "e1") })
	f.awaitRequests(1)
	group.Go(func() { _ = f.callWithParts("/chat/a", rarePart, "e1") })
	f.awaitRequests(2)
	f.restartTargets()
	f.awaitSuspected(tracker, rarePart)
	f.Assert(tracker.Standing([]uint64{partHash(guiltyPart)}, time.Now()), qt.Equals, quarantine.Clear)
	release()
	f.assertSuspected(tracker)
}

// Guards against probes in the number of the calls: all those that one target leaves share one.
func TestCallsThatATargetLeavesShareAProbe(t *testing.T) {
	const calls = 40
	var waiting sync.WaitGroup
	waiting.Add(calls)
	f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
		waiting.Done()
		waiting.Wait()
		return reset(c, r)
	})
	f.cacheIndex.MarkRestored()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { _ = f.callWithParts("/chat/a", "aa", "e1") })
	}
	group.Wait()
	f.Assert(f.targets[0].Connections() < calls+calls/4, qt.IsTrue, qt.Commentf("%d connections", f.targets[0].Connections()))
}

// assertSuspected waits until a crash speaks against guiltyPart.
func (f *fixture) assertSuspected(tracker *quarantine.Tracker) {
	f.Helper()
	f.awaitSuspected(tracker, guiltyPart)
}

// awaitSuspected waits until a crash speaks against a part.
func (f *fixture) awaitSuspected(tracker *quarantine.Tracker, part string) {
	f.Helper()
	suspected := func() bool {
		return tracker.Standing([]uint64{partHash(part)}, time.Now()) >= quarantine.Suspected
	}
	for deadline := time.Now().Add(3 * time.Second); !suspected(); time.Sleep(10 * time.Millisecond) {
		f.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the crash is not known"))
	}
}

// stopTarget closes the listener of the target that a connection belongs to.
func (f *fixture) stopTarget(c net.Conn) {
	f.stops[slices.IndexFunc(f.targets, func(s *rawserver.Server) bool { return s.Address() == c.LocalAddr().String() })]()
}

// restartTargets publishes a view with later incarnations of all targets.
func (f *fixture) restartTargets() {
	view := f.view.Load()
	var targets []*state.Target
	for _, old := range view.Targets.ByService["s"] {
		t := *old
		t.StartUnixMilli++
		targets = append(targets, &t)
	}
	f.view.Store(&state.View{Configuration: view.Configuration, Targets: state.NewTargets(targets)})
}

func (f *fixture) callWithParts(path string, parts ...string) response {
	return f.send(platformtest.Request(path, platformtest.AuthorizationLine+platformtest.PartsLine(parts...), "hello"))
}

func partHash(part string) uint64 {
	name, value, _ := strings.Cut(strings.TrimSpace(platformtest.PartsLine(part, "x")), ": ")
	return platform.DecodeCallHeaders([]http1.Field{http1.NewField(name, value)}).Parts[0].Hash
}

// Guards against a call that is sent from target to target although each of them crashes.
func TestCallWhoseTargetCrashed(t *testing.T) {
	t.Run("is sent to another target when nothing else speaks against it", func(t *testing.T) {
		f, _ := crashFixture(t)
		f.assertResponse(f.callWithParts("/talk/a", rarePart, "e1"), 200, wholeStream(1))
		f.Assert(f.targetRequests(), qt.Equals, 2)
	})
	t.Run("at once when its prompt has lately been answered", func(t *testing.T) {
		f, tracker := crashFixture(t)
		tracker.RecordAnswer([]uint64{partHash(rarePart)}, time.Now())
		started := time.Now()
		f.assertResponse(f.callWithParts("/talk/a", rarePart, "e1"), 200, wholeStream(1))
		f.Assert(time.Since(started) < 200*time.Millisecond, qt.IsTrue)
	})
	t.Run("ends when another target has crashed under its prompt", func(t *testing.T) {
		f, tracker := crashFixture(t)
		tracker.RecordCrash(quarantine.Crash{
			Target: 1, At: time.Now().Add(-time.Second), Parts: []uint64{partHash(guiltyPart)},
		}, 0, time.Now())
		f.assertResponse(f.callWithParts("/talk/a", guiltyPart, "e1"), 502, "")
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
}

func TestQuarantinedCalls(t *testing.T) {
	quarantined := func(t *testing.T) *fixture {
		f, tracker := crashFixture(t)
		now := time.Now()
		tracker.Restore([]quarantine.Record{{Part: partHash(guiltyPart), Crashes: 5, LastCrash: now, LastSeen: now}}, now)
		return f
	}
	for _, path := range []string{"/talk/a", "/chat/a"} {
		t.Run("are refused at once and not executed: "+path, func(t *testing.T) {
			f := quarantined(t)
			for range 5 {
				got := f.callWithParts(path, "aa", guiltyPart, "e1")
				f.Assert(got.Status, qt.Equals, 400)
				f.Assert(got.body, qt.Contains, "not executed")
				f.Assert(got.Field("retry-after"), qt.Equals, "")
			}
			f.Assert(f.targetRequests(), qt.Equals, 0)
		})
	}
	t.Run("others of the same chat, system prompt and key are served", func(t *testing.T) {
		f := quarantined(t)
		f.assertResponse(f.callWithParts("/talk/a", "aa", "bb", "e1"), 200, wholeStream(1))
	})
}

// Guards against the quarantine of sound prompts when connections break for other reasons.
func TestCutAnswersThatAreNoCrash(t *testing.T) {
	check := func(t *testing.T, change func(f *fixture)) {
		tracker := quarantine.NewTracker()
		f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
			_, _ = io.WriteString(c, platformtest.StreamHead(r))
			time.Sleep(100 * time.Millisecond)
			return reset(c, r)
		}, func(c *forward.Config) { c.Quarantine = tracker })
		f.cacheIndex.MarkRestored()
		change(f)
		_ = f.callWithParts("/talk/a", "aa", "e1")
		f.Assert(tracker.Standing([]uint64{partHash("aa")}, time.Now()), qt.Equals, quarantine.Clear)
	}
	t.Run("a target that accepts connections", func(t *testing.T) { check(t, func(*fixture) {}) })
	t.Run("a target that has left the list", func(t *testing.T) {
		check(t, func(f *fixture) {
			v := f.view.Load()
			time.AfterFunc(50*time.Millisecond, func() {
				f.stops[0]()
				f.view.Store(&state.View{Configuration: v.Configuration, Targets: state.NewTargets(nil)})
			})
		})
	})
}
