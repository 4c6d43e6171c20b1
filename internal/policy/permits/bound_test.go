package permits

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/testing/seed"
)

const (
	defaultSeed   = 20261
	defaultChecks = 600
	// faultyRuns is the number of runs in which leaving out a mechanism must
	// violate the bound at least once.
	faultyRuns = 250
)

func TestMain(m *testing.M) {
	seed.Main(m, seed.Settings{Seed: defaultSeed, Checks: defaultChecks})
}

func TestBound(t *testing.T) {
	var total counts
	rapid.Check(t, func(t *rapid.T) {
		got := newModel(t, disabledMechanisms{}).run()
		if got.violations > 0 {
			t.Fatalf("%d admissions over the bound", got.violations)
		}
		total.dispatched += got.dispatched
		total.handovers += got.handovers
		total.contested += got.contested
		if got.granters > 1 {
			total.granters++
		}
	})
	c := qt.New(t)
	t.Logf("%+v", total)
	// The runs must have included the events under which the bound has to hold.
	c.Assert(total.dispatched > 0, qt.IsTrue)
	c.Assert(total.handovers > 0, qt.IsTrue)
	c.Assert(total.contested > 0, qt.IsTrue)
	c.Assert(total.granters > 0, qt.IsTrue)
}

func assertViolationFound(t *testing.T, name string, disabled disabledMechanisms) {
	t.Run(name, func(t *testing.T) {
		violating := 0
		runs := rapid.Custom(func(t *rapid.T) counts { return newModel(t, disabled).run() })
		for seed := range faultyRuns {
			if runs.Example(seed).violations > 0 {
				violating++
			}
		}
		t.Logf("%d of %d runs over the bound", violating, faultyRuns)
		qt.New(t).Assert(violating > 0, qt.IsTrue)
	})
}

func TestBoundNeedsEachMechanism(t *testing.T) {
	assertViolationFound(t, "the contest", disabledMechanisms{contest: true})
	assertViolationFound(t, "the lease", disabledMechanisms{lease: true})
	assertViolationFound(t, "the reports", disabledMechanisms{reports: true})
	assertViolationFound(t, "the quorum", disabledMechanisms{quorum: true})
	assertViolationFound(t, "the grants that a report does not include", disabledMechanisms{unreportedGrants: true})
}
