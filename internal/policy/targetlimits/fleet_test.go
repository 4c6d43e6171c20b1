package targetlimits_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetlimits"
)

const (
	tick = 10 * time.Millisecond
	// A target may get limitRatio times what its limit allows in limitWindow, and limitSlack
	// calls more, from contactTime after it has named it.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	contactTime = 3 * time.Second
	// countedAfter is how long a router must have known a limit for its calls to count.
	countedAfter = 500 * time.Millisecond
)

type (
	// load describes a fleet before one limited target.
	load struct {
		routers int
		// limit is the target's limit at a time, nil for none.
		limit func(at time.Duration) *float64
		// demand is the number of calls a second that all routers want to send.
		demand int
		// loss is the share of lost reports, delay their longest delay.
		loss  float64
		delay time.Duration
		// restart is the number of routers that end each second and return without memory.
		restart int
	}

	delivery struct {
		at      time.Duration
		to      int
		from    uint64
		reports []targetlimits.Report
	}

	fleet struct {
		load
		rand       *rand.Rand
		trackers   []*targetlimits.Tracker
		processes  []uint64
		deliveries []delivery
		// knownSince is when each process first received an answer that names a limit. Its
		// calls count for the bound from half a second after that; counted are these.
		knownSince []time.Duration
		arrivals   []time.Duration
		counted    []time.Duration
	}
)

func newFleet(l load) *fleet {
	f := &fleet{load: l, rand: rand.New(rand.NewPCG(11, 1)), trackers: make([]*targetlimits.Tracker, l.routers), processes: make([]uint64, l.routers), knownSince: make([]time.Duration, l.routers)}
	for i := range f.trackers {
		f.start(i)
	}
	return f
}

func (f *fleet) interval() time.Duration {
	return 100 * time.Millisecond * time.Duration(1+f.routers/60)
}

func (f *fleet) start(i int) {
	var others []uint64
	for o := range f.routers {
		if o != i {
			others = append(others, uint64(o)*0x9e3779b97f4a7c15)
		}
	}
	f.processes[i], f.knownSince[i] = f.rand.Uint64(), -1
	f.trackers[i] = targetlimits.NewTracker(func() (uint64, []uint64) { return uint64(i) * 0x9e3779b97f4a7c15, others },
		targetlimits.WithReportInterval(f.interval))
}

func (f *fleet) run(duration time.Duration) {
	for now := time.Duration(0); now < duration; now += tick {
		f.deliveries = slices.DeleteFunc(f.deliveries, func(d delivery) bool {
			if d.at <= now {
				f.trackers[d.to].Merge(d.from, d.reports, after(now))
			}
			return d.at <= now
		})
		for range f.restart {
			if now%time.Second == 0 {
				f.start(f.rand.IntN(f.routers))
			}
		}
		for range f.demand / 100 {
			f.call(f.rand.IntN(f.routers), now)
		}
		f.report(now)
	}
}

func (f *fleet) call(router int, now time.Duration) {
	tr := f.trackers[router]
	if !tr.Allows(target, after(now)) {
		return
	}
	tr.Take(target, after(now))
	f.arrivals = append(f.arrivals, now)
	if known := f.knownSince[router]; known >= 0 && now-known >= countedAfter {
		f.counted = append(f.counted, now)
	}
	limit := targetlimits.Limit{}
	if value := f.limit(now); value != nil {
		limit = named(*value)
		if f.knownSince[router] < 0 {
			f.knownSince[router] = now
		}
	}
	tr.Observe(target, limit, after(now+5*time.Millisecond))
}

func (f *fleet) report(now time.Duration) {
	for i, tr := range f.trackers {
		if now%f.interval() != time.Duration(i)*tick%f.interval() {
			continue
		}
		reports := tr.TakeReport(after(now))
		if len(reports) == 0 {
			continue
		}
		for to := range f.trackers {
			if to != i && f.rand.Float64() >= f.loss {
				f.deliveries = append(f.deliveries, delivery{
					now + tick + time.Duration(f.rand.Int64N(int64(f.delay))), to, f.processes[i], reports,
				})
			}
		}
	}
}

// mostCounted returns the largest number of calls that count within limitWindow.
func (f *fleet) mostCounted() int {
	most, first := 0, 0
	for i, at := range f.counted {
		for at-f.counted[first] > limitWindow || (f.counted[first] < contactTime && first < i) {
			first++
		}
		if at >= contactTime {
			most = max(most, i-first+1)
		}
	}
	return most
}

func constant(limit float64) func(time.Duration) *float64 {
	return func(time.Duration) *float64 { return &limit }
}

// Guards against targets that get more calls than the limit that they name, because each
// router knows few of the calls, and against routers that leave most of the limit unused.
func TestLimitHoldsOverFleets(t *testing.T) {
	for _, routers := range []int{6, 85, 295} {
		for _, limit := range []float64{0, 0.3, 1, 2.6, 4.1, 12, 60} {
			for _, l := range []load{
				{demand: 400, delay: 50 * time.Millisecond},
				{demand: 400, delay: 300 * time.Millisecond, loss: 0.1},
				{demand: 400, delay: 50 * time.Millisecond, restart: 1},
			} {
				t.Run(fmt.Sprintf("%d-routers/limit-%v/loss-%v/restart-%d", routers, limit, l.loss, l.restart), func(t *testing.T) {
					c := qt.New(t)
					l.routers, l.limit = routers, constant(limit)
					f := newFleet(l)
					f.run(20 * time.Second)
					allowed := int(limitRatio*limit*limitWindow.Seconds()) + limitSlack
					got := f.mostCounted()
					c.Assert(got <= allowed, qt.IsTrue, qt.Commentf("%d calls in %v, %d allowed", got, limitWindow, allowed))
					late := 0
					for _, at := range f.arrivals {
						if at >= contactTime {
							late++
						}
					}
					c.Assert(float64(late) >= 0.5*limit*17, qt.IsTrue, qt.Commentf("%d calls in 17s", late))
				})
			}
		}
	}
}

// Guards against a target that stays limited for long after its last answer that names a
// limit.
func TestFullRateReturns(t *testing.T) {
	for _, routers := range []int{6, 85, 295} {
		t.Run(fmt.Sprintf("%d-routers", routers), func(t *testing.T) {
			two := 2.0
			f := newFleet(load{routers: routers, demand: 400, delay: 50 * time.Millisecond, limit: func(at time.Duration) *float64 {
				if at < 8*time.Second {
					return &two
				}
				return nil
			}})
			f.run(12 * time.Second)
			n := 0
			for _, at := range f.arrivals {
				if at >= 10*time.Second {
					n++
				}
			}
			qt.Assert(t, n >= 700, qt.IsTrue, qt.Commentf("%d of 800 calls in the third and fourth second after the end of the limit", n))
		})
	}
}
