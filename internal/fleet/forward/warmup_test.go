package forward_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetpace"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// coldRate is the rate of cold targets in these tests, in calls a second. The only router may send
// one call at any moment, and the rate.
const coldRate = 2

// newPace returns the tracker of a router that knows that it is the only one.
func newPace(opts ...targetpace.Option) *targetpace.Tracker {
	tr := targetpace.NewTracker(func() (uint64, []uint64) { return 1, nil }, opts...)
	tr.SetMean("other", nil, 0, time.Now().Add(-time.Hour))
	tr.SetMean("other", nil, 0, time.Now())
	return tr
}

// withColdRate sets the bound on cold targets that services may have.
func withColdRate(c *forward.Config) {
	c.Pace = newPace()
	c.ColdLimit = func(s state.Service) targetpace.Limit {
		return targetpace.Limit{PerSecond: s.ColdRate, Overshoot: 1.5, Slack: 5}
	}
}

func withWindows(c *forward.Config) { c.Pace, c.HasPressure = newPace(), true }

// chill makes target 0 cold for a minute.
func (f *fixture) chill() {
	services := map[string]state.Service{"s": {Name: "s", ColdRate: coldRate, CacheTransfer: true}}
	f.view.Load().Configuration.Services = services
	f.change(func(t *state.Target) {
		if t.Address == f.targets[0].Address() {
			t.HasCold, t.ColdLeft, t.ReceivedAt = true, time.Minute, time.Now()
		}
	})
}

// tolerateSilence lets targets hold the answers of the route "chat" without being taken for silent,
// after which calls avoid them.
func (f *fixture) tolerateSilence() {
	configuration := f.view.Load().Configuration
	for i := range configuration.Routes {
		if r := &configuration.Routes[i]; r.Name == "chat" {
			r.Timeout, r.LatencyObjective = 10*time.Second, time.Minute
		}
	}
	configuration.Index()
}

// all runs n calls at once.
func all(n int, call func()) {
	var group sync.WaitGroup
	for range n {
		group.Go(call)
	}
	group.Wait()
}

// assertCold checks that target 0 has got some requests, but no more than the only router's share
// since a time.
func (f *fixture) assertCold(requests int, since time.Time) {
	f.Helper()
	most := 1 + int(coldRate*time.Since(since).Seconds())
	f.Assert(requests >= 1 && requests <= most, qt.IsTrue, qt.Commentf("%d requests, %d may be", requests, most))
}

// Guards against more calls to a cold target than it bears, on whatever way they get there.
func TestColdRateBoundsAllRequests(t *testing.T) {
	t.Run("first attempts at once", func(t *testing.T) {
		f := newFixture(t, 2, always("200 OK", "", "x"), withColdRate)
		f.chill()
		started := time.Now()
		for range 3 {
			all(30, func() { f.assertResponse(f.call("/once/a"), 200, "x") })
		}
		f.assertCold(f.received()[0], started)
	})
	t.Run("retries", func(t *testing.T) {
		var f *fixture
		f = newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
			if c.LocalAddr().String() == f.targets[0].Address() {
				return always("200 OK", "", "x")(c, r)
			}
			return write(platformtest.NotExecuted)(c, r)
		}, withColdRate)
		f.chill()
		started := time.Now()
		all(20, func() { _ = f.call("/once/a") })
		f.assertCold(f.received()[0], started)
	})
	t.Run("resumed streams", func(t *testing.T) {
		var f *fixture
		f = newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
			if c.LocalAddr().String() == f.targets[0].Address() {
				return eventScript(9, 9)(c, r)
			}
			return eventScript(9, 4)(c, r)
		}, withColdRate)
		f.chill()
		started := time.Now()
		all(10, func() { _ = f.call("/resume/a") })
		f.assertCold(f.received()[0], started)
	})
	t.Run("fetches from its cache", func(t *testing.T) {
		f := newFixture(t, 2, always("200 OK", "", "x"), withColdRate,
			func(c *forward.Config) { c.EvacuatedFetchTime = time.Minute })
		f.chill()
		source := f.view.Load().Targets.ByService["s"][0]
		var prompts []string // Each is fetched once.
		for i := range 20 {
			line := platformtest.PartsLine(fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i))
			prompts = append(prompts, line)
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			for _, p := range platform.DecodeCallHeaders([]http1.Field{http1.NewField(name, value)}).Parts {
				f.cacheIndex.Restore([]affinity.Holding{{Part: p.Hash, Target: source.Hash, Prefilled: true}}, time.Now())
			}
		}
		f.cacheIndex.MarkRestored()
		f.evacuate(time.Now(), 0) // It gets no calls, but others may fetch from it.
		started := time.Now()
		for _, line := range prompts {
			f.assertResponse(f.send(platformtest.Request("/chat/a", platformtest.AuthorizationLine+line, "x")), 200, "x")
		}
		fetches := 0
		for _, r := range f.targets[1].Requests() {
			if platformtest.DecodeForwarded(r).CacheSource == source.Address {
				fetches++
			}
		}
		f.assertCold(fetches, started)
	})
	t.Run("granted slots", func(t *testing.T) {
		f := newSlotFixture(t, 2, always("200 OK", "", "x"), withColdRate)
		f.chill()
		f.grant(0)
		started := time.Now()
		all(20, func() { f.assertResponse(f.call("/once/a"), 200, "x") })
		f.assertCold(f.received()[0], started)
	})
	t.Run("a target that says in an answer that it is cold", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "X-Hickoryrock-Cold-Ms: 60000\r\n", "x"), withColdRate)
		f.chill()
		f.change(func(t *state.Target) { t.HasCold = false })
		started := time.Now()
		f.assertResponse(f.call("/once/a"), 200, "x")
		all(10, func() { _ = f.call("/once/a") })
		// The call whose answer says so was sent before.
		f.assertCold(f.received()[0]-1, started)
	})
	t.Run("a refusal names the reason and a time", func(t *testing.T) {
		log := new(lines)
		f := newFixture(t, 1, always("200 OK", "", "x"), withColdRate, withLog(log))
		f.chill()
		f.assertResponse(f.call("/once/a"), 200, "x")
		got := f.call("/once/a")
		f.assertResponse(got, 503, "")
		f.Assert(f.retryAfter(got) > 300*time.Millisecond, qt.IsTrue)
		for end := time.Now().Add(2 * time.Second); len(log.ofCalls()) < 2 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		f.Assert(strings.Contains(strings.Join(log.ofCalls(), ""), `"reason":"warming"`), qt.IsTrue)
	})
	t.Run("a service without a rate is not bounded", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", "", "x"), withColdRate)
		f.chill()
		f.view.Load().Configuration.Services["s"] = state.Service{Name: "s"}
		for range 20 {
			f.assertResponse(f.call("/once/a"), 200, "x")
		}
	})
}

// Guards against a target that is flooded when it comes back, and against targets that are held
// back in deployments that have no windows.
func TestRecoveredTargetGetsItsShareStepByStep(t *testing.T) {
	evacuation := func(f *fixture) func() {
		f.evacuate(time.Now(), 0)
		return func() { f.evacuate(time.Now()) }
	}
	ejection := func(f *fixture) func() {
		f.tracker.RecordUnreachable(f.hash(0), time.Now())
		return func() {
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if !f.tracker.Summaries([]uint64{f.hash(0)}, time.Now())[0].Ejected {
					return
				}
			}
			f.Fatal("still ejected")
		}
	}
	backoff := func(*fixture) func() {
		return func() { time.Sleep(1100 * time.Millisecond) }
	}
	for name, tc := range map[string]struct {
		exclude func(f *fixture) (end func())
		opts    func(*forward.Config)
		load    string
		limited bool
	}{
		"an evacuation":                   {exclude: evacuation, opts: withWindows, limited: true},
		"an ejection":                     {exclude: ejection, opts: withWindows, limited: true},
		"a Retry-After":                   {exclude: backoff, opts: withWindows, limited: true},
		"an evacuation, four figures":     {exclude: evacuation, opts: withColdRate, load: "1,0,6,140"},
		"an evacuation, three figures":    {exclude: evacuation, opts: withColdRate, load: "1,0,6"},
		"an evacuation, without any pace": {exclude: evacuation, opts: func(*forward.Config) {}, load: "1,0,6,140"},
		"a Retry-After, without pressure": {exclude: backoff, opts: withColdRate, load: "1,0,6"},
	} {
		t.Run(name, func(t *testing.T) {
			goOn := make(chan struct{})
			var f *fixture
			var refuses atomic.Bool
			refuses.Store(strings.HasPrefix(name, "a Retry-After"))
			f = newFixture(t, 3, func(c net.Conn, r rawserver.Request) bool {
				switch {
				case strings.HasPrefix(r.Target, "/chat"):
					<-goOn
				case refuses.Load() && c.LocalAddr().String() == f.targets[0].Address():
					_, err := io.WriteString(c, platformtest.NotExecutedWith(r, platformtest.RetryAfterLine("1")))
					return err == nil
				}
				lines := ""
				if tc.load != "" {
					lines = platformtest.LoadLine(tc.load)
				}
				return always("200 OK", lines, "x")(c, r)
			}, tc.opts)
			f.cacheIndex.MarkRestored()
			f.tolerateSilence()
			calls := 0
			call := func() {
				calls++ // The targets are chosen by the calls' IDs.
				f.assertResponse(f.send(platformtest.Call(fmt.Sprint("c-", calls), "POST", "/open/a", 1000, "x")), 200, "x")
			}
			for f.received()[0] == 0 { // Until target 0 has refused one, and a fourth figure is known.
				call()
			}
			end := tc.exclude(f)
			call()
			end()
			refuses.Store(false)
			call()
			before, sent := f.received()[0], f.targetRequests()
			var group sync.WaitGroup
			for i := range 24 {
				group.Go(func() { _ = f.call("/chat/a") })
				if !tc.limited {
					// Calls that are chosen at the same moment do not know of each other, so that
					// targets get unequal parts of them.
					f.awaitRequests(sent + i + 1)
				}
			}
			f.awaitRequests(sent + 24)
			inFlight := f.received()[0] - before
			close(goOn)
			group.Wait()
			if tc.limited {
				f.Assert(inFlight <= 4, qt.IsTrue, qt.Commentf("%d calls in flight", inFlight))
				return
			}
			f.Assert(inFlight >= 6, qt.IsTrue, qt.Commentf("%d calls in flight", inFlight))
		})
	}
	t.Run("also where all calls have slots", func(t *testing.T) {
		changes := make(chan targetpace.Change, 10)
		f := newSlotFixture(t, 3, always("200 OK", "", "x"), func(c *forward.Config) {
			c.Pace = newPace(targetpace.WithOnChange(func(change targetpace.Change) { changes <- change }))
		})
		f.assertResponse(f.call("/once/a"), 200, "x")
		f.evacuate(time.Now(), 0)
		f.assertResponse(f.call("/once/a"), 200, "x")
		f.evacuate(time.Now())
		f.assertResponse(f.call("/once/a"), 200, "x")
		f.Assert(len(changes) > 0, qt.IsTrue)
		first := <-changes
		f.Assert([]any{first.Target, first.To.Window, first.Why}, qt.DeepEquals, []any{f.hash(0), 2, "evacuated"})
	})
}

// Guards against a lock that all calls share, and a search of the routers, in deployments that
// have neither cold targets nor windows.
func TestPaceCostsNothingWhereNothingIsSwitchedOn(t *testing.T) {
	for name, script := range map[string]rawserver.Handler{
		"200": always("200 OK", platformtest.LoadLine("3,0,8")+"X-Hickoryrock-Cold-Ms: 1000\r\n", "x"),
		"500": always("500 Error", platformtest.LoadLine("3,0,8"), "x"), "503": write(platformtest.NotExecuted), "reset": reset,
	} {
		t.Run(name, func(t *testing.T) {
			var uses atomic.Int64
			f := newFixture(t, 3, script, withColdRate, func(c *forward.Config) {
				c.Pace = targetpace.NewTracker(func() (uint64, []uint64) {
					uses.Add(1) // At the first use.
					return 1, nil
				})
			})
			for _, path := range []string{"/once/a", "/safe/a", "/resume/a", "/chat/a"} {
				_ = f.call(path)
			}
			f.Assert(f.targetRequests() >= 4, qt.IsTrue)
			f.Assert(uses.Load(), qt.Equals, int64(0))
		})
	}
}

func withLog(l *lines) func(*forward.Config) {
	return func(c *forward.Config) { c.Log = zerolog.New(l) }
}
