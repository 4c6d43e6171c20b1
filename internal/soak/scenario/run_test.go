package scenario_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/scenario"
)

// shortRun is long enough for one fault phase and the planned phase after it.
const shortRun = 8 * time.Second

// TestMain also lets the test binary be the program that keeps a processor busy.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == scenario.BusyCommand {
		scenario.Busy(os.Args[2])
		return
	}
	os.Exit(m.Run())
}

// TestShortRuns runs short soak tests with fixed seeds: the seed of CI and every seed
// that has failed, with its cause. `make soak` does longer runs.
func TestShortRuns(t *testing.T) {
	if testing.Short() {
		t.Skip("takes two minutes")
	}
	program := filepath.Join(t.TempDir(), "hickoryrock")
	build := exec.Command("go", "build", "-race", "-o", program, "hickoryrock/cmd/hickoryrock")
	out, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	// Most runs are concurrent, and their addresses follow from the seeds, which must differ.
	self, err := os.Executable()
	qt.Assert(t, err, qt.IsNil)
	runs := []struct {
		name         string
		seed         uint64
		storeReturns bool
		realCallers  bool
		evacuations  bool
		scarce       bool
		early        bool
		oldPages     bool
		refusals     bool
	}{
		{"the seed of CI", 1, false, false, false, false, false, false, false},
		{"a store that comes back from earlier states", 2, true, false, false, false, false, false, false},
		{"callers and stops as on the users' platform", 3, true, true, false, false, false, false, false},
		{"evacuated failure domains", 4, true, false, true, false, false, false, false},
		{"scarce and uneven targets", 5, true, false, true, true, false, false, false},
		{"targets that respond to long bodies early", 6, true, false, false, false, true, false, false},
		{"lists whose pages are as of different earlier states", 7, true, false, true, false, false, true, false},
		{"targets that refuse calls that they have run", 9, true, false, false, false, false, false, true},
		// A resumable stream was abandoned when its target paused, although the retry
		// budget was exhausted: forward.TestSilentTargetIsAbandonedOnlyForAnother.
		{"a silent target without budget", 206, false, false, false, false, false, false, false},
	}
	for _, run := range runs {
		t.Run(run.name, func(t *testing.T) {
			if !run.realCallers { // Its busy processes would starve the routers of other runs.
				t.Parallel()
			}
			c := qt.New(t)
			dir := t.TempDir()
			report, err := scenario.Run(scenario.Options{
				Program: program, Dir: dir, Seed: run.seed, StoreReturns: run.storeReturns, RealCallers: run.realCallers, Evacuations: run.evacuations, ScarceTargets: run.scarce, EarlyAnswers: run.early, OldPages: run.oldPages, UnprovenRefusals: run.refusals, Self: self,
				Duration: shortRun, Out: t.Output(),
			})
			c.Assert(err, qt.IsNil)
			t.Log(report.Outcomes)
			if len(report.Violations) > 0 {
				logs, _ := filepath.Glob(filepath.Join(dir, "*.log")) // The pattern is valid.
				for _, path := range logs {
					data, err := os.ReadFile(path)
					c.Assert(err, qt.IsNil)
					t.Logf("%s:\n%s", filepath.Base(path), data)
				}
			}
			for _, v := range report.Violations {
				t.Errorf("%.3f s: %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
			}
		})
	}
}
