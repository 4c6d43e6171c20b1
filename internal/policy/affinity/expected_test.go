package affinity_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/affinity"
)

// chosen counts the choices by candidate of calls without parts.
func chosen(all []affinity.Candidate) []int {
	counts := make([]int, len(all))
	for i := range 6000 {
		r := affinity.Request{Seed: uint64(i) * 0x9e3779b97f4a7c15, Factor: 2}
		counts[affinity.NewCacheIndex().Choose(r, all, start).Index]++
	}
	return counts
}

// Guards against routers with the same figures that all choose the fastest target, or one that
// is ejected or beyond its bound because it is fast.
func TestChoiceByExpectedTime(t *testing.T) {
	for name, test := range map[string]struct {
		change func(all []affinity.Candidate)
		// least and most bound the calls of candidate 0, out of 6,000 for six.
		least, most int
	}{
		"equal":                      {func([]affinity.Candidate) {}, 900, 1100},
		"slow":                       {func(all []affinity.Candidate) { all[0].ExpectedTime = 4 }, 1, 300},
		"fast":                       {func(all []affinity.Candidate) { all[0].ExpectedTime = 0.2 }, 1500, 2100},
		"slow by old measurements":   {func(all []affinity.Candidate) { all[0].Slowness, all[0].Calls = 1.9, 2 }, 900, 1100},
		"slow, but figures as usual": {func(all []affinity.Candidate) { all[0].Slowness = 6 }, 1, 300},
		"unknown":                    {func(all []affinity.Candidate) { all[0].ExpectedTime = 0 }, 900, 1100},
		"fast and ejected":           {func(all []affinity.Candidate) { all[0].ExpectedTime, all[0].Ejected = 0.2, true }, 0, 0},
		"fast and draining":          {func(all []affinity.Candidate) { all[0].ExpectedTime, all[0].Draining = 0.2, true }, 0, 0},
		"fast and tried":             {func(all []affinity.Candidate) { all[0].ExpectedTime, all[0].Tried = 0.2, true }, 0, 0},
		"fast and beyond the bound":  {func(all []affinity.Candidate) { all[0].ExpectedTime, all[0].Calls = 0.2, 30 }, 0, 0},
		"the only one": {func(all []affinity.Candidate) {
			for i := range all[1:] {
				all[i+1].Tried = true
			}
		}, 6000, 6000},
	} {
		t.Run(name, func(t *testing.T) {
			all := candidates(6)
			for i := range all {
				all[i].ExpectedTime = 1
			}
			test.change(all)
			n := chosen(all)[0]
			qt.Assert(t, n >= test.least && n <= test.most, qt.IsTrue, qt.Commentf("%d, want %d to %d", n, test.least, test.most))
		})
	}
}
