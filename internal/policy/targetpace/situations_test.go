package targetpace_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/targetpace"
)

const (
	// restoreTime is the time in which a target that answers as usual has its share back after a
	// limit (0022), settledTime that after other recoveries (0018).
	restoreTime = 2 * time.Second
	settledTime = 5 * time.Second
)

var (
	// unevenService is the plain service of deployment R (0022).
	unevenService = modelService{"plain", 6, 6, 24, 60 * time.Millisecond, 300 * time.Millisecond, 240, 1}

	situations = []situation{
		{name: "refuses", why: "ejection", isNew: first, refusesFor: 3 * time.Second},
		{name: "is weak", why: "ejection", isNew: first, weakFor: 3 * time.Second},
		{name: "crashes", why: "ejection", isNew: first, crashesAfter: 500 * time.Millisecond},
		{name: "a third returns", why: "ejection", isNew: func(i, n int) bool { return i < n/3 }, isSound: true},
		{name: "routers restart", why: "ejection", isNew: first, restarts: true, isSound: true},
		{name: "a limit ends", why: targetpace.LimitEnded, isNew: first, isLimited: true, isSound: true},
		{name: "a limit ends, growth with successes only", why: "ejection", isNew: first, isLimited: true, isCompared: true},
		{name: "a limit ends, then it refuses", why: targetpace.LimitEnded, isNew: first, isLimited: true, refusesFor: 3 * time.Second},
		{name: "all are new", why: "ejection", isNew: func(int, int) bool { return true }},
	}
)

type (
	// situation is what happens to targets while they are new.
	situation struct {
		name, why string
		isNew     func(i, targets int) bool
		// refusesFor is the time for which a new target serves a third of its slots at once and
		// refuses other calls, weakFor that for which it lets the others wait.
		refusesFor, weakFor time.Duration
		// crashesAfter is the time after which a new target loses its calls; it returns one
		// second later.
		crashesAfter time.Duration
		// restarts is set if a tenth of the routers restarts each second.
		restarts bool
		// isLimited is set if the new targets have named a limit before.
		isLimited bool
		// isCompared is set for a rule that is not used.
		isCompared bool
		// isSound is set if the new targets answer as usual.
		isSound bool
	}

	// sum adds up plays of a situation with different seeds; mean is that of the times until the
	// targets have 90% of their share, peak in multiples of the calls that a target serves at once.
	sum struct {
		peak          float64
		slowest, mean time.Duration
		held, refused int
	}
)

func first(i, _ int) bool { return i == 0 }

func playAll(s situation, service modelService, routers int, seeds uint64) sum {
	var out sum
	returns := time.Duration(0)
	for seed := range seeds {
		p := newPlay(s, service, routers, seed)
		p.run()
		out.held, out.refused = out.held+p.held, out.refused+p.refused
		for i, target := range p.targets {
			if s.isNew(i, len(p.targets)) {
				out.peak, out.slowest = max(out.peak, target.peak), max(out.slowest, target.toShare)
				out.mean, returns = out.mean+target.toShare, returns+1
			}
		}
	}
	out.mean /= returns
	return out
}

// Plays fleets whose targets refuse or crash while they are new, return together, end a limit, or
// return while routers restart, and prints a table. Guards against a new target that has more than
// twice the calls that it serves at once, against a sound one that waits longer for its share than
// is stated, and against calls that are held back although a target could serve them.
func TestSituations(t *testing.T) {
	seeds := uint64(1)
	if testing.Verbose() {
		seeds = 5
	}
	t.Log("| service | routers | situation | to-share-s | slowest-s | peak | refused | held |")
	for _, service := range []modelService{unevenService, engineService} {
		for _, routers := range []int{6, 79, 295} {
			play := func(s situation) sum {
				got := playAll(s, service, routers, seeds)
				t.Logf("| %s | %d | %s | %.2f | %.2f | %.1f | %.1f | %d |", service.name, routers, s.name, got.mean.Seconds(),
					got.slowest.Seconds(), got.peak, float64(got.refused)/float64(seeds), got.held)
				return got
			}
			for _, s := range situations {
				// The largest fleet takes minutes with the race detector; it is played whole with -v.
				isLarge := service == engineService && routers > 200 && !s.isSound
				if (s.isCompared || isLarge) && !testing.Verbose() {
					continue
				}
				t.Run(fmt.Sprintf("%s/%d-routers/%s", service.name, routers, s.name), func(t *testing.T) {
					got := play(s)
					if s.isCompared {
						return
					}
					assertSituation(qt.New(t), s, got)
					// A window of 2 is nearly the share of a target of the plain service, so that the
					// seeds differ by more there.
					if s.refusesFor+s.weakFor > 0 && (service == engineService || testing.Verbose()) {
						without := s
						without.name, without.why = s.name+", no slow start", ""
						none := play(without)
						if service == engineService {
							assertBetter(qt.New(t), s, got, none)
						}
					}
				})
			}
		}
	}
}

// assertSituation checks what callers need.
func assertSituation(c *qt.C, s situation, got sum) {
	c.Helper()
	c.Assert(got.held, qt.Equals, 0)
	// Windows do not apply to a service that has only new targets. A weak target is not bounded by
	// twice the calls that it serves at once, see 0019.
	if s.weakFor == 0 && s.name != "all are new" {
		c.Assert(got.peak <= 2, qt.IsTrue, qt.Commentf("%.2f times the calls that the target serves at once", got.peak))
	}
	most := settledTime
	if s.isLimited {
		most = restoreTime
	}
	if s.isSound {
		c.Assert(got.slowest <= most, qt.IsTrue, qt.Commentf("%v", got.slowest))
	}
}

// assertBetter checks that a slow start spares targets that bear less than usual.
func assertBetter(c *qt.C, s situation, got, none sum) {
	c.Helper()
	if s.refusesFor > 0 {
		c.Assert(got.refused < none.refused, qt.IsTrue, qt.Commentf("%d, without slow start %d", got.refused, none.refused))
	}
	if s.weakFor > 0 {
		c.Assert(got.peak < none.peak, qt.IsTrue, qt.Commentf("%.2f, without slow start %.2f", got.peak, none.peak))
	}
}
