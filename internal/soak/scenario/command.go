package scenario

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	exitViolated = 1
	exitUsage    = 2
	// maxRouters and maxCallers bound the memory and the processes of a run.
	maxRouters = 20
	maxCallers = 500
)

// Main runs the soak test with command-line arguments and returns the exit
// status: 0, 1 when an invariant was violated, 2 when it could not run.
func Main(args []string, out, errs io.Writer) int {
	if len(args) == 2 && args[0] == BusyCommand {
		Busy(args[1])
		return 0
	}
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.SetOutput(errs)
	program := flags.String("program", "bin/hickoryrock", "path of the router's binary")
	logs := flags.String("logs", os.TempDir(), "directory for settings and logs")
	seed := flags.Uint64("seed", uint64(time.Now().Unix()), "seed of the first run")
	days := flags.Int("days", 1, "number of runs, with consecutive seeds")
	minutes := flags.Float64("minutes", 1, "minutes in which events are started in each run")
	storeReturns := flags.Bool("store-returns", true, "let the store also come back from earlier states")
	evacuations := flags.Bool("evacuations", true, "evacuate failure domains now and then")
	scarceTargets := flags.Bool("scarce-targets", true, "let targets state slots and load, turn slow or cold, and be crowded")
	earlyAnswers := flags.Bool("early-answers", true, "let callers send long bodies, and targets respond early and reset connections")
	unprovenRefusals := flags.Bool("unproven-refusals", true, "let targets refuse calls that they have run")
	oldPages := flags.Bool("old-pages", true, "let the pages of cached lists be as of different earlier states")
	realCallers := flags.Bool("real-callers", true, "let callers and planned stops do what they do on the users' platform")
	routers := flags.Int("routers", routerCount, "number of routers")
	callers := flags.Int("callers", 0, "number of callers (default 24, or 60 real ones)")
	if flags.Parse(args) != nil || flags.NArg() > 0 || *days < 1 || *minutes <= 0 ||
		*routers < routerCount || *routers > maxRouters || *callers < 0 || *callers > maxCallers {
		_, _ = fmt.Fprintln(errs, "usage: soak [-program P] [-logs DIR] [-seed N] [-days N] [-minutes M] [-store-returns=false] "+
			"[-evacuations=false] [-scarce-targets=false] [-early-answers=false] [-unproven-refusals=false] [-old-pages=false] [-real-callers=false] [-routers 5..20] [-callers 0..500]")
		return exitUsage
	}
	self, err := os.Executable()
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return exitUsage
	}
	status := 0
	for n := range uint64(*days) {
		dir := filepath.Join(*logs, fmt.Sprintf("soak-%d", *seed+n))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			_, _ = fmt.Fprintln(errs, err)
			return exitUsage
		}
		report, err := Run(Options{
			Program: *program, Dir: dir, Seed: *seed + n, StoreReturns: *storeReturns, Evacuations: *evacuations, Out: out,
			ScarceTargets: *scarceTargets, EarlyAnswers: *earlyAnswers, UnprovenRefusals: *unprovenRefusals, OldPages: *oldPages, RealCallers: *realCallers, Routers: *routers, Callers: *callers, Self: self,
			Duration: time.Duration(*minutes * float64(time.Minute)),
		})
		if err != nil {
			_, _ = fmt.Fprintln(errs, err)
			return exitUsage
		}
		if !report.print(out, *seed+n, dir) {
			status = exitViolated
		}
	}
	return status
}

// print prints a report and reports whether every invariant held.
func (r Report) print(out io.Writer, seed uint64, dir string) bool {
	outcomes := make([]string, 0, len(r.Outcomes))
	for outcome, n := range r.Outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", outcome, n))
	}
	slices.Sort(outcomes)
	_, _ = fmt.Fprintf(out, "seed %d: calls by outcome: %v\n", seed, outcomes)
	for _, v := range r.Violations {
		_, _ = fmt.Fprintf(out, "seed %d: %.3f s: %s: %s\n", seed, v.At.Seconds(), v.Invariant, v.Detail)
	}
	for invariant, n := range r.Counts {
		_, _ = fmt.Fprintf(out, "seed %d: %d violations: %s\n", seed, n, invariant)
	}
	if len(r.Violations) == 0 {
		_, _ = fmt.Fprintf(out, "seed %d: every invariant held\n", seed)
		return true
	}
	_, _ = fmt.Fprintf(out, "seed %d: logs are in %s\n", seed, dir)
	return false
}
