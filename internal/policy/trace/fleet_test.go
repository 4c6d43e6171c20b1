package trace

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hickoryrock/internal/policy/permits"
	"hickoryrock/internal/policy/placement"
)

const (
	service        = "chat"
	loadFloor      = 8
	loadLag        = time.Second
	warmUp         = 4 * time.Minute
	cacheWeight    = 120
	announcePeriod = 10 * time.Second
	samplePeriod   = time.Second
	cacheEventLag  = 2 * time.Second
	cacheEventGap  = 0.2
	maxTries       = 16

	// Durations of one request on an engine of speed 1.
	generateTime = 17 * time.Second
	prefillTime  = time.Second

	// Bytes of control messages on the wire, framing included.
	acquireBytes  = 250
	releaseBytes  = 120
	loadBytes     = 12
	eventBytes    = 24
	announceBytes = 30
)

var epoch = time.Unix(1_000_000, 0)

type (
	// engine is a model engine with a bounded prefix cache.
	engine struct {
		speed                  float64
		up                     bool
		load                   uint64
		sampled                uint64
		inFlight, sampledCount int
		cached                 map[uint64]int
		weights                map[uint64]uint32
		cacheUsed              uint64
		clock                  int
		overrides              *placement.Overrides
		acceptProbability      float64
		reported               float64
	}

	// running is a request on an engine, ordered by its end.
	running struct {
		end    time.Duration
		engine int
		id     string
		weight uint32
		start  int
	}

	queue []running

	// fleet simulates a trace with one policy.
	fleet struct {
		trace        Trace
		routers      int
		factor       float64
		random       *rand.Rand
		now          time.Duration
		engines      []engine
		set          *placement.Set
		index        map[string]int
		ledgers      []*permits.Ledger
		owners       []int
		running      queue
		mean         float64
		results      results
		bytes        int
		returned     int
		hits         int
		maxRatios    []float64
		p99Ratios    []float64
		engineByChat map[uint64]int
		events       []cacheEvent
	}

	cacheEvent struct {
		at     time.Duration
		chat   uint64
		engine int
	}

	results struct {
		reuse, maxOverMean, p99OverMean, bytes float64
		overBound, overTrue, refused, requests int
	}

	policy struct {
		name   string
		choose func(*fleet, Request) (int, bool)
		// permits says that the choice holds a permit.
		permits bool
	}
)

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].end < q[j].end }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(running)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newFleet(t Trace, routers int, factor float64) *fleet {
	f := &fleet{
		trace: t, routers: routers, factor: factor, engineByChat: map[uint64]int{},
		random: rand.New(rand.NewPCG(1, 2)), index: map[string]int{},
	}
	var members []placement.Router
	for i := range routers {
		members = append(members, placement.Router{Name: fmt.Sprint("router-", i)})
		l := permits.NewLedger()
		l.SetBound(service, permits.Bound{Factor: factor, Floor: loadFloor})
		l.Confirm(epoch)
		f.ledgers = append(f.ledgers, l)
	}
	owners := placement.NewOwners(members)
	for i, speed := range t.Speeds {
		target := placement.Target{Name: fmt.Sprint("engine-", i)}
		owner, _ := owners.Owner(target)
		f.index[target.Name] = i
		f.owners = append(f.owners, slices.Index(members, owner))
		f.engines = append(f.engines, engine{speed: speed, up: true, acceptProbability: 1, overrides: placement.NewOverrides(overridesPerEngine)})
		f.engines[i].clear()
		l := f.ledgers[f.owners[i]]
		e := l.Adopt(epoch, permits.Target{Name: target.Name, Service: service, Weight: speed})
		l.Receive(epoch, target.Name, permits.Handover{Epoch: e})
	}
	f.rebuild()
	return f
}

func (e *engine) clear() {
	e.cached, e.weights, e.cacheUsed = map[uint64]int{}, map[uint64]uint32{}, 0
}

// accessCache puts a chat's prefix into the cache, evicts the least recently
// used ones, and returns whether the prefix was cached.
func (e *engine) accessCache(r Request) bool {
	_, hit := e.cached[r.Chat]
	if !hit {
		e.weights[r.Chat] = r.Weight
		e.cacheUsed += uint64(r.Weight)
	}
	e.clock++
	e.cached[r.Chat] = e.clock
	for e.cacheUsed > cacheWeight {
		oldest, at := uint64(0), math.MaxInt
		for chat, used := range e.cached {
			if used < at {
				oldest, at = chat, used
			}
		}
		e.cacheUsed -= uint64(e.weights[oldest])
		delete(e.cached, oldest)
		delete(e.weights, oldest)
	}
	return hit
}

func (f *fleet) rebuild() {
	var targets []placement.Target
	for i, e := range f.engines {
		if e.up {
			targets = append(targets, placement.Target{Name: fmt.Sprint("engine-", i), Weight: e.speed})
		}
	}
	f.set = placement.NewSet(targets)
}

// play runs the whole trace and returns the results.
func (f *fleet) play(p policy) results {
	churn, sampled := f.trace.Churn, time.Duration(0)
	for k, r := range f.trace.Requests {
		for sampled+samplePeriod <= r.At {
			sampled += samplePeriod
			f.finishUntil(sampled)
			f.sample()
			if sampled%announcePeriod == 0 && p.permits {
				f.announce()
			}
		}
		f.finishUntil(r.At)
		changed := false
		for ; len(churn) > 0 && churn[0].At <= f.now; churn = churn[1:] {
			f.applyChurn(churn[0])
			changed = true
		}
		if changed {
			f.rebuild()
		}
		f.request(p, k, r)
	}
	return f.summary()
}

// finishUntil ends the requests that are done by a time.
func (f *fleet) finishUntil(now time.Duration) {
	for len(f.running) > 0 && f.running[0].end <= now {
		f.finish(heap.Pop(&f.running).(running))
	}
	f.now = now
}

func (f *fleet) finish(r running) {
	e := &f.engines[r.engine]
	e.load -= uint64(r.weight)
	e.inFlight--
	f.ledgers[f.owners[r.engine]].Release(fmt.Sprint("engine-", r.engine), "holder", r.id)
}

func (f *fleet) applyChurn(c Churn) {
	f.engines[c.Engine].up = c.Up
	f.engines[c.Engine].clear()
}

// request places one request and counts the outcome.
func (f *fleet) request(p policy, k int, r Request) {
	f.results.requests++
	if r.Returning {
		f.returned++
	}
	i, ok := p.choose(f, r)
	if !ok {
		f.results.refused++
		return
	}
	e := &f.engines[i]
	hit := e.accessCache(r)
	e.load += uint64(r.Weight)
	e.inFlight++
	f.check(e)
	took := generateTime.Seconds() + float64(r.Weight)*prefillTime.Seconds()
	if hit {
		took = generateTime.Seconds()
		f.hits++
	} else if f.random.Float64() >= cacheEventGap {
		f.events = append(f.events, cacheEvent{f.now + cacheEventLag, r.Chat, i})
	}
	took *= f.random.ExpFloat64() / e.speed
	heap.Push(&f.running, running{
		end: f.now + time.Duration(took*float64(time.Second)), engine: i,
		id: fmt.Sprint(r.Chat, r.At), weight: r.Weight, start: k,
	})
}

// check counts an admission over the bound, by the mean that routers know and
// by the current mean, which no router knows.
func (f *fleet) check(e *engine) {
	limit := func(mean float64) uint64 {
		return max(loadFloor, uint64(math.Ceil(f.factor*mean*e.speed)))
	}
	if e.load > limit(f.mean) {
		f.results.overBound++
	}
	if e.load > limit(f.trueMean()) {
		f.results.overTrue++
	}
}

func (f *fleet) trueMean() float64 {
	load, speed := uint64(0), 0.0
	for i := range f.engines {
		if e := &f.engines[i]; e.up {
			load += e.load
			speed += e.speed
		}
	}
	return float64(load) / speed
}

// announce renews the permits in flight, as holders do.
func (f *fleet) announce() {
	held := make(map[int][]permits.Permit)
	for _, r := range f.running {
		held[r.engine] = append(held[r.engine], permits.Permit{Holder: "holder", ID: r.id, Weight: r.weight})
	}
	for i, ps := range held {
		f.bytes += announceBytes * len(ps)
		f.ledgers[f.owners[i]].Announce(epoch.Add(f.now), fmt.Sprint("engine-", i), ps)
	}
}

// sample publishes loads and the mean, which routers use until the next sample.
func (f *fleet) sample() {
	f.mean = f.trueMean()
	at := epoch.Add(f.now)
	for _, l := range f.ledgers {
		l.Confirm(at)
		l.SetMean(at, service, f.mean)
	}
	var relative []float64
	for i := range f.engines {
		e := &f.engines[i]
		// The ledger gets the previous sample, as reports are delayed.
		if f.now > loadLag {
			f.ledgers[f.owners[i]].ReportLoad(fmt.Sprint("engine-", i), permits.Report{
				Usage: permits.Usage{Load: e.sampled, InFlight: e.sampledCount}, SampledAt: at.Add(-loadLag),
			})
		}
		e.sampled, e.sampledCount = e.load, e.inFlight
		e.reported = float64(e.load) / e.speed
		if e.up {
			relative = append(relative, e.reported)
		}
		if e.reported > f.factor*f.mean && e.load > loadFloor {
			e.acceptProbability = max(e.acceptProbability*0.8, 0.05)
		} else {
			e.acceptProbability = min(e.acceptProbability*1.05+0.01, 1)
		}
	}
	slices.SortFunc(relative, cmp.Compare[float64])
	if f.now > warmUp {
		f.maxRatios = append(f.maxRatios, relative[len(relative)-1]/f.mean)
		f.p99Ratios = append(f.p99Ratios, relative[len(relative)*99/100]/f.mean)
	}
	for len(f.events) > 0 && f.events[0].at <= f.now {
		f.engineByChat[f.events[0].chat] = f.events[0].engine
		f.events = f.events[1:]
	}
}

func (f *fleet) summary() results {
	f.results.reuse = float64(f.hits) / float64(f.returned)
	f.results.maxOverMean = average(f.maxRatios)
	f.results.p99OverMean = average(f.p99Ratios)
	f.results.bytes = float64(f.bytes) / f.now.Seconds() / float64(f.routers)
	return f.results
}

func average(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(len(xs))
}
