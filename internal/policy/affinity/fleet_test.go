package affinity_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/affinity"
)

// fleet is a load model: routers that hear of each other's prompts and loads
// after a delay, before engines that read prompts one after the other.
type fleet struct {
	maps    []*affinity.Map
	engines int
	// unread is the work of each engine in tokens; seen is what a router knows of it.
	unread  []float64
	reread  int
	waits   []float64
	pending []announcement
	choose  func(router int, r affinity.Request, all []affinity.Candidate, now time.Time) affinity.Choice
}

type announcement struct {
	from    int
	at      time.Time
	tokens  int
	engine  int
	holding []affinity.Holding
}

const (
	tellAfter    = 15 * time.Millisecond
	tokensPerMS  = 42.8
	callsEachMS  = 0.2
	coldStartFor = 2 * time.Second
)

func newFleet(routers, engines int) *fleet {
	f := &fleet{engines: engines, unread: make([]float64, engines)}
	for range routers {
		f.maps = append(f.maps, affinity.NewMap())
	}
	f.choose = func(router int, r affinity.Request, all []affinity.Candidate, now time.Time) affinity.Choice {
		return f.maps[router].Choose(r, all, now)
	}
	return f
}

// run plays calls on prompts that no engine has read yet.
func (f *fleet) run(random *rand.Rand, chats int) {
	known := make([][]float64, len(f.maps))
	for i := range known {
		known[i] = make([]float64, f.engines)
	}
	for ms := range int(coldStartFor / time.Millisecond) {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for e := range f.unread {
			f.unread[e] = max(0, f.unread[e]-tokensPerMS)
			for r := range known {
				known[r][e] = max(0, known[r][e]-tokensPerMS)
			}
		}
		for len(f.pending) > 0 && now.Sub(f.pending[0].at) >= tellAfter {
			a := f.pending[0]
			f.pending = f.pending[1:]
			for r, m := range f.maps {
				if r != a.from {
					m.Learn(a.holding, now)
					known[r][a.engine] += float64(a.tokens)
				}
			}
		}
		if random.Float64() < callsEachMS {
			f.call(random, chats, known, now)
		}
	}
}

func (f *fleet) call(random *rand.Rand, chats int, known [][]float64, now time.Time) {
	router := random.IntN(len(f.maps))
	chat := uint64(random.IntN(chats))
	all := candidates(f.engines)
	for e := range all {
		all[e].Unread = int(known[router][e])
	}
	choice := f.choose(router, prompt(1000+chat%4, chat), all, now)
	f.unread[choice.Index] += float64(choice.Unread)
	known[router][choice.Index] += float64(choice.Unread)
	f.waits = append(f.waits, f.unread[choice.Index]/tokensPerMS)
	f.reread += choice.Reread
	f.pending = append(f.pending, announcement{
		from: router, at: now, tokens: choice.Unread, engine: choice.Index, holding: f.maps[router].News(30),
	})
}

// late returns the share of calls whose first event comes after 600 ms.
func (f *fleet) late() float64 {
	n := 0
	for _, w := range f.waits {
		if w > 600 {
			n++
		}
	}
	return float64(n) / float64(len(f.waits))
}

// Pattern: the first seconds after a start, when every prompt is read for the
// first time by engines that six routers share.
func TestFirstReadsSpreadOverTheEngines(t *testing.T) {
	c := qt.New(t)
	var placed, hashed float64
	for s := range uint64(10) {
		f := newFleet(6, 18)
		f.run(rand.New(rand.NewPCG(s, 1)), 106)
		placed += f.late() / 10

		baseline := newFleet(6, 18)
		baseline.choose = func(router int, r affinity.Request, all []affinity.Candidate, now time.Time) affinity.Choice {
			// Rendezvous hashing on the last shared part, whatever the load.
			for i := range all {
				all[i].Unread = 0
			}
			only := affinity.Request{Parts: r.Parts[1:]}
			return baseline.maps[router].Choose(only, all, now)
		}
		baseline.run(rand.New(rand.NewPCG(s, 1)), 106)
		hashed += baseline.late() / 10
	}
	t.Logf("late: placed %.3f, by hashing alone %.3f", placed, hashed)
	c.Assert(placed < hashed, qt.IsTrue, qt.Commentf("late: placed %.3f, by hashing alone %.3f", placed, hashed))
	c.Assert(placed < 0.1, qt.IsTrue, qt.Commentf("late: placed %.3f", placed))
}
