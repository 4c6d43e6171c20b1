package affinity_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/affinity"
)

const (
	shortTargets   = 6
	shortSlots     = 6
	shortServiceMS = 30.0
)

// shortFleet simulates routers that send short calls to plain targets. Each router knows
// its own calls, and those of the others as of their last report.
type shortFleet struct {
	routers  int
	inFlight [][]int
	reported [][]int
	sums     []int
	busy     []int
	ends     endQueue
}

type callEnd struct {
	at             float64
	router, target int
}

type endQueue []callEnd

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q endQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *endQueue) Push(x any)        { *q = append(*q, x.(callEnd)) }
func (q *endQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newShortFleet(routers int) *shortFleet {
	f := &shortFleet{routers: routers, sums: make([]int, shortTargets), busy: make([]int, shortTargets)}
	for range routers {
		f.inFlight = append(f.inFlight, make([]int, shortTargets))
		f.reported = append(f.reported, make([]int, shortTargets))
	}
	return f
}

// run returns the share of calls that find all slots of their target taken.
func (f *shortFleet) run(random *rand.Rand, callsPerSecond, reportMS float64, stale bool) float64 {
	calls, full := 0, 0
	nextReport := make([]float64, f.routers)
	for r := range nextReport {
		nextReport[r] = random.Float64() * reportMS
	}
	for now := 0.0; now < 20000; now += random.ExpFloat64() * 1000 / callsPerSecond {
		for len(f.ends) > 0 && f.ends[0].at <= now {
			e := heap.Pop(&f.ends).(callEnd)
			f.inFlight[e.router][e.target]--
			f.busy[e.target]--
		}
		for r := range nextReport {
			if nextReport[r] > now {
				continue
			}
			nextReport[r] += reportMS
			for t := range shortTargets {
				f.sums[t] += f.inFlight[r][t] - f.reported[r][t]
				f.reported[r][t] = f.inFlight[r][t]
			}
		}
		router := random.IntN(f.routers)
		all := candidates(shortTargets)
		for t := range all {
			all[t].SameDomain = t == router%shortTargets
			all[t].Calls = f.sums[t] - f.reported[router][t] + f.inFlight[router][t]
		}
		choice := affinity.NewCacheIndex().Choose(affinity.Request{Seed: random.Uint64(), Factor: 2, StaleCounts: stale}, all, start.Add(time.Duration(now)))
		calls++
		if f.busy[choice.Index] >= shortSlots {
			full++
		}
		f.busy[choice.Index]++
		f.inFlight[router][choice.Index]++
		heap.Push(&f.ends, callEnd{now + shortServiceMS*(0.5+random.Float64()), router, choice.Index})
	}
	return float64(full) / float64(calls)
}

// erlangC returns the probability that all servers of a queue are busy, for a load in
// servers. It is the share of calls that wait if each target gets a random part of them.
func erlangC(servers int, load float64) float64 {
	blocked := 1.0
	for n := 1; n <= servers; n++ {
		blocked = load * blocked / (float64(n) + load*blocked)
	}
	utilization := load / float64(servers)
	return blocked / (1 - utilization + utilization*blocked)
}

// Guards against many routers that choose the same target until they hear of its load:
// each of hundreds of routers reports its calls twice a second, and a call takes 30 ms.
// Calls must find a free slot as often as with an even random split.
func TestStaleCountsDoNotAttractAllRouters(t *testing.T) {
	for _, test := range []struct {
		name           string
		routers        int
		callsPerSecond float64
		reportMS       float64
	}{
		{"8 routers", 8, 640, 110},
		{"87 routers", 87, 640, 250},
		{"295 routers", 295, 640, 590},
		{"295 routers and little load", 295, 200, 590},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			full := newShortFleet(test.routers).run(rand.New(rand.NewPCG(1, 1)), test.callsPerSecond, test.reportMS, true)
			random := erlangC(shortSlots, test.callsPerSecond*shortServiceMS/1000/shortTargets)
			c.Logf("%.4f of the calls found no free slot, %.4f with a random split", full, random)
			c.Assert(full < 1.25*random+0.002, qt.IsTrue)
		})
	}
}
