package targetstats_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/internal/testing/seed"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{}) }

// report is what the model remembers of one router's last report.
type report struct {
	at        time.Time
	loads     []targetstats.Load
	announced map[uint64]int
}

// model adds up all reports anew for each summary.
type model map[string]*report

func (m model) sum(target uint64, targets int, now time.Time) (calls, pending, unreachable int, results, failures float64) {
	for _, r := range m {
		if now.Sub(r.at) > 1500*time.Millisecond {
			continue
		}
		pending += r.announced[target]
		far := 0
		for _, l := range r.loads {
			if l.Unreachable {
				far++
			}
		}
		weight := math.Exp2(-now.Sub(r.at).Seconds() / 2)
		for _, l := range r.loads {
			if l.Target != target {
				continue
			}
			calls += l.Calls
			pending += l.PendingTokens
			results += weight * l.Results
			failures += weight * l.Failures
			if l.Unreachable && float64(far) <= 0.4*float64(targets) {
				unreachable++
			}
		}
	}
	return calls, pending, unreachable, results, failures
}

func drawLoads(t *rapid.T, targets int) []targetstats.Load {
	var loads []targetstats.Load
	for target := range targets {
		if !rapid.Bool().Draw(t, "reported") {
			continue
		}
		results := rapid.Float64Range(0, 20).Draw(t, "results")
		loads = append(loads, targetstats.Load{
			Target: uint64(target + 1), Calls: rapid.IntRange(0, 9).Draw(t, "calls"),
			PendingTokens: rapid.IntRange(0, 9000).Draw(t, "pending"), Results: results,
			Failures: results * rapid.Float64Range(0, 1).Draw(t, "share"), Unreachable: rapid.IntRange(0, 5).Draw(t, "unreachable") == 0,
		})
	}
	return loads
}

// The sums over all routers' reports, which are kept up to date with each report, must
// equal those that are added up anew, whatever reports come, are replaced and expire.
func TestPeerSumsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targetCount = 4
		all := targets(targetCount)
		tr, m, now := newTracker(), make(model), start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			router := fmt.Sprint("r-", rapid.IntRange(1, 5).Draw(t, "router"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				loads := drawLoads(t, targetCount)
				tr.UpdatePeer(router, loads, targetCount, now)
				m[router] = &report{at: now, loads: loads, announced: make(map[uint64]int)}
			case 1:
				target, tokens := uint64(rapid.IntRange(1, targetCount).Draw(t, "target")), rapid.IntRange(1, 9000).Draw(t, "tokens")
				tr.AddPendingTokens(router, target, tokens)
				if r := m[router]; r != nil && now.Sub(r.at) <= 1500*time.Millisecond {
					r.announced[target] += tokens
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			case 3:
				tr.Prune(map[uint64]bool{1: true})
			}
			assertMatchesModel(t, tr.Summaries(all, now), m, all, now)
			loads := 0
			for _, r := range m {
				if now.Sub(r.at) <= 1500*time.Millisecond {
					loads += len(r.loads)
				}
			}
			if tr.PeerLoads() != loads {
				t.Fatalf("%d loads in reports are counted, %d are there", tr.PeerLoads(), loads)
			}
		}
	})
}

func assertMatchesModel(t *rapid.T, got []targetstats.Summary, m model, all []uint64, now time.Time) {
	var allResults, allFailures float64
	for _, target := range all {
		_, _, _, results, failures := m.sum(target, len(all), now)
		allResults, allFailures = allResults+results, allFailures+failures
	}
	for i, target := range all {
		calls, pending, unreachable, results, failures := m.sum(target, len(all), now)
		if got[i].Calls != calls || got[i].PendingTokens != pending {
			t.Fatalf("target %d: got %+v, want %d calls, %d tokens", target, got[i], calls, pending)
		}
		others := 0.0
		if allResults-results > 1e-9 {
			others = (allFailures - failures) / (allResults - results)
		}
		margin := failures - max(1.5, results*max(0.25, 2.5*others))
		if math.Abs(margin) < 1e-6 {
			continue // Rounding may decide either way.
		}
		if want := unreachable > 0 || margin > 0; got[i].Ejected != want {
			t.Fatalf("target %d: ejected %v, want %v (%d unreachable, %f of %f failed, others %f)",
				target, got[i].Ejected, want, unreachable, failures, results, others)
		}
	}
}

// newLargeFleet returns a tracker with the reports of a fleet's routers.
func newLargeFleet(routers, targetCount int) (*targetstats.Tracker, [][]targetstats.Load) {
	tr := newTracker()
	reports := make([][]targetstats.Load, routers)
	for r := range reports {
		for i := range 8 {
			reports[r] = append(reports[r], targetstats.Load{
				Target: uint64((r*7+i*31)%targetCount + 1), Calls: 1, PendingTokens: 100, Results: 3, Failures: 0.1,
			})
		}
		tr.UpdatePeer(fmt.Sprint("r-", r), reports[r], targetCount, start)
	}
	return tr, reports
}

// BenchmarkSummaries measures the load of all targets as it is read for one choice.
func BenchmarkSummaries(b *testing.B) {
	for _, routers := range []int{8, 85, 295} {
		b.Run(fmt.Sprint(routers, "-routers"), func(b *testing.B) {
			tr, _ := newLargeFleet(routers, 240)
			all := targets(240)
			for b.Loop() {
				tr.Summaries(all, start)
			}
		})
	}
}

// BenchmarkUpdatePeer measures one report of another router.
func BenchmarkUpdatePeer(b *testing.B) {
	tr, reports := newLargeFleet(295, 240)
	for b.Loop() {
		tr.UpdatePeer("r-1", reports[1], 240, start)
	}
}
