package slots_test

import (
	"fmt"
	"testing"
)

func loads(s site) []load {
	return []load{
		{name: "usual", site: s},
		{name: "bursts", site: s, burst: 1.8},
		{name: "workspace times 8", site: s, burst: 1.8, surge: 8},
		{name: "repeats at once", site: s, burst: 1.8, surge: 8, repeats: 5},
		{name: "uneven targets", site: s, burst: 1.8, uneven: true},
		{name: "slow target", site: s, burst: 1.8, slowTarget: true},
		{name: "a third away", site: s, burst: 1.8, away: true},
		{name: "long calls", site: s, burst: 1.8, long: true},
		{name: "lost releases", site: s, burst: 1.8, lost: 0.01},
		{name: "failing target", site: s, burst: 1.8, failing: true},
		{name: "two coordinators", site: s, burst: 1.8, uneven: true, coordinators: 2},
		{name: "overload", site: s, overload: 3.5},
		{name: "all at once", site: s, burst: 1.8, surge: 8, repeats: 5, uneven: true, away: true, long: true, lost: 0.01},
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

func (t tally) String() string {
	return fmt.Sprintf("%5.1f %5.1f %5.1f %5.1f", percent(t.onTime, t.offered), percent(t.late, t.offered),
		percent(t.refused, t.offered), percent(t.lost, t.offered))
}

func BenchmarkLoads(b *testing.B) {
	for _, s := range []site{siteH, siteR} {
		for _, l := range loads(s) {
			for _, usePool := range []bool{false, true} {
				name := "random"
				if usePool {
					name = "pool"
				}
				o := play(l, usePool)
				fmt.Printf("%s %-18s %-6s | %s |", s.name, l.name, name, o.total())
				for _, t := range o.kinds {
					fmt.Printf(" %s |", t)
				}
				worst := 1.0
				for _, t := range o.workspaces {
					worst = min(worst, t.served())
				}
				fmt.Printf(" worst ws %5.1f ws0 %5.1f max wait %v\n", 100*worst, 100*o.workspaces[0].served(), o.maxWait.Round(1e6))
			}
		}
	}
}
