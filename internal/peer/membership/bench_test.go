package membership_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/peer/membership"
)

const (
	fleetCap           = 6000
	fleetServices      = 8
	fleetSettle        = 60 * time.Second
	fleetSteady        = 60 * time.Second
	steadySettle       = 40 * time.Second
	steadyTime         = 20 * time.Second
	fleetTargets       = 64
	maxConvergenceTime = 10 * time.Minute
)

// BenchmarkFleet measures a router's bytes, CPU time and memory, and how long the
// fleet takes to converge after crashes, joins, leaves, pauses and partitions.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 32, 128, 330} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for range b.N {
				measureFleet(b, n)
			}
		})
	}
}

func measureFleet(b *testing.B, n int) {
	c := qt.New(b)
	before := heapBytes()
	w := newNetwork(n, fleetCap, 7)
	for i := range n {
		w.start(i, false, true)
	}
	b.ReportMetric(w.converge(maxConvergenceTime).Seconds(), "start-s")
	for _, p := range w.processes {
		p.d.SetLoads(testLoads(p.index))
	}
	w.advance(fleetSettle)
	b.ReportMetric(float64(heapBytes()-before)/float64(n*n), "B/member")
	reportSteady(b, w, fleetSteady)

	w.processes[n/2].up = false
	b.ReportMetric(w.converge(maxConvergenceTime).Seconds(), "crash-s")
	w.start(n/2, false, true)
	b.ReportMetric(w.ownershipConflictTime().Seconds(), "join-two-owners-s")
	w.leave(n / 3)
	b.ReportMetric(w.ownershipConflictTime().Seconds(), "leave-two-owners-s")
	w.processes[0].paused = true
	w.advance(fleetSettle)
	w.processes[0].backlog = nil
	w.heal()
	b.ReportMetric(w.ownershipConflictTime().Seconds(), "wake-two-owners-s")
	w.partitionDomain()
	w.advance(fleetSettle)
	w.heal()
	b.ReportMetric(w.ownershipConflictTime().Seconds(), "heal-two-owners-s")
	b.ReportMetric(0, "ns/op")
	c.Assert(w.violation, qt.Equals, "")
}

func reportSteady(b *testing.B, w *network, length time.Duration) {
	for _, p := range w.processes {
		p.sent, p.received = 0, 0
	}
	start := time.Now()
	w.advance(length)
	cpu := time.Since(start).Seconds() / length.Seconds() / float64(len(w.processes))
	sent, maxSent, maxReceived := 0, 0, 0
	for _, p := range w.processes {
		sent += p.sent
		maxSent, maxReceived = max(maxSent, p.sent), max(maxReceived, p.received)
	}
	seconds := length.Seconds()
	b.ReportMetric(float64(sent)/float64(len(w.processes))/seconds, "sent-B/s")
	b.ReportMetric(float64(maxSent)/seconds, "max-sent-B/s")
	b.ReportMetric(float64(maxReceived)/seconds, "max-received-B/s")
	b.ReportMetric(cpu*100, "core-%")
	age, missing := time.Duration(0), 0
	for _, p := range w.processes {
		for _, t := range p.d.Totals(w.now) {
			age = max(age, t.Age)
			missing = max(missing, len(w.processes)/2*2-int(t.Targets))
		}
	}
	b.ReportMetric(age.Seconds(), "sum-age-s")
	b.ReportMetric(float64(missing), "sum-missing")
}

// testLoads returns loads of two targets for each of half the services.
func testLoads(i int) []membership.Load {
	var loads []membership.Load
	for s := i % 2; s < fleetServices; s += 2 {
		loads = append(loads, membership.Load{Service: fmt.Sprintf("service-%d", s), Units: 1000, Targets: 2})
	}
	return loads
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// partitionDomain blocks all packets between one failure domain and the others.
func (w *network) partitionDomain() {
	for a := range w.processes {
		for b := range w.processes {
			if (a%6 == 0) != (b%6 == 0) {
				w.blocked[[2]int{a, b}] = true
			}
		}
	}
}

// ownershipConflictTime runs the network until all views are correct and returns
// how long after the start two routers last both considered themselves the owner of
// a target.
func (w *network) ownershipConflictTime() time.Duration {
	start, last := w.now, time.Duration(0)
	for w.viewMismatch() != "" && w.now.Sub(start) < maxConvergenceTime {
		w.advance(simStep)
		if w.hasOwnershipConflict() {
			last = w.now.Sub(start)
		}
	}
	return last
}

func (w *network) hasOwnershipConflict() bool {
	var owners [fleetTargets]int
	for _, p := range w.processes {
		if !p.up || p.paused {
			continue
		}
		for _, target := range p.ownedTargets() {
			if owners[target]++; owners[target] > 1 {
				return true
			}
		}
	}
	return false
}

// ownedTargets returns the targets that the router considers itself the owner of.
func (p *process) ownedTargets() []int {
	v := p.d.View()
	if p.ownedAt == v.Version {
		return p.owned
	}
	p.ownedAt, p.owned = v.Version, nil
	for target := range fleetTargets {
		if owner(v.Live, target) == v.Self.Name {
			p.owned = append(p.owned, target)
		}
	}
	return p.owned
}

// owner returns the owner of a target by rendezvous hashing over the live routers.
func owner(live []membership.Member, target int) string {
	best, bestHash := "", uint64(0)
	for _, m := range live {
		if h := xxhash.Sum64String(m.Name + "/" + strconv.Itoa(target)); h >= bestHash {
			best, bestHash = m.Name, h
		}
	}
	return best
}

// BenchmarkSteady measures a router's bytes and CPU time while nothing fails.
func BenchmarkSteady(b *testing.B) {
	for _, n := range []int{8, 32, 128, 330} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for range b.N {
				w := newNetwork(n, fleetCap, 7)
				for i := range n {
					w.start(i, false, true)
				}
				for _, p := range w.processes {
					p.d.SetLoads(testLoads(p.index))
				}
				w.advance(steadySettle)
				reportSteady(b, w, steadyTime)
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
