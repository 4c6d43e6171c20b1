package targetpace_test

import (
	"math"
	"math/rand/v2"
	"time"

	"hickoryrock/internal/policy/targetpace"
)

// lossRate is the part of the reports that is lost.
const lossRate = 0.1

type (
	// way decides how many calls the routers send to the target.
	way interface {
		// begin reports whether a router may send a call now, and counts it if so.
		begin(router int, now time.Duration) bool
		// end records an answer: took is zero if it was refused.
		end(router int, took, now time.Duration)
		// report exchanges what the routers know.
		report(now time.Duration)
	}

	// ramp lets a share of the calls through that grows to 1 in 5 s.
	ramp struct{ rand *rand.Rand }

	// localWindows holds a window for each router, which only knows its own calls.
	localWindows struct {
		flying []int
		limits []float64
		// next returns the limit after an answer.
		next func(limit float64, took time.Duration) float64
	}

	// shared is what targetpace does: one window for the fleet.
	shared struct {
		rand  *rand.Rand
		usual time.Duration
		// slowIsSetback is set if a slow answer counts like a refusal.
		slowIsSetback bool
		// exact is set if one coordinator decides for all routers.
		exact bool
		// settled is set when the window does not apply at one of the routers any more.
		settled  bool
		trackers []*targetpace.Tracker
		// deliveries holds the reports under way by the time of their arrival.
		deliveries map[time.Duration][]windowDelivery
	}

	windowDelivery struct {
		to      int
		from    uint64
		reports []targetpace.Report
	}
)

func (w ramp) begin(_ int, now time.Duration) bool {
	return w.rand.Float64() < now.Seconds()/5
}
func (w ramp) end(int, time.Duration, time.Duration) {}
func (w ramp) report(time.Duration)                  {}

func newLocalWindows(routers int, next func(float64, time.Duration) float64) *localWindows {
	w := &localWindows{flying: make([]int, routers), limits: make([]float64, routers), next: next}
	for i := range w.limits {
		w.limits[i] = 1
	}
	return w
}

func (w *localWindows) begin(router int, _ time.Duration) bool {
	if float64(w.flying[router]) >= math.Floor(w.limits[router]) {
		return false
	}
	w.flying[router]++
	return true
}

func (w *localWindows) end(router int, took, _ time.Duration) {
	w.flying[router]--
	w.limits[router] = max(w.next(w.limits[router], took), 1)
}
func (w *localWindows) report(time.Duration) {}

// newIncrease returns windows with additive increase and multiplicative decrease.
func newIncrease(routers int, usual time.Duration) *localWindows {
	return newLocalWindows(routers, func(limit float64, took time.Duration) float64 {
		if took == 0 || took > 3*usual {
			return limit / 2
		}
		return limit + 1/limit
	})
}

// newGradient returns windows that follow the ratio of the usual time to the measured one.
func newGradient(routers int, usual time.Duration) *localWindows {
	return newLocalWindows(routers, func(limit float64, took time.Duration) float64 {
		if took == 0 {
			return limit / 2
		}
		gradient := min(max(1.5*usual.Seconds()/took.Seconds(), 0.5), 1)
		return 0.8*limit + 0.2*(limit*gradient+math.Sqrt(limit))
	})
}

func newShared(m *model, slowIsSetback, exact bool, opts ...targetpace.Option) *shared {
	w := &shared{rand: m.rand, usual: m.usual, slowIsSetback: slowIsSetback, exact: exact, deliveries: make(map[time.Duration][]windowDelivery)}
	usable := []uint64{target}
	for i := range m.targets - 1 {
		usable = append(usable, uint64(100+i))
	}
	for i := range m.routers {
		if exact && i > 0 {
			break
		}
		routers := among(m.routers, i)
		if exact {
			routers = among(1, 0)
		}
		tr := targetpace.NewTracker(routers, append(opts, targetpace.WithReportInterval(m.interval))...)
		tr.SetMean(service, usable, m.mean(), start)
		tr.Recovered(target, service, "ejection", start)
		w.trackers = append(w.trackers, tr)
	}
	return w
}

func (w *shared) tracker(router int) *targetpace.Tracker {
	if w.exact {
		return w.trackers[0]
	}
	return w.trackers[router]
}

func (w *shared) isSettled(now time.Duration) bool {
	for _, tr := range w.trackers {
		if w.settled {
			break
		}
		_, limited := tr.Window(target, after(now))
		w.settled = !limited
	}
	return w.settled
}

func (w *shared) begin(router int, now time.Duration) bool {
	return w.tracker(router).TryBegin(target, after(now))
}

func (w *shared) end(router int, took, now time.Duration) {
	tr := w.tracker(router)
	tr.End(target, after(now))
	switch {
	case took == 0:
		tr.RecordSetback(target, "refused", after(now))
	case took > 3*w.usual && w.slowIsSetback:
		tr.RecordSetback(target, "slow", after(now))
	case took > 3*w.usual:
		tr.RecordSlow(target, after(now))
	default:
		tr.RecordSuccess(target, after(now))
	}
}

func (w *shared) report(now time.Duration) {
	for _, d := range w.deliveries[now] {
		w.trackers[d.to].Merge(d.from, d.reports, after(now))
	}
	delete(w.deliveries, now)
	if w.exact {
		return
	}
	interval := reportInterval(len(w.trackers))
	for i, tr := range w.trackers {
		if now%interval != time.Duration(i)*modelStep%interval {
			continue
		}
		reports := tr.TakeReport(after(now))
		for to := range w.trackers {
			if len(reports) > 0 && to != i && w.rand.Float64() >= lossRate {
				at := now + time.Duration(2+w.rand.IntN(50))*modelStep
				w.deliveries[at] = append(w.deliveries[at], windowDelivery{to, uint64(i), reports})
			}
		}
	}
}
