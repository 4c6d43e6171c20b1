package day_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/day"
)

// shortDay is long enough for one storm and the calm after it.
const shortDay = 8 * time.Second

// A short day at a fixed seed. Seeds that ever failed follow below, with a line
// on the cause; longer days are played by `make soak`.
func TestDays(t *testing.T) {
	if testing.Short() {
		t.Skip("plays for a minute")
	}
	program := filepath.Join(t.TempDir(), "hickoryrock")
	build := exec.Command("go", "build", "-race", "-o", program, "hickoryrock/cmd/hickoryrock")
	out, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	days := []struct {
		name string
		seed uint64
	}{
		{"the seed of CI", 1},
		// A resumable stream was given up for a pause of its target although the
		// budget for repeats was spent: forward.TestSilentTargetsAreLeftOnlyForAnother.
		{"a silent target without budget", 206},
	}
	for _, d := range days {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			dir := t.TempDir()
			report, err := day.Run(day.Options{Program: program, Dir: dir, Seed: d.seed, Lasts: shortDay, Out: t.Output()})
			c.Assert(err, qt.IsNil)
			t.Log(report.Outcomes)
			if len(report.Breaks) > 0 {
				logs, _ := filepath.Glob(filepath.Join(dir, "*.log")) // The pattern is well formed.
				for _, path := range logs {
					data, err := os.ReadFile(path)
					c.Assert(err, qt.IsNil)
					t.Logf("%s:\n%s", filepath.Base(path), data)
				}
			}
			for _, b := range report.Breaks {
				t.Errorf("%.3f s: %s: %s", b.At.Seconds(), b.Promise, b.Detail)
			}
		})
	}
}
