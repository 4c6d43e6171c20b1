package targetpace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetpace"
)

const (
	modelStep = time.Millisecond
	// modelWarmUp is the number of calls after which the recovered target works at its usual
	// pace.
	modelWarmUp = 40
	modelTime   = 12 * time.Second
	// servedWindow is the time over which the rate of the target is measured.
	servedWindow = 500 * time.Millisecond
)

var (
	plainService  = modelService{"plain", 3, 6, 24, 30 * time.Millisecond, 150 * time.Millisecond, 192, 8}
	engineService = modelService{"engines", 10, 64, 64, 500 * time.Millisecond, 1500 * time.Millisecond, 600, 3}
)

type (
	// modelService is a service one of whose targets returns at zero.
	modelService struct {
		name                  string
		targets, slots, queue int
		// usual is the usual time of a call; one that takes longer than objective is late.
		usual, objective time.Duration
		// demand is in calls a second.
		demand float64
		// coldFactor is how much longer the first calls take after the return.
		coldFactor float64
	}

	modelCall struct {
		router  int
		sentAt  time.Duration
		endsAt  time.Duration
		running bool
	}

	model struct {
		modelService
		routers int
		rand    *rand.Rand
		way     way
		// prefers is set if a router sends to the target whenever it may.
		prefers bool
		calls   []*modelCall
		// servedTotal counts the answers.
		servedTotal int
		served      []time.Duration
		// inFlight holds the calls at the target by time, as routers learn them late.
		inFlight []int
	}

	// modelResult is a row of the table.
	modelResult struct {
		toShare time.Duration
		// overshoot is the largest number of calls at the target until then, in means.
		overshoot float64
		// peak is the largest number of calls while the window applies at all routers.
		peak          int
		late, refused int
		sent          int
	}
)

func (m *model) mean() float64 { return m.demand / float64(m.targets) * m.usual.Seconds() }

func (m *model) interval() time.Duration { return reportInterval(m.routers) }

func reportInterval(routers int) time.Duration {
	return 100 * time.Millisecond * time.Duration(1+routers/60)
}

// run plays the model and returns its measures.
func (m *model) run() modelResult {
	r := modelResult{toShare: modelTime}
	fair := m.demand / float64(m.targets) * servedWindow.Seconds()
	for now := time.Duration(0); now < modelTime; now += modelStep {
		m.finish(now, &r)
		for range poisson(m.rand, m.demand*modelStep.Seconds()) {
			m.arrive(m.rand.IntN(m.routers), now, &r)
		}
		m.inFlight = append(m.inFlight, len(m.calls))
		if r.toShare == modelTime {
			r.overshoot = max(r.overshoot, float64(len(m.calls))/m.mean())
		}
		if w, ok := m.way.(*shared); ok && len(m.calls) > r.peak && !w.isSettled(now) {
			r.peak = len(m.calls)
		}
		m.way.report(now)
		for len(m.served) > 0 && m.served[0] < now-servedWindow {
			m.served = m.served[1:]
		}
		if r.toShare == modelTime && float64(len(m.served)) >= 0.9*fair {
			r.toShare = now
		}
	}
	return r
}

// arrive sends a call of a router to the target, or to another one.
func (m *model) arrive(router int, now time.Duration, r *modelResult) {
	isChosen := (m.prefers && m.isLimited(router, now)) || m.chooses(router, now)
	if !isChosen || !m.way.begin(router, now) {
		return
	}
	r.sent++
	if len(m.calls) >= m.slots+m.queue {
		r.refused++
		m.way.end(router, 0, now)
		return
	}
	m.calls = append(m.calls, &modelCall{router: router, sentAt: now})
	m.serve(now)
}

// isLimited reports whether a shared window applies at a router.
func (m *model) isLimited(router int, now time.Duration) bool {
	w, ok := m.way.(*shared)
	if !ok {
		return false
	}
	_, limited := w.tracker(router).Window(target, after(now))
	return limited
}

// chooses takes the less loaded of two random targets, by loads that are as old as a report.
func (m *model) chooses(router int, now time.Duration) bool {
	if m.rand.Float64() > 2/float64(m.targets) {
		return false
	}
	age := 50*time.Millisecond + (now+time.Duration(router)*7*time.Millisecond)%m.interval()
	if m.rand.Float64() < lossRate {
		age += m.interval()
	}
	seen := 0
	if at := int((now - age) / modelStep); at >= 0 {
		seen = m.inFlight[at]
	}
	return seen < poisson(m.rand, m.mean())
}

// serve starts waiting calls on free slots. Calls take longer until the target is warm.
func (m *model) serve(now time.Duration) {
	for _, c := range m.calls[:min(len(m.calls), m.slots)] {
		if !c.running {
			factor := 1 + (m.coldFactor-1)*max(1-float64(m.servedTotal)/modelWarmUp, 0)
			c.running, c.endsAt = true, now+time.Duration(float64(m.usual)*factor*(0.5+m.rand.Float64()))
		}
	}
}

func (m *model) finish(now time.Duration, r *modelResult) {
	m.calls = slices.DeleteFunc(m.calls, func(c *modelCall) bool {
		if !c.running || c.endsAt > now {
			return false
		}
		m.servedTotal++
		m.served = append(m.served, now)
		took := now - c.sentAt
		if took > m.objective {
			r.late++
		}
		m.way.end(c.router, took, now)
		return true
	})
	m.serve(now)
}

func poisson(r *rand.Rand, mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := r.Float64(); p > limit; p *= r.Float64() {
		n++
	}
	return n
}

// playModel plays a way over some seeds and returns the mean time, the largest peak and the sums of
// the other measures.
func playModel(s modelService, routers, seeds int, prefers bool, newWay func(*model) way) modelResult {
	var sum modelResult
	for seed := range seeds {
		m := &model{modelService: s, routers: routers, rand: rand.New(rand.NewPCG(uint64(seed), 3)), prefers: prefers}
		m.way = newWay(m)
		r := m.run()
		sum.toShare += r.toShare / time.Duration(seeds)
		sum.overshoot += r.overshoot
		sum.peak = max(sum.peak, r.peak)
		sum.late, sum.refused, sum.sent = sum.late+r.late, sum.refused+r.refused, sum.sent+r.sent
	}
	return sum
}

// Compares ways to give a recovered target its share, and prints a table. Guards against shares
// that let more calls through than the window of the fleet; and, in large fleets, against proportional
// ones with which more calls are late than without a slow start, or that are slower than
// a fixed ramp or flood the target where calls are short.
func TestWaysCompared(t *testing.T) {
	seeds := 2
	if testing.Verbose() {
		seeds = 20
	}
	t.Logf("%-8s %7s  %-21s %9s %9s %5s %6s %8s %6s", "service", "routers", "way", "to-90%-s", "overshoot", "peak", "late", "refused", "sent")
	for _, s := range []modelService{plainService, engineService} {
		for _, routers := range []int{6, 79, 295} {
			play := func(name string, prefers bool, newWay func(*model) way) modelResult {
				r := playModel(s, routers, seeds, prefers, newWay)
				n := float64(seeds)
				t.Logf("%-8s %7d  %-21s %9.2f %9.1f %5d %6.1f %8.1f %6.0f", s.name, routers, name, r.toShare.Seconds(), r.overshoot/n, r.peak,
					float64(r.late)/n, float64(r.refused)/n, float64(r.sent)/n)
				return r
			}
			none := play("none", false, func(m *model) way {
				return newLocalWindows(m.routers, func(float64, time.Duration) float64 { return 1e9 })
			})
			fixed := play("fixed-ramp", false, func(m *model) way { return ramp{m.rand} })
			_ = play("increase-decrease", false, func(m *model) way { return newIncrease(m.routers, m.usual) })
			_ = play("latency-gradient", false, func(m *model) way { return newGradient(m.routers, m.usual) })
			_ = play("share-slow-is-setback", false, func(m *model) way { return newShared(m, true, false) })
			share := play("share", false, func(m *model) way { return newShared(m, false, false) })
			preferred := play("share-preferred", true, func(m *model) way { return newShared(m, false, false) })
			proportional := play("proportional-share", false, func(m *model) way {
				return newShared(m, false, false, targetpace.WithProportionalShares())
			})
			exact := play("window-at-coordinator", true, func(m *model) way { return newShared(m, false, true) })
			t.Run(fmt.Sprintf("%s/%d-routers", s.name, routers), func(t *testing.T) {
				c := qt.New(t)
				for _, r := range []modelResult{share, preferred, proportional, exact} {
					c.Assert(r.toShare < modelTime, qt.IsTrue)
				}
				goal := int(math.Ceil((&model{modelService: s}).mean())) + 2
				for _, r := range []modelResult{share, preferred, exact} {
					c.Assert(r.peak <= goal, qt.IsTrue, qt.Commentf("%d calls, %d allowed", r.peak, goal))
				}
				// The ways differ by less than seeds do in a fleet that is smaller than the window.
				if routers == 6 {
					return
				}
				c.Assert(proportional.late+proportional.refused <= none.late+none.refused, qt.IsTrue)
				if s.name == plainService.name {
					c.Assert(proportional.overshoot <= none.overshoot, qt.IsTrue)
					c.Assert(proportional.toShare <= fixed.toShare, qt.IsTrue)
				}
			})
		}
	}
}
