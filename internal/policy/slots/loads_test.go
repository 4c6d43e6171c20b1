package slots_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// The recorded figures are those of benchTime; the tests play a shorter time, in which
	// the surge of a workspace lasts for 10 s.
	benchTime = 60 * time.Second
	testTime  = 30 * time.Second
)

func loads(s site, duration time.Duration) []load {
	all := []load{
		{name: "usual"},
		{name: "bursts", burst: 1.8},
		{name: "workspace x 8", burst: 1.8, surge: 8},
		{name: "repeats at once", burst: 1.8, surge: 8, repeats: 5},
		{name: "uneven targets", burst: 1.8, uneven: true},
		{name: "slow target", burst: 1.8, slowTarget: true},
		{name: "a third away", burst: 1.8, away: true},
		{name: "long calls", burst: 1.8, long: true},
		{name: "lost releases", burst: 1.8, lost: 0.01},
		{name: "failing target", burst: 1.8, failing: true},
		{name: "two coordinators", burst: 1.8, uneven: true, coordinators: 2},
		{name: "overload", overload: 3.5},
		{name: "all at once", burst: 1.8, surge: 8, repeats: 5, uneven: true, away: true, long: true, lost: 0.01},
	}
	for i := range all {
		all[i].site, all[i].duration = s, duration
	}
	return all
}

// Guards against loads in which calls are less often on time than with the choice of a random
// target, in which a workspace starves or pays for the traffic of another one, or in which less
// urgent calls are served more often than more urgent ones.
func TestLoads(t *testing.T) {
	for _, s := range []site{siteH, siteR} {
		for _, l := range loads(s, testTime) {
			t.Run(s.name+" "+l.name, func(t *testing.T) {
				c := qt.New(t)
				random, pool := play(l, false), play(l, true)
				assertNotWorse(c, pool, random)
				assertUrgencyKept(c, pool)
				assertFair(c, pool, l)
				assertBounded(c, pool, l)
			})
		}
	}
}

// assertNotWorse asserts that a run has as many calls on time as another one, up to one in
// 200, and that the round trip to the coordinator costs at most a twentieth of the calls served.
func assertNotWorse(c *qt.C, o, other *outcome) {
	c.Helper()
	got, want := o.total(), other.total()
	c.Assert(got.offered, qt.Equals, want.offered)
	comment := qt.Commentf("%s, random %s", got, want)
	c.Assert(got.onTime >= want.onTime-want.offered/200, qt.IsTrue, comment)
	c.Assert(got.served() >= 0.95*want.served(), qt.IsTrue, comment)
	c.Assert(o.kind(0).onTime >= other.kind(0).onTime-other.kind(0).offered/200, qt.IsTrue, comment)
}

// assertUrgencyKept asserts that no kind is refused less often than a more urgent one, up to
// chance where nearly all are served. Chance decides which calls a failing target gets.
func assertUrgencyKept(c *qt.C, o *outcome) {
	c.Helper()
	for kind := 1; kind < modelKinds; kind++ {
		less, more := o.kind(kind).refusedShare(), o.kind(kind-1).refusedShare()
		c.Assert(less >= more-0.005, qt.IsTrue, qt.Commentf("kind %d: %.3f refused, more urgent: %.3f", kind, less, more))
	}
}

// assertFair asserts that each workspace gets the calls served that it asks for or half of an
// equal part, and that the others do not pay for a surging one: none of them is served less
// often, and of the calls that are as urgent as most they are refused at most half as many.
func assertFair(c *qt.C, o *outcome, l load) {
	c.Helper()
	all := o.total()
	part := float64(all.onTime+all.late) / modelWorkspaces
	for w := range modelWorkspaces {
		t := o.workspace(w)
		served := float64(t.onTime + t.late)
		c.Assert(served >= min(float64(t.offered)*0.5, part/2), qt.IsTrue, qt.Commentf("workspace %d: %s of %d", w, t, t.offered))
		if l.surge > 0 && w > 0 {
			c.Assert(t.served() >= o.workspace(0).served(), qt.IsTrue, qt.Commentf("workspace %d: %s, 0: %s", w, t, o.workspace(0)))
		}
	}
	if l.surge > 0 {
		surging, others := o.sum(0, modelKinds-1, 0, 1), o.sum(0, modelKinds-1, 1, modelWorkspaces)
		c.Assert(others.refusedShare() <= surging.refusedShare()/2, qt.IsTrue, qt.Commentf("surging %s, others %s", surging, others))
	}
}

// assertBounded asserts that no request waited behind others for more than half of its
// deadline. A place can take a few calls' time to become free then.
func assertBounded(c *qt.C, o *outcome, l load) {
	c.Helper()
	c.Assert(o.maxWait <= l.deadline/2+10*l.took, qt.IsTrue, qt.Commentf("%v", o.maxWait))
}

// BenchmarkLoads prints who is served in each load, with a random target beside the pool.
func BenchmarkLoads(b *testing.B) {
	for _, s := range []site{siteH, siteR} {
		for _, l := range loads(s, benchTime) {
			b.Run(s.name+"/"+l.name, func(b *testing.B) {
				var random, pool *outcome
				for b.Loop() {
					random, pool = play(l, false), play(l, true)
				}
				printOutcomes(s.name+", "+l.name, random, pool)
				all := pool.total()
				b.ReportMetric(percent(all.onTime, all.offered), "%on-time")
				b.ReportMetric(percent(all.refused, all.offered), "%refused")
			})
		}
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

func (t tally) String() string {
	return fmt.Sprintf("%5.1f %5.1f %5.1f %5.1f", percent(t.onTime, t.offered), percent(t.late, t.offered),
		percent(t.refused, t.offered), percent(t.lost, t.offered))
}

func printOutcomes(name string, random, pool *outcome) {
	fmt.Printf("\n%-32s random: on time, late,  pool: on time, late,\n%-32s refused, lost (%%)        refused, lost (%%)\n", name, "")
	row := func(label string, a, b tally) { fmt.Printf("  %-14s %7d calls   %s | %s\n", label, a.offered, a, b) }
	row("all", random.total(), pool.total())
	for kind := range modelKinds {
		row(fmt.Sprint("urgency ", kind), random.kind(kind), pool.kind(kind))
	}
	for w := range modelWorkspaces {
		row(fmt.Sprint("workspace ", w), random.workspace(w), pool.workspace(w))
	}
	fmt.Printf("  refusals came after %v on average, the longest wait for a grant was %v\n",
		(pool.refusedWait / time.Duration(max(pool.refusals, 1))).Round(time.Millisecond), pool.maxWait.Round(time.Millisecond))
}
