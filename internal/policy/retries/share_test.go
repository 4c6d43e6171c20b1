package retries

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	fleetRatio  = 0.2
	window      = 10 * time.Second
	modelTick   = 10 * time.Millisecond
	updateEvery = 2 * time.Second
	returnTime  = 3 * time.Second
)

type (
	// budgetFleet models routers that share a retry budget, before one service.
	budgetFleet struct {
		routers []*budgetRouter
		slack   float64
		// hears returns the number of routers that one hears at a time, restarts whether its
		// process starts anew, fails whether the service fails. Callers come back to a
		// router returnTime after its start.
		hears    func(at time.Duration, routers int) int
		restarts func(at time.Duration, router int) bool
		fails    func(at time.Duration) bool
		requests []time.Duration
		retries  []time.Duration
	}

	budgetRouter struct {
		budgets *Budgets
		share   *Share
		started time.Duration
	}
)

func (r *budgetRouter) start() {
	r.budgets = NewBudgets(WithFraction(0.8*fleetRatio), WithFloor(0), WithBurst(1), WithEmptyStart())
	r.share = new(Share)
}

// run plays a fleet with perSecond requests a second, evenly spread.
func (f *budgetFleet) run(routers, perSecond int, length time.Duration) {
	for range routers {
		r := new(budgetRouter)
		r.start()
		f.routers = append(f.routers, r)
	}
	gap := time.Second / time.Duration(perSecond)
	next, turn := time.Duration(0), 0
	for at := time.Duration(0); at < length; at += modelTick {
		now := time.Unix(0, 0).Add(at)
		for i, r := range f.routers {
			if f.restarts != nil && f.restarts(at, i) {
				r.start()
				r.started = at
			}
			if at%updateEvery == 0 {
				r.budgets.SetBurst(r.share.Burst(0.8*f.slack, f.hears(at, routers), now))
			}
		}
		for ; next <= at; next += gap {
			r := f.routers[turn%routers]
			turn++
			if r.started > 0 && at-r.started < returnTime {
				continue
			}
			f.requests = append(f.requests, at)
			r.budgets.Request(now, "", "s")
			if f.fails(at) && r.budgets.Retry(now, "", "s") == Allowed {
				f.retries = append(f.retries, at)
			}
		}
	}
}

// assertWithinBudget fails if some window has more retries than the platform allows.
func (f *budgetFleet) assertWithinBudget(t *testing.T) {
	t.Helper()
	count := func(list []time.Duration, from, to time.Duration) (n float64) {
		for _, at := range list {
			if at > from && at <= to {
				n++
			}
		}
		return n
	}
	most := 0.0
	for i, at := range f.retries {
		if i%5 != 0 && i != len(f.retries)-1 {
			continue
		}
		retries, requests := count(f.retries, at-window, at), count(f.requests, at-window, at)
		most = max(most, retries-fleetRatio*requests)
	}
	qt.Assert(t, most <= f.slack, qt.IsTrue, qt.Commentf("%.0f retries beyond the ratio, %v allowed", most, f.slack))
}

// Guards against more retries than the platform allows (BUDGET, issue 36).
func TestFleetStaysWithinItsRetryBudget(t *testing.T) {
	always := func(_ time.Duration, routers int) int { return routers }
	failsAfter := func(start time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at >= start }
	}
	for _, size := range []struct {
		routers, perSecond int
		slack              float64
	}{{6, 37, 52}, {8, 100, 56}, {87, 400, 214}, {295, 1000, 630}} {
		run := func(name string, f *budgetFleet) {
			t.Run(fmt.Sprintf("%d routers/%s", size.routers, name), func(t *testing.T) {
				f.slack = size.slack
				f.run(size.routers, size.perSecond, 60*time.Second)
				f.assertWithinBudget(t)
			})
		}
		run("that hear each other", &budgetFleet{hears: always, fails: failsAfter(20 * time.Second)})
		run("that do not hear each other for a time", &budgetFleet{
			hears: func(at time.Duration, routers int) int {
				if at > 4*time.Second && at < 45*time.Second {
					return 1
				}
				return routers
			},
			fails: failsAfter(40 * time.Second),
		})
		run("that are all restarted while the service fails", &budgetFleet{
			hears: always, fails: failsAfter(20 * time.Second),
			restarts: func(at time.Duration, _ int) bool { return at == 21*time.Second },
		})
	}
}
