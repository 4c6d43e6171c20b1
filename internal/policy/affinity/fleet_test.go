package affinity_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/affinity"
)

// fleet simulates routers that learn of each other's prompts and loads after a
// delay, and engines that prefill prompts one after the other.
type fleet struct {
	indexes []*affinity.CacheIndex
	engines int
	// pendingTokens is the number of tokens that each engine has to prefill.
	pendingTokens    []float64
	recomputedTokens int
	waitsMS          []float64
	pending          []announcement
	choose           func(router int, r affinity.Request, all []affinity.Candidate, now time.Time) affinity.Choice
}

type announcement struct {
	from     int
	at       time.Time
	tokens   int
	engine   int
	holdings []affinity.Holding
}

const (
	gossipDelay       = 15 * time.Millisecond
	tokensPerMS       = 42.8
	callsPerMS        = 0.2
	coldStartDuration = 2 * time.Second
)

func newFleet(routers, engines int) *fleet {
	f := &fleet{engines: engines, pendingTokens: make([]float64, engines)}
	for range routers {
		f.indexes = append(f.indexes, affinity.NewCacheIndex())
	}
	f.choose = func(router int, r affinity.Request, all []affinity.Candidate, now time.Time) affinity.Choice {
		return assign(f.indexes[router], r, all, now)
	}
	return f
}

// run simulates calls with prompts that no engine has cached yet.
func (f *fleet) run(random *rand.Rand, chats int) {
	// estimates are the pending tokens of each engine as each router knows them.
	estimates := make([][]float64, len(f.indexes))
	for i := range estimates {
		estimates[i] = make([]float64, f.engines)
	}
	for ms := range int(coldStartDuration / time.Millisecond) {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for e := range f.pendingTokens {
			f.pendingTokens[e] = max(0, f.pendingTokens[e]-tokensPerMS)
			for r := range estimates {
				estimates[r][e] = max(0, estimates[r][e]-tokensPerMS)
			}
		}
		for len(f.pending) > 0 && now.Sub(f.pending[0].at) >= gossipDelay {
			a := f.pending[0]
			f.pending = f.pending[1:]
			for r, x := range f.indexes {
				if r != a.from {
					x.ApplyUpdates(a.holdings, now)
					estimates[r][a.engine] += float64(a.tokens)
				}
			}
		}
		if random.Float64() < callsPerMS {
			f.call(random, chats, estimates, now)
		}
	}
}

func (f *fleet) call(random *rand.Rand, chats int, estimates [][]float64, now time.Time) {
	router := random.IntN(len(f.indexes))
	chat := uint64(random.IntN(chats))
	all := candidates(f.engines)
	for e := range all {
		all[e].PendingTokens = int(estimates[router][e])
	}
	choice := f.choose(router, prompt(1000+chat%4, chat), all, now)
	f.pendingTokens[choice.Index] += float64(choice.PrefillTokens)
	estimates[router][choice.Index] += float64(choice.PrefillTokens)
	f.waitsMS = append(f.waitsMS, f.pendingTokens[choice.Index]/tokensPerMS)
	f.recomputedTokens += choice.RecomputedTokens
	f.pending = append(f.pending, announcement{
		from: router, at: now, tokens: choice.PrefillTokens, engine: choice.Index, holdings: f.indexes[router].TakeUpdates(30),
	})
}

// lateShare returns the share of calls whose first event comes after more than
// 600 ms.
func (f *fleet) lateShare() float64 {
	n := 0
	for _, w := range f.waitsMS {
		if w > 600 {
			n++
		}
	}
	return float64(n) / float64(len(f.waitsMS))
}

// Guards against uneven prefill load in the first seconds after a start, when
// no prompt is cached and six routers share the engines.
func TestColdStartSpreadsOverEngines(t *testing.T) {
	c := qt.New(t)
	var lateByCost, lateByHash float64
	for s := range uint64(10) {
		f := newFleet(6, 18)
		f.run(rand.New(rand.NewPCG(s, 1)), 106)
		lateByCost += f.lateShare() / 10

		baseline := newFleet(6, 18)
		baseline.choose = func(router int, r affinity.Request, all []affinity.Candidate, now time.Time) affinity.Choice {
			// The baseline uses rendezvous hashing on the last shared part and
			// ignores the load.
			for i := range all {
				all[i].PendingTokens = 0
			}
			only := affinity.Request{Parts: r.Parts[1:]}
			return assign(baseline.indexes[router], only, all, now)
		}
		baseline.run(rand.New(rand.NewPCG(s, 1)), 106)
		lateByHash += baseline.lateShare() / 10
	}
	t.Logf("late: by load and cache %.3f, by hashing alone %.3f", lateByCost, lateByHash)
	c.Assert(lateByCost < lateByHash, qt.IsTrue, qt.Commentf("late: by load and cache %.3f, by hashing alone %.3f", lateByCost, lateByHash))
	c.Assert(lateByCost < 0.1, qt.IsTrue, qt.Commentf("late: by load and cache %.3f", lateByCost))
}
