package affinity_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/affinity"
)

const (
	slowEngines     = 40
	slowRouters     = 30
	slowPrompts     = 200
	slowCallsPerMS  = 1.6
	slowdown        = 3.5
	normalServiceMS = 150.0
	slowFrom        = 4 * time.Second
	slowUntil       = 12 * time.Second
	// reportInterval is in milliseconds.
	reportInterval = 250
	// measureDelay is the time until the routers have measured a change of speed.
	measureDelay = 800 * time.Millisecond
)

// slowFleet simulates engines whose calls take a time that depends on the engine, and
// routers that see the calls of others as of the last report.
type slowFleet struct {
	indexes  []*affinity.CacheIndex
	inFlight [][]int // By router and engine.
	reported []int   // By engine, the sum as of the last report.
	// ends holds the router and the engine of the calls that end in a millisecond.
	ends      map[int][][2]int
	slowCount int
}

// speed returns how much longer an engine takes at a time since the start.
func (f *slowFleet) speed(engine int, at time.Duration) float64 {
	if engine < f.slowCount && at >= slowFrom && at < slowUntil {
		return slowdown
	}
	return 1
}

// measured returns what the routers know of an engine's speed.
func (f *slowFleet) measured(engine int, at time.Duration) float64 {
	return f.speed(engine, at-measureDelay)
}

func (f *slowFleet) step(random *rand.Rand, ms int, started []int) {
	now := start.Add(time.Duration(ms) * time.Millisecond)
	for _, e := range f.ends[ms] {
		f.inFlight[e[0]][e[1]]--
	}
	delete(f.ends, ms)
	if ms%reportInterval == 0 {
		for e := range f.reported {
			f.reported[e] = 0
			for r := range f.inFlight {
				f.reported[e] += f.inFlight[r][e]
			}
		}
	}
	for calls := slowCallsPerMS; calls > 0 && random.Float64() < calls; calls-- {
		router, chat := random.IntN(slowRouters), uint64(random.IntN(slowPrompts))
		all := candidates(slowEngines)
		for e := range all {
			all[e].Calls = max(f.reported[e], f.inFlight[router][e])
			all[e].Slowness = f.measured(e, now.Sub(start))
		}
		choice := assign(f.indexes[router], prompt(1000+chat%4, chat), all, now)
		for _, h := range f.indexes[router].TakeUpdates(30) {
			for r, x := range f.indexes {
				if r != router {
					x.ApplyUpdates([]affinity.Holding{h}, now)
				}
			}
		}
		f.inFlight[router][choice.Index]++
		started[choice.Index]++
		end := ms + max(1, int(normalServiceMS*f.speed(choice.Index, now.Sub(start))*(0.5+random.Float64())))
		f.ends[end] = append(f.ends[end], [2]int{router, choice.Index})
	}
}

// share runs the fleet and returns the calls that a slow engine gets, relative to the
// mean of all engines.
func (f *slowFleet) share(random *rand.Rand, from, to time.Duration) float64 {
	started := make([]int, slowEngines)
	for ms := int(from / time.Millisecond); ms < int(to/time.Millisecond); ms++ {
		f.step(random, ms, started)
	}
	slow, all := 0, 0
	for e, n := range started {
		all += n
		if e < f.slowCount {
			slow += n
		}
	}
	return float64(slow) / float64(all) * slowEngines / float64(f.slowCount)
}

// Guards against engines that turn slow while they answer and report health. Within two
// seconds they must get new calls in proportion to their speed, although they hold the
// calls' prompts, and get calls back when they are well; prompts that were fetched by
// others meanwhile are cached there, too. Half of the engines being slow must not send
// all calls to the other half.
func TestSlowEnginesLoseCallsInProportion(t *testing.T) {
	assertProportional := func(c *qt.C, slowCount int) {
		c.Helper()
		// The share at which each engine is equally busy.
		proportional := slowEngines / (float64(slowCount) + slowdown*float64(slowEngines-slowCount))
		var during, after float64
		const seeds = 8
		for s := range uint64(seeds) {
			f := &slowFleet{reported: make([]int, slowEngines), ends: make(map[int][][2]int), slowCount: slowCount}
			for range slowRouters {
				f.indexes = append(f.indexes, affinity.NewCacheIndex())
				f.inFlight = append(f.inFlight, make([]int, slowEngines))
			}
			random := rand.New(rand.NewPCG(s, 1))
			f.share(random, 0, slowFrom+2*time.Second)
			during += f.share(random, slowFrom+2*time.Second, slowUntil) / seeds
			f.share(random, slowUntil, slowUntil+2*time.Second)
			after += f.share(random, slowUntil+2*time.Second, slowUntil+8*time.Second) / seeds
		}
		c.Logf("calls of a slow engine, relative to the mean: %.2f while slow (%.2f in proportion), %.2f after", during, proportional, after)
		c.Assert(during < 1.3*proportional, qt.IsTrue)
		c.Assert(during > 0.5*proportional, qt.IsTrue)
		c.Assert(after > 1.5*during, qt.IsTrue)
	}
	t.Run("a sixth of the engines", func(t *testing.T) { assertProportional(qt.New(t), slowEngines/6) })
	t.Run("half of the engines", func(t *testing.T) { assertProportional(qt.New(t), slowEngines/2) })
}
