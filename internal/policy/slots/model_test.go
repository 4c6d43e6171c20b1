package slots_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"hickoryrock/internal/policy/slots"
)

const (
	modelWorkspaces = 8
	modelKinds      = 3
	// targetQueue is the number of calls that a target queues beyond its slots.
	targetQueue = 24
	expireTick  = 10 * time.Millisecond
)

var (
	siteR = site{name: "R", routers: 125, targets: 6, took: 60 * time.Millisecond, perSecond: 240,
		objective: 300 * time.Millisecond, deadline: 4 * time.Second, delay: 500 * time.Microsecond}
	siteH = site{name: "H", routers: 79, targets: 3, took: 30 * time.Millisecond, perSecond: 192,
		objective: 150 * time.Millisecond, deadline: 1500 * time.Millisecond, delay: 1400 * time.Microsecond}
)

type (
	// site is a deployment of targets with six slots each.
	site struct {
		name                             string
		routers, targets                 int
		took, objective, deadline, delay time.Duration
		perSecond                        float64
	}

	// load is what a model run serves.
	load struct {
		name string
		site
		duration time.Duration
		// burst multiplies the arrivals for 2 s of each 6 s, surge those of workspace 0 in the
		// second third of the run, overload all.
		burst, surge, overload float64
		// repeats is how often a caller repeats a refused call at once.
		repeats int
		// uneven makes each target 2.5 times as slow 15% of the time, slowTarget one target 6
		// times as slow, away a third of the targets unavailable, failing one target answer at
		// once with a failure.
		uneven, slowTarget, away, failing bool
		// long makes calls of the least urgent kind take 6 times as long.
		long bool
		// lost is the part of the releases that does not arrive.
		lost float64
		// coordinators is the number of pools among which the routers are divided.
		coordinators int
	}

	tally struct{ offered, onTime, late, refused, lost int }

	outcome struct {
		calls [modelKinds][modelWorkspaces]tally
		// maxWait is the longest time between a request and its grant.
		maxWait time.Duration
		// refusals and refusedWait count the refusals of requests and the time until they came.
		refusals    int
		refusedWait time.Duration
	}

	call struct {
		workspace, kind, router, tries     int
		arrived, objective, deadline, took time.Duration
	}

	event struct {
		at time.Duration
		do func()
	}

	events []event

	server struct {
		m                 *model
		hash              uint64
		running           int
		queue             []func()
		slowFrom          time.Duration
		factor            float64
		isAway, isFailing bool
	}

	model struct {
		load
		// arrivals draws the calls, which are the same for each policy, rng all else.
		arrivals, rng *rand.Rand
		now           time.Duration
		events        events
		servers       []*server
		pools         []*slots.Pool
		asked         map[slots.Key]func(slots.Reply)
		serial        uint64
		outcome       outcome
	}
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (t tally) refusedShare() float64 { return float64(t.refused) / float64(max(t.offered, 1)) }

func (t tally) served() float64 { return float64(t.onTime+t.late) / float64(max(t.offered, 1)) }

// sum adds up the calls of the kinds and workspaces from one up to another, exclusively.
func (o *outcome) sum(kind, kinds, workspace, workspaces int) tally {
	var sum tally
	for _, calls := range o.calls[kind:kinds] {
		for _, t := range calls[workspace:workspaces] {
			sum.offered += t.offered
			sum.onTime += t.onTime
			sum.late += t.late
			sum.refused += t.refused
			sum.lost += t.lost
		}
	}
	return sum
}

func (o *outcome) total() tally          { return o.sum(0, modelKinds, 0, modelWorkspaces) }
func (o *outcome) kind(k int) tally      { return o.sum(k, k+1, 0, modelWorkspaces) }
func (o *outcome) workspace(w int) tally { return o.sum(0, modelKinds, w, w+1) }

// play runs a load with pools, or with the choice of a random target if usePool is false.
func play(l load, usePool bool) *outcome {
	m := &model{load: l, arrivals: rand.New(rand.NewPCG(20261206, 1)), rng: rand.New(rand.NewPCG(20261206, 2)), asked: make(map[slots.Key]func(slots.Reply))}
	var set []slots.Target
	for i := range l.targets {
		s := &server{m: m, hash: uint64(i + 1), slowFrom: -1, factor: 1, isAway: l.away && i < l.targets/3, isFailing: l.failing && i == l.targets-1}
		if l.slowTarget && i == l.targets-1 {
			s.factor = 6
		}
		m.servers = append(m.servers, s)
		set = append(set, slots.Target{Hash: s.hash, Slots: 6, IsEligible: !s.isAway})
	}
	if usePool {
		for range max(l.coordinators, 1) {
			p := slots.NewPool()
			p.SetTargets(set, m.time())
			m.pools = append(m.pools, p)
		}
	}
	m.after(0, m.arrive)
	m.after(0, m.expire)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return &m.outcome
}

func (m *model) time() time.Time { return start.Add(m.now) }

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.events, event{m.now + max(d, 0), do}) }

// transfer delivers a message after a part of the time between the most distant routers.
func (m *model) transfer(do func()) {
	m.after(time.Duration((0.3+0.7*m.rng.Float64())*float64(m.delay)), do)
}

// arrive starts a clump of three calls and plans the next one.
func (m *model) arrive() {
	if m.now > m.duration {
		return
	}
	rate := m.perSecond * max(m.overload, 1) * (1 + 0.3*math.Sin(2*math.Pi*m.now.Seconds()/11))
	if m.burst > 0 && m.now%(6*time.Second) < 2*time.Second {
		rate *= m.burst
	}
	weights := 1.0 * modelWorkspaces
	surge := 1.0
	if m.surge > 0 && m.now > m.duration/3 && m.now < 2*m.duration/3 {
		surge = m.surge
		weights += surge - 1
	}
	rate *= weights / modelWorkspaces
	for range 3 {
		c := &call{router: m.arrivals.IntN(m.routers), arrived: m.now, objective: m.now + m.objective, deadline: m.now + m.deadline}
		if pick := m.arrivals.Float64() * weights; pick < surge {
			c.workspace = 0
		} else {
			c.workspace = 1 + int(pick-surge)
		}
		if k := m.arrivals.Float64(); k >= 0.25 {
			c.kind = 1
			if k >= 0.85 {
				c.kind = 2
			}
		}
		c.took = time.Duration(float64(m.took) * math.Exp(0.5*m.arrivals.NormFloat64()-0.125))
		if m.long && c.kind == 2 {
			c.took *= 6
		}
		m.count(c, func(t *tally) { t.offered++ })
		m.start(c)
	}
	m.after(time.Duration(m.arrivals.ExpFloat64()*3/rate*float64(time.Second)), m.arrive)
}

func (m *model) count(c *call, add func(*tally)) {
	add(&m.outcome.calls[c.kind][c.workspace])
}

func (m *model) start(c *call) {
	if len(m.pools) > 0 {
		m.request(c)
		return
	}
	s := m.servers[m.rng.IntN(len(m.servers))]
	for s.isAway {
		s = m.servers[m.rng.IntN(len(m.servers))]
	}
	m.transfer(func() { s.take(c, func(r slots.Result) { m.end(c, r) }) })
}

// end counts a call whose attempt is over.
func (m *model) end(c *call, r slots.Result) {
	switch {
	case r.Refused:
		m.refuse(c)
	case !r.Succeeded:
		m.count(c, func(t *tally) { t.lost++ })
	case m.now <= c.objective:
		m.count(c, func(t *tally) { t.onTime++ })
	default:
		m.count(c, func(t *tally) { t.late++ })
	}
}

// refuse counts a refused call, unless its caller repeats it.
func (m *model) refuse(c *call) {
	if c.tries < m.repeats && m.now < c.deadline {
		c.tries++
		m.after(time.Millisecond, func() { m.start(c) })
		return
	}
	m.count(c, func(t *tally) { t.refused++ })
}

// request asks the coordinator of the call's router, sends the call where it is granted and
// releases it.
func (m *model) request(c *call) {
	m.serial++
	k, pool := slots.Key{Process: uint64(c.router), Serial: m.serial}, m.pools[c.router%len(m.pools)]
	r := slots.Request{
		Key: k, Workspace: uint64(c.workspace), Priority: c.kind,
		Objective: start.Add(c.objective), Deadline: start.Add(c.deadline),
	}
	asked := m.now
	m.asked[k] = func(reply slots.Reply) {
		switch reply.Kind {
		case slots.Refused:
			delete(m.asked, k)
			m.outcome.refusals++
			m.outcome.refusedWait += m.now - asked
			m.refuse(c)
		case slots.Granted:
			delete(m.asked, k)
			m.outcome.maxWait = max(m.outcome.maxWait, m.now-asked)
			m.transfer(func() {
				m.servers[reply.Target-1].take(c, func(r slots.Result) {
					m.end(c, r)
					if m.rng.Float64() < m.lost {
						return
					}
					m.transfer(func() { m.deliver(pool.Release(k, r, m.time())) })
				})
			})
		}
	}
	m.transfer(func() { m.deliver([]slots.Reply{pool.Request(r, m.time())}) })
}

func (m *model) deliver(replies []slots.Reply) {
	for _, r := range replies {
		m.transfer(func() {
			if do := m.asked[r.Key]; do != nil {
				do(r)
			}
		})
	}
}

func (m *model) expire() {
	for _, p := range m.pools {
		m.deliver(p.Expire(m.time()))
	}
	if m.now < m.duration || len(m.asked) > 0 {
		m.after(expireTick, m.expire)
	}
}

// slowness returns how many times as long as usual calls that start now take.
func (s *server) slowness() float64 {
	if !s.m.uneven {
		return s.factor
	}
	// Each target is slow for 1.5 s of each 10 s, at a time of its own.
	if phase := (s.m.now + time.Duration(s.hash)*3700*time.Millisecond) % (10 * time.Second); phase < 1500*time.Millisecond {
		return 2.5 * s.factor
	}
	return s.factor
}

// take runs, queues or refuses a call; done is called with the answer.
func (s *server) take(c *call, done func(slots.Result)) {
	answer := func(r slots.Result) {
		r.Running, r.Queued, r.HasLoad = s.running, len(s.queue), true
		s.m.transfer(func() { done(r) })
	}
	arrived := s.m.now
	run := func() {
		took := time.Duration(float64(c.took) * s.slowness())
		isCut := s.m.now+took > c.deadline
		if s.m.now >= c.deadline {
			took = 0
		}
		s.running++
		s.m.after(min(took, c.deadline-s.m.now), func() {
			answer(slots.Result{Took: s.m.now - arrived, Succeeded: !isCut})
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	switch {
	case s.isFailing:
		answer(slots.Result{Took: 0})
	case s.running < 6:
		run()
	case len(s.queue) < targetQueue:
		s.queue = append(s.queue, run)
	default:
		answer(slots.Result{Refused: true})
	}
}
