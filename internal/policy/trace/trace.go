// Package trace generates a synthetic workload of chats that return, to compare
// placement policies.
package trace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Tick is the resolution of a trace.
	Tick = 100 * time.Millisecond

	returnProbability     = 0.85
	longPromptProbability = 0.25
	longPauseProbability  = 0.1
	shortPauseMean        = 30 * time.Second
	longPauseMean         = 150 * time.Second
	surgeFactor           = 3
	surgeWorkspace        = 3
	engineDownTime        = 20 * time.Second
	// meanTimeBetweenFailures is that of one engine.
	meanTimeBetweenFailures = 20 * time.Minute

	// ShortWeight is a request's load units if its prompt is short.
	ShortWeight = 1
	// LongWeight is a request's load units if its prompt is long.
	LongWeight = 4
)

type (
	// Config holds the parameters of a trace.
	Config struct {
		Seed     uint64
		Duration time.Duration
		// Rate is the initial number of requests per second, without the surge.
		Rate       float64
		Engines    int
		Workspaces int
	}

	// Trace is a list of requests, and of engines that go down and come back.
	Trace struct {
		Requests []Request
		Churn    []Churn
		// Speeds are the engines' relative speeds.
		Speeds []float64
	}

	// Request is one request of a chat.
	Request struct {
		At        time.Duration
		Chat      uint64
		Workspace int
		Weight    uint32
		// Returning says that the chat had a request before.
		Returning bool
	}

	// Churn is an engine that goes down or comes back, with an empty cache.
	Churn struct {
		At     time.Duration
		Engine int
		Up     bool
	}

	chat struct {
		id        uint64
		workspace int
		weight    uint32
	}

	generator struct {
		Config
		random *rand.Rand
		// due holds the chats that return, by tick.
		due   [][]chat
		trace Trace
	}
)

// New returns the trace of a configuration. It is deterministic.
func New(c Config) Trace {
	g := &generator{
		Config: c,
		random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		due:    make([][]chat, c.Duration/Tick),
	}
	for i := range c.Engines {
		g.trace.Speeds = append(g.trace.Speeds, []float64{1, 1, 2}[i%3])
	}
	for tick := range g.due {
		g.emitReturning(tick)
		g.emitNew(tick)
	}
	g.generateChurn()
	return g.trace
}

func (g *generator) emitReturning(tick int) {
	for _, c := range g.due[tick] {
		g.emit(tick, c, true)
	}
}

// emitNew adds new chats. While one workspace surges, the rate of new chats
// rises by surgeFactor and most of them belong to that workspace.
func (g *generator) emitNew(tick int) {
	mean := g.Rate * (1 - returnProbability) * Tick.Seconds()
	surging := tick > len(g.due)/2 && tick < len(g.due)*2/3
	if surging {
		mean *= surgeFactor
	}
	for mean > 0 && g.random.Float64() < mean {
		mean--
		c := chat{id: g.random.Uint64(), workspace: g.workspace(), weight: ShortWeight}
		if surging && g.random.IntN(surgeFactor) > 0 {
			c.workspace = surgeWorkspace
		}
		if g.random.Float64() < longPromptProbability {
			c.weight = LongWeight
		}
		g.emit(tick, c, false)
	}
}

// workspace draws a workspace; a few workspaces get most of the requests.
func (g *generator) workspace() int {
	return int(float64(g.Workspaces) * g.random.Float64() * g.random.Float64() * g.random.Float64())
}

func (g *generator) emit(tick int, c chat, returning bool) {
	g.trace.Requests = append(g.trace.Requests, Request{
		At: time.Duration(tick) * Tick, Chat: c.id, Workspace: c.workspace,
		Weight: c.weight, Returning: returning,
	})
	if g.random.Float64() >= returnProbability {
		return
	}
	pause := shortPauseMean
	if g.random.Float64() < longPauseProbability {
		pause = longPauseMean
	}
	next := tick + 1 + int(g.random.ExpFloat64()*float64(pause)/float64(Tick))
	if next < len(g.due) {
		g.due[next] = append(g.due[next], c)
	}
}

// generateChurn takes engines down for engineDownTime each.
func (g *generator) generateChurn() {
	rate := float64(g.Engines) * Tick.Seconds() / meanTimeBetweenFailures.Seconds()
	for tick := range g.due {
		if g.random.Float64() >= rate {
			continue
		}
		at, engine := time.Duration(tick)*Tick, g.random.IntN(g.Engines)
		g.trace.Churn = append(g.trace.Churn,
			Churn{At: at, Engine: engine},
			Churn{At: at + engineDownTime, Engine: engine, Up: true})
	}
	slices.SortStableFunc(g.trace.Churn, func(a, b Churn) int { return cmp.Compare(a.At, b.At) })
}
