package replica

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/platform/objects"

	"hickoryrock/internal/testing/seed"
)

// TestMain fixes the random seed, so that runs without flags are reproducible.
func TestMain(m *testing.M) {
	seed.Main(m, seed.Settings{})
}

var domains = []string{"a", "b", "c"}

// TestReplicasAgainstOracle injects faults into routers, operator writes, the network
// and the platform, and compares the routers with the platform's log after every
// step.
func TestReplicasAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.requireConfirm = rapid.Bool().Draw(t, "confirming")
		for i := range rapid.IntRange(2, 7).Draw(t, "routers") {
			sim.startRouter(fmt.Sprintf("r%d", i), domains[i%len(domains)])
		}
		for range 25 {
			sim.runRound()
		}
		t.Repeat(sim.actions())
		sim.clearFaults()
		for range int(convergenceTime / tickLength) {
			sim.runRound()
			sim.checkAll()
		}
		sim.checkEqual(resource.Kinds())
		for range int((DefaultTiming().UnlistedTimeout + convergenceTime) / tickLength) {
			sim.runRound()
			sim.checkAll()
		}
		sim.checkEqual(Kinds())
		last := uint64(0)
		for _, version := range sim.versionsAt(uint64(len(sim.writeLog))) {
			last = max(last, version)
		}
		if sim.writtenStatus.InForce < last {
			t.Fatalf("version %d is in force long after the faults ended, want %d", sim.writtenStatus.InForce, last)
		}
	})
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { sim.checkAll() },
		"write": func(t *rapid.T) {
			name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "object")
			k := objects.Key{Kind: resource.KindService, Name: name}
			// An invalid version does not change the active configuration, so there
			// would be nothing to confirm.
			valid := sim.requireConfirm || rapid.IntRange(0, 4).Draw(t, "valid") > 0
			sim.write(k, serviceData(name, valid), false)
		},
		"delete": func(t *rapid.T) {
			k := objects.Key{Kind: resource.KindService, Name: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "object")}
			if _, ok := sim.current[k]; ok {
				sim.write(k, nil, true)
			}
		},
		"rounds": func(t *rapid.T) {
			for range rapid.IntRange(1, 30).Draw(t, "rounds") {
				sim.runRound()
				sim.checkAll()
			}
		},
		"step one": func(t *rapid.T) {
			sim.now = sim.now.Add(tickLength)
			sim.step(sim.drawRouter(t))
		},
		"deliver": func(t *rapid.T) {
			if n := len(sim.inFlight); n > 0 {
				sim.deliver(rapid.IntRange(0, n-1).Draw(t, "message"))
			}
		},
		"lose": func(t *rapid.T) {
			if n := len(sim.inFlight); n > 0 {
				i := rapid.IntRange(0, n-1).Draw(t, "message")
				sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
			}
		},
		"duplicate": func(t *rapid.T) {
			if n := len(sim.inFlight); n > 0 {
				sim.inFlight = append(sim.inFlight, sim.inFlight[rapid.IntRange(0, n-1).Draw(t, "message")])
			}
		},
		"pause or resume": func(t *rapid.T) { r := sim.drawRouter(t); r.paused = !r.paused },
		"platform for one": func(t *rapid.T) {
			name := sim.drawRouter(t).peer.Name
			sim.reachable[name] = !sim.reachable[name]
		},
		"platform for all": func(t *rapid.T) {
			sim.setPlatformReachable(rapid.Bool().Draw(t, "up"))
		},
		"isolate or rejoin": func(t *rapid.T) {
			name := sim.drawRouter(t).peer.Name
			sim.isolated[name] = !sim.isolated[name]
		},
		"restart empty": func(t *rapid.T) {
			p := sim.drawRouter(t).peer
			sim.startRouter(p.Name, p.FailureDomain)
		},
		"replace": func(t *rapid.T) {
			p := sim.drawRouter(t).peer
			delete(sim.routers, p.Name)
			delete(sim.listedVMs, p.Name)
			sim.startRouter(fmt.Sprintf("n%d", sim.routersStarted), p.FailureDomain)
		},
		"interrupted start": func(t *rapid.T) {
			// A router is paused or isolated at some point during startup while a
			// change is distributed.
			p := sim.drawRouter(t).peer
			if len(sim.routers) < 9 && rapid.Bool().Draw(t, "new name") {
				p.Name = fmt.Sprintf("n%d", sim.routersStarted)
			}
			sim.startRouter(p.Name, p.FailureDomain)
			sim.setPlatformReachable(rapid.Bool().Draw(t, "platform"))
			for range rapid.IntRange(0, 6).Draw(t, "rounds before") {
				sim.runRound()
				sim.checkAll()
			}
			sim.step(sim.routers[p.Name])
			sim.routers[p.Name].paused = rapid.Bool().Draw(t, "paused")
			sim.isolated[p.Name] = true
			sim.setPlatformReachable(true)
			sim.reachable[p.Name] = false
			sim.write(objects.Key{Kind: resource.KindService, Name: "x"}, serviceData("x", true), false)
			for range rapid.IntRange(10, 40).Draw(t, "rounds after") {
				sim.runRound()
				sim.checkAll()
			}
			sim.routers[p.Name].paused, sim.isolated[p.Name], sim.reachable[p.Name] = false, false, true
		},
		"membership": func(t *rapid.T) {
			r := sim.drawRouter(t)
			peers := sim.peersOf(r.peer.Name)
			hidden := rapid.IntRange(0, len(peers)).Draw(t, "hidden")
			if hidden < len(peers) {
				peers = slices.Delete(peers, hidden, hidden+1)
			}
			r.state.SetPeers(peers)
		},
		"unlist": func(t *rapid.T) {
			// The VM list may not yet contain a router that has just started.
			name := sim.drawRouter(t).peer.Name
			if sim.now.Sub(sim.routers[name].state.started) < time.Second {
				delete(sim.listedVMs, name)
			}
		},
	}
}

// TestRegistrationRemoved checks that a router stops serving when its registration is
// removed and changes no longer wait for it, and that it serves again only after it
// has rejoined.
func TestRegistrationRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.startRouter("r0", "a")
		sim.startRouter("r1", "b")
		sim.clearFaults()
		for range rapid.IntRange(10, 20).Draw(t, "rounds") {
			sim.runRound()
		}
		r := sim.routers["r0"]
		before := r.state.incarnation
		deletion := sim.write(registrationKey("r0"), nil, true)
		served := false
		for limit := sim.now.Add(convergenceTime); r.state.incarnation == before; {
			if sim.now.After(limit) {
				t.Fatal("r0 has not noticed that its registration was removed")
			}
			sim.runRound()
			served = served || r.state.config.CompleteVersion() >= deletion && r.state.Serving(sim.now)
		}
		if served || r.state.Serving(sim.now) {
			t.Fatal("r0 serves although its registration was removed")
		}
		for range int(convergenceTime / tickLength) {
			sim.runRound()
		}
		sim.checkEqual(Kinds())
	})
}

// TestRemovableRegistrations checks when a router that is missing from the platform's
// VM list loses its registration.
func TestRemovableRegistrations(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	r0, r1 := objects.VM{Name: "r0"}, objects.VM{Name: "r1"}
	for _, tt := range []struct {
		name   string
		before []objects.VM
		now    []objects.VM
		after  time.Duration
		want   int
	}{
		{"listed", []objects.VM{r0, r1}, []objects.VM{r0, r1}, time.Hour, 0},
		{"missing briefly", []objects.VM{r0, r1}, []objects.VM{r0}, 4 * time.Second, 0},
		{"missing for the whole timeout", []objects.VM{r0, r1}, []objects.VM{r0}, 5 * time.Second, 1},
		{"not listed yet", []objects.VM{r0}, []objects.VM{r0}, 29 * time.Second, 0},
		{"never listed", []objects.VM{r0}, []objects.VM{r0}, 30 * time.Second, 1},
		{"list without this router", []objects.VM{r0, r1}, nil, time.Hour, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Peer{Name: "r0"}, 1, DefaultTiming(), start)
			s.config.Apply([]Update{{Newest: objects.Object{Key: registrationKey("r1"), Version: 1, Data: []byte("{}")}}})
			s.RemovableRegistrations(start, tt.before)
			s.RemovableRegistrations(start, tt.now)
			qt.New(t).Assert(s.RemovableRegistrations(start.Add(tt.after), tt.now), qt.HasLen, tt.want)
		})
	}
}

func (sim *simulation) setPlatformReachable(up bool) {
	for name := range sim.reachable {
		sim.reachable[name] = up
	}
}

func (sim *simulation) drawRouter(t *rapid.T) *simRouter {
	return sim.routers[rapid.SampledFrom(slices.Sorted(maps.Keys(sim.routers))).Draw(t, "router")]
}
