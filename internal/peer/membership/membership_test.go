package membership_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/peer/membership"

	"hickoryrock/internal/testing/seed"
)

const (
	// convergenceTime is stated in docs/design/0004-membership.md for up to eight routers.
	convergenceTime = 30 * time.Second
	fuzzRouters     = 8
	forgetTime      = 20 * time.Second
	// crashDetectionTime covers two passes of probes over up to eight routers, the
	// suspicion timeout and the spread of the update.
	crashDetectionTime = 12 * time.Second
	// deadSumRemovalTime covers the detection of a crash and the spread of a new sum.
	// It is shorter than the time after which the old sum is stale.
	deadSumRemovalTime = 9 * time.Second
	// maxSumAge is the maximum age of a total in a small fleet.
	maxSumAge     = 10 * time.Second
	settleTime    = 20 * time.Second
	seeds         = 40
	betweenFaults = 300 * time.Millisecond
)

// TestMain uses a fixed rapid seed unless the command line gives one.
func TestMain(m *testing.M) {
	seed.Main(m, seed.Settings{Checks: 100})
}

// TestFuzz runs a small fleet through random faults and checks the invariants after
// each step, and that all views converge once the faults have ended.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, fuzzRouters).Draw(t, "routers")
		capBytes := rapid.SampledFrom([]int{membership.MinBytesPerSecond, 2000, 6000}).Draw(t, "cap")
		w := newNetwork(n, capBytes, rapid.Uint64().Draw(t, "seed"), membership.ForgetAfter(forgetTime))
		for i := range n {
			w.start(i, false, true)
		}
		router := rapid.IntRange(0, n-1)
		running := func(t *rapid.T) (int, *process) {
			i := router.Draw(t, "router")
			if p := w.processes[i]; p.up && !p.paused {
				return i, p
			}
			t.Skip("not running")
			return 0, nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"crash":  func(t *rapid.T) { _, p := running(t); p.up = false },
			"pause":  func(t *rapid.T) { _, p := running(t); p.paused = true },
			"leave":  func(t *rapid.T) { i, _ := running(t); w.leave(i) },
			"resume": func(t *rapid.T) { w.resumeOne(t, router.Draw(t, "router")) },
			"restart": func(t *rapid.T) {
				w.start(router.Draw(t, "router"), rapid.Bool().Draw(t, "clock went back"), rapid.Bool().Draw(t, "ready"))
			},
			"lose": func(t *rapid.T) { w.lossRate = rapid.Float64Range(0, 0.9).Draw(t, "rate") },
			"cut": func(t *rapid.T) {
				w.partition(router.Draw(t, "first of the other side"), rapid.Bool().Draw(t, "one-sided"))
			},
			"heal": func(*rapid.T) { w.heal() },
			"": func(t *rapid.T) {
				w.advance(betweenFaults)
				assertNoViolation(t, w)
			},
		})
		w.heal()
		w.converge(convergenceTime)
		assertNoViolation(t, w)
		if d := w.viewMismatch(); d != "" {
			t.Fatalf("views differ %v after the last fault: %s", convergenceTime, d)
		}
	})
}

func (w *network) resumeOne(t *rapid.T, i int) {
	if p := w.processes[i]; !p.up || !p.paused {
		t.Skip("not paused")
	}
	w.resume(i)
}

// partition blocks packets from the routers below i to the others and, unless
// oneSided is set, in the other direction too.
func (w *network) partition(i int, oneSided bool) {
	for a := range i {
		for b := i; b < len(w.processes); b++ {
			w.blocked[[2]int{a, b}] = true
			if !oneSided {
				w.blocked[[2]int{b, a}] = true
			}
		}
	}
}

func assertNoViolation(t *rapid.T, w *network) {
	if w.violation != "" {
		t.Fatal(w.violation)
	}
}

func startedNetwork(c *qt.C, n int, seed uint64) *network {
	w := newNetwork(n, 6000, seed)
	for i := range n {
		w.start(i, false, true)
	}
	w.converge(convergenceTime)
	c.Assert(w.viewMismatch(), qt.Equals, "")
	return w
}

func assertNever(c *qt.C, w *network, d time.Duration, what string, bad func(observer int, m membership.Member) bool) {
	c.Helper()
	w.advance(d, func() {
		for i, p := range w.processes {
			if !p.up || p.paused {
				continue
			}
			for _, m := range p.d.View().Members {
				if bad(i, m) {
					w.fail("router-%d sees %s as %v: %s", i, m.Name, m.State, what)
				}
			}
		}
	})
	c.Assert(w.violation, qt.Equals, "")
}

func assertLeavesWithin(c *qt.C, w *network, limit time.Duration) {
	c.Helper()
	w.leave(0)
	c.Assert(w.converge(convergenceTime) < limit, qt.IsTrue)
}

func TestDetector(t *testing.T) {
	c := qt.New(t)

	c.Run("a network failure between two routers raises no suspicion", func(c *qt.C) {
		w := startedNetwork(c, 5, 7)
		w.blocked[[2]int{0, 1}], w.blocked[[2]int{1, 0}] = true, true
		assertNever(c, w, time.Minute, "others still reach it", func(_ int, m membership.Member) bool {
			return m.State != membership.Live
		})
	})

	c.Run("a router that resumes after a pause declares no router dead", func(c *qt.C) {
		w := startedNetwork(c, 5, 7)
		w.partition(1, false)
		w.advance(1600 * time.Millisecond)
		w.processes[0].paused = true
		w.advance(20 * time.Second)
		w.heal()
		assertNever(c, w, 20*time.Second, "it never stopped", func(observer int, m membership.Member) bool {
			return observer == 0 && m.State == membership.Dead
		})
	})

	c.Run("a pause does not extend suspicions that arrive after resuming", func(c *qt.C) {
		w := startedNetwork(c, 4, 7)
		w.processes[1].paused = true
		w.processes[0].up = false
		w.advance(25 * time.Second)
		w.heal()
		c.Assert(w.converge(convergenceTime) < crashDetectionTime, qt.IsTrue)
	})

	c.Run("after a partition no router of the same side is declared dead", func(c *qt.C) {
		w := startedNetwork(c, 8, 7)
		w.partition(4, false)
		w.advance(30 * time.Second)
		w.heal()
		assertNever(c, w, 20*time.Second, "they were never separated", func(observer int, m membership.Member) bool {
			other, _ := strconv.Atoi(strings.TrimPrefix(m.Name, "router-"))
			return (observer < 4) == (other < 4) && m.State == membership.Dead
		})
	})

	c.Run("a resumed router learns from its first probes that it was declared dead", func(c *qt.C) {
		w := startedNetwork(c, 5, 7)
		w.processes[0].paused = true
		w.advance(20 * time.Second)
		w.processes[0].backlog = nil
		w.heal()
		c.Assert(w.converge(convergenceTime) < 2*time.Second, qt.IsTrue)
	})

	c.Run("a router learns that it was declared dead even when the byte cap is nearly used up", func(c *qt.C) {
		w := newNetwork(2, membership.MinBytesPerSecond, 7)
		w.start(0, false, true)
		w.start(1, false, true)
		w.advance(settleTime)
		w.processes[1].up = false
		w.advance(settleTime)
		ping := membership.Packet{Address: "1", Probe: &peerv1.Probe{
			Kind: peerv1.Probe_KIND_PING, Sender: "router-1", Subject: "router-0",
		}}
		withClaim, acks := 0, 0
		for range membership.MinBytesPerSecond {
			packets := w.processes[0].d.Receive(w.now, ping)
			if len(packets) == 0 {
				break
			}
			acks++
			for _, m := range packets[0].Probe.GetMembers() {
				if m.GetName() == "router-1" && m.GetState() == peerv1.MemberState_MEMBER_STATE_DEAD {
					withClaim++
				}
			}
		}
		c.Assert(acks > 3 && acks < membership.MinBytesPerSecond/simHeaderBytes, qt.IsTrue, qt.Commentf("%d acks", acks))
		c.Assert(withClaim >= acks-1, qt.IsTrue, qt.Commentf("%d of %d acks", withClaim, acks))
	})

	c.Run("a crash is detected in the stated time", func(c *qt.C) {
		w := startedNetwork(c, 8, 7)
		w.processes[0].up = false
		c.Assert(w.converge(convergenceTime) < crashDetectionTime, qt.IsTrue)
	})

	c.Run("a leaving router is out of every view within a second", func(c *qt.C) {
		for seed := range uint64(seeds) {
			w := startedNetwork(c, 8, seed)
			w.advance(settleTime)
			assertLeavesWithin(c, w, time.Second)
		}
	})

	c.Run("a router that leaves while the fleet starts is out within a few seconds", func(c *qt.C) {
		for seed := range uint64(seeds) {
			assertLeavesWithin(c, startedNetwork(c, 8, seed), 3*time.Second)
		}
	})

	c.Run("a joining router is live only once it is ready", func(c *qt.C) {
		w := startedNetwork(c, 4, 7)
		w.processes[0].up = false
		w.converge(convergenceTime)
		w.start(0, true, false)
		assertNever(c, w, 10*time.Second, "it is not ready", func(_ int, m membership.Member) bool {
			return m.Name == "router-0" && m.State == membership.Live
		})
	})
}

func assertTotals(c *qt.C, w *network, service string, targets int) {
	c.Helper()
	for _, p := range w.processes {
		if !p.up {
			continue
		}
		got := 0
		for _, t := range p.d.Totals(w.now) {
			if t.Service == service {
				got += int(t.Targets)
				c.Assert(t.Age <= maxSumAge, qt.IsTrue, qt.Commentf("router-%d: %v old", p.index, t.Age))
			}
		}
		c.Assert(got, qt.Equals, targets, qt.Commentf("router-%d", p.index))
	}
}

func TestTotals(t *testing.T) {
	c := qt.New(t)
	const routers = 18
	start := func() *network {
		w := startedNetwork(c, routers, 7)
		for i, p := range w.processes {
			p.d.SetLoads([]membership.Load{{Service: "notes", Units: uint64(i), Targets: 2}})
		}
		w.advance(settleTime)
		return w
	}

	c.Run("reach every router", func(c *qt.C) {
		assertTotals(c, start(), "notes", 2*routers)
	})

	c.Run("exclude a dead router, relay or not, before its sum is stale", func(c *qt.C) {
		for _, i := range []int{0, 6, 12} {
			w := start()
			w.processes[i].up = false
			w.advance(deadSumRemovalTime)
			assertTotals(c, w, "notes", 2*(routers-1))
		}
	})

	c.Run("exclude a failure domain that is partitioned off", func(c *qt.C) {
		w := start()
		w.partitionDomain()
		w.advance(2 * convergenceTime)
		got := w.processes[1].d.Totals(w.now)
		c.Assert(got, qt.HasLen, 1)
		c.Assert(int(got[0].Targets), qt.Equals, 2*(routers-routers/6))
	})
}
