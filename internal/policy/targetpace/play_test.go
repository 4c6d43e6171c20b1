package targetpace_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryrock/internal/policy/targetpace"
)

const (
	// returnsAt is when the new targets of a situation return or end their limits.
	returnsAt = 2 * time.Second
	// playTime is how long a situation is played at most.
	playTime = 9 * time.Second
	// checkInterval is the time between two checks whether a situation is over.
	checkInterval = 100 * time.Millisecond
	// refusalTime is the time that a refused call takes.
	refusalTime = time.Millisecond
	// limitedShare is the part of its fair rate that a target takes while it names a limit.
	limitedShare = 0.1
)

type (
	playedCall struct {
		router             int
		sentAt, endsAt     time.Duration
		isRunning, refused bool
	}

	playedTarget struct {
		calls []*playedCall
		// loads holds the number of calls by time, as routers learn it late.
		loads  []int
		served []time.Duration
		// isUp is unset from a crash to the return.
		isUp    bool
		toShare time.Duration
		// peak is the largest number of calls while new, in multiples of those that it bears.
		peak float64
	}

	// play is a fleet of trackers before all targets of a service.
	play struct {
		situation
		modelService
		routers   int
		rand      *rand.Rand
		trackers  []*targetpace.Tracker
		processes []uint64
		// excludedAt holds when each router last saw that each target was not in use, or zero if it
		// has noticed the return.
		excludedAt [][]time.Duration
		targets    []*playedTarget
		hashes     []uint64
		deliveries map[time.Duration][]windowDelivery
		// limitedAt is when the target with a limit got its last call.
		limitedAt time.Duration
		// held counts the calls that no target may get, refused those that a target refuses.
		held, refused int
	}
)

func newPlay(s situation, service modelService, routers int, seed uint64) *play {
	p := &play{
		situation: s, modelService: service, routers: routers, rand: rand.New(rand.NewPCG(seed, 5)),
		trackers: make([]*targetpace.Tracker, routers), processes: make([]uint64, routers), excludedAt: make([][]time.Duration, routers),
		deliveries: make(map[time.Duration][]windowDelivery),
	}
	for i := range service.targets {
		p.hashes = append(p.hashes, target+uint64(i))
		p.targets = append(p.targets, &playedTarget{isUp: true, toShare: playTime})
	}
	for r := range routers {
		p.startRouter(r)
	}
	return p
}

func (p *play) startRouter(r int) {
	p.processes[r] = p.rand.Uint64()
	p.excludedAt[r] = make([]time.Duration, len(p.hashes))
	p.trackers[r] = targetpace.NewTracker(among(p.routers, r), targetpace.WithProportionalShares(),
		targetpace.WithReportInterval(func() time.Duration { return reportInterval(p.routers) }))
}

// returnAt is when a target returned last, or zero.
func (p *play) returnAt(i int, now time.Duration) time.Duration {
	switch back := returnsAt + p.crashesAfter + time.Second; {
	case !p.isNew(i, len(p.targets)) || now < returnsAt:
		return 0
	case p.crashesAfter > 0 && now >= back:
		return back
	}
	return returnsAt
}

// isExcluded reports whether a target gets no calls, or few if it names a limit.
func (p *play) isExcluded(i int, now time.Duration) bool {
	return !p.targets[i].isUp || (now < returnsAt && p.isNew(i, len(p.targets)))
}

// bears is the number of calls that a target serves at once.
func (p *play) bears(i int, now time.Duration) int {
	if p.isNew(i, len(p.targets)) && now < returnsAt+p.refusesFor+p.weakFor {
		return p.slots / 3
	}
	return p.slots
}

// seen is the load of a target as a router knows it.
func (p *play) seen(router, i int, now time.Duration) int {
	interval := reportInterval(p.routers)
	age := 50*time.Millisecond + (now+time.Duration(router)*7*time.Millisecond)%interval
	if p.rand.Float64() < lossRate {
		age += interval
	}
	if at := int((now - age) / modelStep); at >= 0 {
		return p.targets[i].loads[at]
	}
	return 0
}

func (p *play) run() {
	for now := time.Duration(0); now < playTime && !p.isOver(now); now += modelStep {
		p.change(now)
		for i, t := range p.targets {
			p.finish(i, t, now)
		}
		for range poisson(p.rand, p.demand*modelStep.Seconds()) {
			p.arrive(p.rand.IntN(p.routers), now)
		}
		for i, t := range p.targets {
			t.loads = append(t.loads, len(t.calls))
			p.measure(i, t, now)
		}
		p.updateRouters(now)
	}
}

// isOver reports whether the new targets have their shares and are settled at all routers.
func (p *play) isOver(now time.Duration) bool {
	if now%checkInterval != 0 || now < returnsAt+p.refusesFor+p.weakFor+p.crashesAfter+2*time.Second {
		return false
	}
	for i, t := range p.targets {
		if p.isNew(i, len(p.targets)) && (t.toShare == playTime || !p.isSettled(i, now)) {
			return false
		}
	}
	return true
}

func (p *play) isSettled(i int, now time.Duration) bool {
	return !slices.ContainsFunc(p.trackers, func(tr *targetpace.Tracker) bool { return !tr.IsSettled(p.hashes[i], after(now)) })
}

// change crashes and returns targets, and restarts routers.
func (p *play) change(now time.Duration) {
	if p.crashesAfter > 0 && now == returnsAt+p.crashesAfter {
		p.targets[0].isUp = false
		for _, c := range p.targets[0].calls {
			p.trackers[c.router].End(p.hashes[0], after(now))
			p.trackers[c.router].RecordSetback(p.hashes[0], "unreachable", after(now))
		}
		p.targets[0].calls, p.targets[0].served, p.targets[0].toShare = nil, nil, playTime
	}
	if p.crashesAfter > 0 && now == returnsAt+p.crashesAfter+time.Second {
		p.targets[0].isUp = true
	}
	if p.restarts && now >= returnsAt && now%(10*time.Second/time.Duration(p.routers)/modelStep*modelStep) == 0 {
		r := p.rand.IntN(p.routers)
		p.startRouter(r)
		for _, tr := range p.trackers {
			tr.ReportAll()
		}
		for _, t := range p.targets { // Its calls end with it.
			t.calls = slices.DeleteFunc(t.calls, func(c *playedCall) bool { return c.router == r })
		}
	}
}

// updateRouters exchanges reports.
func (p *play) updateRouters(now time.Duration) {
	for _, d := range p.deliveries[now] {
		p.trackers[d.to].Merge(d.from, d.reports, after(now))
	}
	delete(p.deliveries, now)
	interval := reportInterval(p.routers)
	for r, tr := range p.trackers {
		if (now+time.Duration(r)*7*modelStep)%interval != 0 {
			continue
		}
		reports := tr.TakeReport(after(now))
		for to := range p.trackers {
			if len(reports) > 0 && to != r && p.rand.Float64() >= lossRate {
				at := now + time.Duration(2+p.rand.IntN(50))*modelStep
				p.deliveries[at] = append(p.deliveries[at], windowDelivery{to, p.processes[r], reports})
			}
		}
	}
}

// updateRouter tells a router's tracker what updatePace of the package forward tells it at each call.
func (p *play) updateRouter(r int, now time.Duration) {
	tr := p.trackers[r]
	var usable []uint64
	calls, n := 0, 0
	for i, hash := range p.hashes {
		if p.isExcluded(i, now) {
			p.excludedAt[r][i] = now
			continue
		}
		usable = append(usable, hash)
		// A router that has restarted meanwhile has not noticed the return.
		if at := p.excludedAt[r][i]; p.why != "" && at > 0 {
			tr.RecoveredSince(hash, service, p.why, after(at), after(now))
			p.excludedAt[r][i] = 0
		}
		if tr.IsSettled(hash, after(now)) {
			calls, n = calls+p.seen(r, i, now), n+1
		}
	}
	mean := -1.0
	if n > 0 {
		mean = float64(calls) / float64(n)
	}
	tr.SetMean(service, usable, mean, after(now))
}

// arrive sends a call to the less loaded of two random targets that may get it.
func (p *play) arrive(router int, now time.Duration) {
	p.updateRouter(router, now)
	tr := p.trackers[router]
	order := p.rand.Perm(len(p.targets))
	slices.SortStableFunc(order[:2], func(a, b int) int { return p.seen(router, a, now) - p.seen(router, b, now) })
	for _, i := range order {
		if p.isExcluded(i, now) {
			if !p.isLimited || now-p.limitedAt < p.limitedInterval() {
				continue
			}
			p.limitedAt = now
		}
		if !tr.TryBegin(p.hashes[i], after(now)) {
			continue
		}
		t := p.targets[i]
		c := &playedCall{router: router, sentAt: now}
		bears := p.bears(i, now)
		c.refused = len(t.calls) >= p.slots+p.queue || (p.refusesFor > 0 && bears < p.slots && len(t.calls) >= bears)
		if c.refused {
			p.refused++
			c.isRunning, c.endsAt = true, now+refusalTime
		}
		t.calls = append(t.calls, c)
		p.serve(i, t, now)
		return
	}
	if now >= returnsAt {
		p.held++
	}
}

// limitedInterval is the time between two calls to a target that names a limit.
func (p *play) limitedInterval() time.Duration {
	return time.Duration(float64(time.Second) * float64(len(p.targets)) / p.demand / limitedShare)
}

func (p *play) serve(i int, t *playedTarget, now time.Duration) {
	for _, c := range t.calls[:min(len(t.calls), p.bears(i, now))] {
		if !c.isRunning {
			c.isRunning, c.endsAt = true, now+time.Duration(float64(p.usual)*(0.5+p.rand.Float64()))
		}
	}
}

func (p *play) finish(i int, t *playedTarget, now time.Duration) {
	t.calls = slices.DeleteFunc(t.calls, func(c *playedCall) bool {
		if !c.isRunning || c.endsAt > now {
			return false
		}
		tr, hash := p.trackers[c.router], p.hashes[i]
		tr.End(hash, after(now))
		took := now - c.sentAt
		switch {
		case c.refused:
			tr.RecordSetback(hash, "refused", after(now))
			return true
		case took > 3*p.usual:
			tr.RecordSlow(hash, after(now))
		default:
			tr.RecordSuccess(hash, after(now))
		}
		t.served = append(t.served, now)
		return true
	})
	p.serve(i, t, now)
}

// measure records the largest number of calls while a window applies at a router, and the time
// until a target that has returned has 90% of its share.
func (p *play) measure(i int, t *playedTarget, now time.Duration) {
	back := p.returnAt(i, now)
	if back == 0 {
		return
	}
	load := float64(len(t.calls)) / float64(p.bears(i, now))
	if load > t.peak && ((p.why == "" && t.toShare == playTime) || !p.isSettled(i, now)) {
		t.peak = load
	}
	for len(t.served) > 0 && t.served[0] < now-servedWindow {
		t.served = t.served[1:]
	}
	fair := p.demand / float64(len(p.targets)) * servedWindow.Seconds()
	if t.isUp && t.toShare == playTime && now >= back+servedWindow && float64(len(t.served)) >= 0.9*fair {
		t.toShare = now - back
	}
}
