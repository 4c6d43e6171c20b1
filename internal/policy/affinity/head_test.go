package affinity_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetstats"
)

const (
	headRouters = 295
	headEngines = 240
	headDomains = 6
	// headSlots is the number of calls that an engine runs at once.
	headSlots       = 24
	headTokensPerMS = 43
	// heads is the number of first parts of each kind of prompt, of which the first are in
	// most of the prompts.
	heads          = 40
	headSkew       = 5
	promptsPerHead = 100
	headCallsPerMS = 1.33
	burstFactor    = 1.7
	// The delays of announcements and reports, and the times of the burst, in milliseconds.
	headReportInterval = 500
	headDelay          = 75
	burstFrom          = 2000
	burstUntil         = 5000
	headDuration       = 6000
	// The share of the calls of any boundWindow, in milliseconds, that may reach an engine
	// that holds more than boundFactor times the mean, and boundExtra.
	boundWindow = 5000
	boundFactor = 2
	boundExtra  = 3
	boundShare  = 0.03
)

type (
	// promptKind says what the calls of one kind are like: the tokens of their shared parts and
	// of the last one, and the time in milliseconds that their events take.
	promptKind struct {
		shared, last, eventsMS int
	}

	headCall struct {
		router, engine int
		parts          []affinity.Part
		// prefillTokens and eventsMS are what the engine has still to do; unreported are
		// the tokens that the router counts until the first event.
		prefillTokens, eventsMS, unreported int
	}

	// headFleet simulates engines that run calls in batches, and routers that know the loads
	// and the prompts of all others as of some time ago.
	headFleet struct {
		random  *rand.Rand
		nowMS   int
		engines [][]*headCall
		// running holds each router's calls.
		running []map[*headCall]bool
		// prefilled is what all routers know: whether a target has prefilled a part, by part
		// and target. loads are the loads that they know.
		prefilled map[uint64]map[uint64]bool
		loads     *targetstats.Tracker
		// due holds what becomes known in a later millisecond.
		due map[int][]func()
		// overBound and arrived count calls, up to each millisecond.
		overBound, arrived []int
	}
)

// headKinds are drawn in these numbers.
var headKinds = []promptKind{
	{8600, 580, 310}, {8600, 580, 310}, {2000, 360, 130}, {2000, 360, 130}, {600, 110, 1780},
}

func newHeadFleet(seed uint64) *headFleet {
	f := &headFleet{
		random: rand.New(rand.NewPCG(seed, 1)), engines: make([][]*headCall, headEngines),
		prefilled: make(map[uint64]map[uint64]bool), loads: targetstats.NewTracker(func(targetstats.Change) {}),
		due: make(map[int][]func()), overBound: []int{0}, arrived: []int{0},
	}
	for range headRouters {
		f.running = append(f.running, make(map[*headCall]bool))
	}
	return f
}

func (f *headFleet) now() time.Time { return start.Add(time.Duration(f.nowMS) * time.Millisecond) }

// announce makes something known to all routers after headDelay.
func (f *headFleet) announce(learn func()) {
	f.due[f.nowMS+headDelay] = append(f.due[f.nowMS+headDelay], learn)
}

func (f *headFleet) run() {
	for ; f.nowMS < headDuration; f.nowMS++ {
		for _, learn := range f.due[f.nowMS] {
			learn()
		}
		delete(f.due, f.nowMS)
		for r := range f.running {
			if (f.nowMS+r*headReportInterval/headRouters)%headReportInterval == 0 {
				f.report(r)
			}
		}
		for e := range f.engines {
			f.work(e)
		}
		rate := headCallsPerMS
		if f.nowMS >= burstFrom && f.nowMS < burstUntil {
			rate *= burstFactor
		}
		f.overBound, f.arrived = append(f.overBound, f.overBound[f.nowMS]), append(f.arrived, f.arrived[f.nowMS])
		for ; rate > 0 && f.random.Float64() < rate; rate-- {
			f.call()
		}
	}
}

// report tells all routers the loads of one.
func (f *headFleet) report(router int) {
	byTarget := make(map[uint64]targetstats.Load)
	for c := range f.running[router] {
		l := byTarget[target(c.engine)]
		l.Target = target(c.engine)
		l.Calls++
		l.PendingTokens += c.unreported
		byTarget[l.Target] = l
	}
	var loads []targetstats.Load
	for _, l := range byTarget {
		loads = append(loads, l)
	}
	f.announce(func() { f.loads.UpdatePeer(strconv.Itoa(router), loads, headEngines, f.now()) })
}

// work lets an engine work for a millisecond: it prefills the prompts of the calls that it
// runs one after the other, and generates the events of all others.
func (f *headFleet) work(engine int) {
	tokens := headTokensPerMS
	left := f.engines[engine][:0]
	for i, c := range f.engines[engine] {
		switch {
		case i >= headSlots:
		case c.prefillTokens > 0:
			n := min(tokens, c.prefillTokens)
			c.prefillTokens -= n
			tokens -= n
			if c.prefillTokens == 0 {
				c.unreported = 0
				f.announce(func() { f.learn(c.parts, c.engine, true) })
			}
		default:
			c.eventsMS--
		}
		if c.eventsMS > 0 {
			left = append(left, c)
		} else {
			delete(f.running[c.router], c)
		}
	}
	f.engines[engine] = left
}

func (f *headFleet) learn(parts []affinity.Part, engine int, prefilled bool) {
	for _, p := range affinity.Shared(parts) {
		if f.prefilled[p.Hash] == nil {
			f.prefilled[p.Hash] = make(map[uint64]bool)
		}
		f.prefilled[p.Hash][target(engine)] = f.prefilled[p.Hash][target(engine)] || prefilled
	}
}

// call sends a call from a random router.
func (f *headFleet) call() {
	kind := f.random.IntN(len(headKinds))
	k := headKinds[kind]
	head := 1 + uint64(kind*heads) + uint64(heads*math.Pow(f.random.Float64(), headSkew))
	c := &headCall{router: f.random.IntN(headRouters), eventsMS: k.eventsMS, parts: []affinity.Part{
		{Hash: head, Tokens: k.shared / 3}, {Hash: head<<32 + uint64(f.random.IntN(promptsPerHead)), Tokens: k.shared * 2 / 3},
		{Hash: f.random.Uint64(), Tokens: k.last},
	}}
	index := affinity.NewCacheIndex()
	for _, p := range affinity.Shared(c.parts) {
		for target, prefilled := range f.prefilled[p.Hash] {
			index.ApplyUpdates([]affinity.Holding{{Part: p.Hash, Target: target, Prefilled: prefilled}}, f.now())
		}
	}
	choice := assign(index, affinity.Request{Parts: c.parts, Factor: boundFactor, Fetch: true}, f.candidates(c.router), f.now())
	c.engine, c.prefillTokens, c.unreported = choice.Index, max(choice.PrefillTokens, 1), choice.PrefillTokens
	f.arrived[f.nowMS+1]++
	if float64(len(f.engines[c.engine])) > boundFactor*f.meanCalls()+boundExtra {
		f.overBound[f.nowMS+1]++
	}
	f.engines[c.engine] = append(f.engines[c.engine], c)
	f.running[c.router][c] = true
	if updates := index.TakeUpdates(len(c.parts)); len(updates) > 0 {
		f.announce(func() {
			f.learn(c.parts, c.engine, false)
			for _, h := range updates {
				f.loads.AddPendingTokens(strconv.Itoa(c.router), h.Target, h.PrefillTokens)
			}
		})
	}
}

func target(engine int) uint64 { return uint64(engine + 1) }

// candidates returns the engines as a router knows them.
func (f *headFleet) candidates(router int) []affinity.Candidate {
	all := make([]affinity.Candidate, headEngines)
	targets := make([]uint64, headEngines)
	for e := range targets {
		targets[e] = target(e)
	}
	for e, s := range f.loads.Summaries(targets, f.now()) {
		all[e] = affinity.Candidate{
			Target: targets[e], Calls: s.Calls, PendingTokens: s.PendingTokens,
			FailureDomain: strconv.Itoa(e % headDomains), SameDomain: e%headDomains == router%headDomains,
		}
	}
	return all
}

func (f *headFleet) meanCalls() float64 {
	n := 0
	for _, calls := range f.engines {
		n += len(calls)
	}
	return float64(n) / headEngines
}

// worstShare returns the largest share of calls in any boundWindow that reached an engine
// over the bound.
func (f *headFleet) worstShare() float64 {
	worst := 0.0
	for from := 0; from+boundWindow < len(f.arrived); from++ {
		over := f.overBound[from+boundWindow] - f.overBound[from]
		worst = max(worst, float64(over)/float64(f.arrived[from+boundWindow]-f.arrived[from]))
	}
	return worst
}

// Guards against all routers of a large fleet sending to the same engine until their next
// reports, because every engine holds a first part that many prompts share.
func TestPopularFirstPartDoesNotAttractAllRouters(t *testing.T) {
	for seed := range uint64(3) {
		t.Run("seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newHeadFleet(seed)
			f.run()
			c.Logf("%.4f of %d calls reached engines over the bound in the worst window", f.worstShare(), f.arrived[headDuration])
			c.Assert(f.worstShare() < boundShare, qt.IsTrue)
		})
	}
}
