package targetpace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetpace"
)

const (
	tick = 20 * time.Millisecond
	// transit is the longest time that a call takes to its target.
	transit = 40 * time.Millisecond
	// hearTime is the longest time until routers have heard a new process, or its silence.
	hearTime = 500 * time.Millisecond
)

type (
	// chilled describes a fleet before one target that is cold in some periods. All routers
	// always want to send to it.
	chilled struct {
		name    string
		routers int
		// periods are the times in which the target is cold.
		periods [][2]time.Duration
		// late is the longest time until a router hears that the target is cold.
		late time.Duration
		// cut is the share of routers that are cut off from each other and all others from
		// cutAt on.
		cut   float64
		cutAt time.Duration
		// restarts and kills are the routers a second that end; those that are restarted
		// return at once without memory.
		restarts, kills int
		// additional is the number of routers with new addresses a second.
		additional int
	}

	// chilledRouter is one process.
	chilledRouter struct {
		hash      uint64
		tracker   *targetpace.Tracker
		startedAt time.Duration
		alive     bool
		cut       bool
		learnsAt  time.Duration
	}

	chilledFleet struct {
		chilled
		rand    *rand.Rand
		now     time.Duration
		routers []*chilledRouter
		// arrivals are the calls at the target that count for the bound.
		arrivals []time.Duration
	}
)

func newChilledFleet(s chilled) *chilledFleet {
	f := &chilledFleet{chilled: s, rand: rand.New(rand.NewPCG(5, 6))}
	for _, h := range hashes(s.routers) {
		f.add(h)
	}
	return f
}

func (f *chilledFleet) add(hash uint64) {
	r := &chilledRouter{hash: hash, startedAt: f.now, alive: true}
	r.tracker = targetpace.NewTracker(func() (uint64, []uint64) { return hash, f.heard(r) })
	r.learnsAt = f.learns(f.now)
	f.routers = append(f.routers, r)
}

// heard returns the live routers that one hears: those that both have run for hearTime, and that
// are not cut off for as long.
func (f *chilledFleet) heard(r *chilledRouter) []uint64 {
	out := make([]uint64, 0, len(f.routers))
	for _, o := range f.routers {
		hears := !r.cut && !o.cut || f.now < f.cutAt+hearTime
		// A cut does not spare what has started since.
		if (r.cut || o.cut) && max(r.startedAt, o.startedAt) > f.cutAt {
			hears = false
		}
		isKnown := f.now-max(r.startedAt, o.startedAt) >= hearTime || max(r.startedAt, o.startedAt) == 0
		if o != r && o.alive && hears && isKnown {
			out = append(out, o.hash)
		}
	}
	return out
}

// learns returns when a router hears of the cold period at a time or of the next one.
func (f *chilledFleet) learns(at time.Duration) time.Duration {
	for _, p := range f.periods {
		if at < p[1] {
			return max(at, p[0]) + time.Duration(f.rand.Int64N(int64(f.late+1)))
		}
	}
	return 1 << 62
}

func (f *chilledFleet) run(duration time.Duration) {
	for ; f.now < duration; f.now += tick {
		if f.now%time.Second == 0 && f.now > 0 {
			f.disturb()
		}
		for _, r := range f.routers {
			if r.alive {
				f.step(r)
			}
		}
	}
	slices.Sort(f.arrivals)
}

func (f *chilledFleet) step(r *chilledRouter) {
	if f.now == f.cutAt && f.rand.Float64() < f.cut {
		r.cut = true
	}
	for _, p := range f.periods {
		if r.learnsAt < p[1] && f.now >= r.learnsAt {
			r.tracker.Observe(target, service, stated(p[1]-f.now), after(f.now))
			r.learnsAt = f.learns(p[1])
		}
	}
	if _, ok := r.tracker.Allows(target, after(f.now)); !ok {
		return
	}
	// Calls of routers that do not know that the target is cold do not count.
	if w := r.tracker.Warming(after(f.now)); len(w) == 1 && w[0].Cold && r.tracker.TryBegin(target, after(f.now)) {
		f.arrivals = append(f.arrivals, f.now+time.Duration(f.rand.Int64N(int64(transit))))
		r.tracker.End(target, after(f.now))
	}
}

func (f *chilledFleet) disturb() {
	for i := range f.restarts + f.kills {
		r := f.routers[f.rand.IntN(len(f.routers))]
		if !r.alive {
			continue
		}
		r.alive = false
		if i < f.restarts {
			f.add(r.hash)
			f.routers[len(f.routers)-1].cut = r.cut
		}
	}
	for range f.additional {
		f.add(f.rand.Uint64())
	}
}

// most returns the largest number of calls in one second.
func (f *chilledFleet) most() int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at-f.arrivals[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a cold target that gets more calls in a second than it bears, because routers do
// not hear each other, have lost their memory, have ended, or learn late that it is cold; and
// against routers that leave most of the rate unused.
func TestColdBoundHoldsOverFleets(t *testing.T) {
	twice := [][2]time.Duration{{2 * time.Second, 6 * time.Second}, {7 * time.Second, 9 * time.Second}}
	for _, routers := range []int{6, 79, 295} {
		for _, s := range []chilled{
			{name: "undisturbed"},
			{name: "cut off", cut: 0.4, cutAt: 3 * time.Second},
			{name: "all cut off", cut: 1, cutAt: 3 * time.Second},
			{name: "restarted", restarts: 3},
			{name: "restarted while cut off", restarts: 3, cut: 0.4, cutAt: 3 * time.Second},
			{name: "killed", kills: 1},
			{name: "late to hear", late: 1500 * time.Millisecond},
			{name: "with additional routers", additional: 2},
			{name: "all at once", late: 1500 * time.Millisecond, additional: 1, kills: 1, restarts: 1, cut: 0.2, cutAt: 3 * time.Second},
		} {
			t.Run(fmt.Sprintf("%d-routers/%s", routers, s.name), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				s.routers, s.periods = routers, twice
				f := newChilledFleet(s)
				f.run(9 * time.Second)
				c.Logf("at most %d calls in a second, %d in all", f.most(), len(f.arrivals))
				c.Assert(f.most() <= 20, qt.IsTrue, qt.Commentf("%d calls in a second, 20 allowed", f.most()))
				if s.restarts+s.kills == 0 && s.late == 0 {
					c.Assert(len(f.arrivals) >= 30, qt.IsTrue, qt.Commentf("%d calls, 60 at the rate", len(f.arrivals)))
				}
			})
		}
	}
}

// Guards against bounds of other settings that are exceeded, and against a bound that leaves no
// room beside one call and blocks the target.
func TestColdBoundHoldsForSettings(t *testing.T) {
	for _, l := range []targetpace.Limit{
		{PerSecond: 10, Overshoot: 1.5, Slack: 5}, {PerSecond: 100, Overshoot: 1, Slack: 0}, {PerSecond: 100, Overshoot: 1.5, Slack: 5},
		{PerSecond: 1, Overshoot: 1, Slack: 0}, {PerSecond: 0.4, Overshoot: 1.5, Slack: 1}, {PerSecond: 2, Overshoot: 1.5, Slack: 5},
		{PerSecond: 3, Overshoot: 1, Slack: 1},
	} {
		t.Run(fmt.Sprintf("%v-%v-%v", l.PerSecond, l.Overshoot, l.Slack), func(t *testing.T) {
			c := qt.New(t)
			f := &chilledFleet{chilled: chilled{periods: [][2]time.Duration{{0, time.Minute}}}}
			trackers := make([]*targetpace.Tracker, 79)
			for i := range trackers {
				trackers[i] = newTracker(79, i, 4)
				trackers[i].Observe(target, service, targetpace.State{ColdStated: true, ColdLeft: time.Minute, Limit: l}, after(joined))
			}
			for at := joined; at < joined+10*time.Second; at += 5 * time.Millisecond {
				for _, tr := range trackers {
					if tr.TryBegin(target, after(at)) {
						tr.End(target, after(at))
						f.arrivals = append(f.arrivals, at)
					}
				}
			}
			allowed := int(l.PerSecond*l.Overshoot + l.Slack)
			c.Assert(f.most() <= allowed, qt.IsTrue, qt.Commentf("%d calls in a second, %d allowed", f.most(), allowed))
			c.Assert(float64(len(f.arrivals)) >= 5*l.PerSecond, qt.IsTrue, qt.Commentf("%d calls in 10 s", len(f.arrivals)))
		})
	}
}
