package day

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
	exitBroken = 1
	exitUsage  = 2
)

// Main is the command line of the soak; it returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.SetOutput(errs)
	program := flags.String("program", "bin/hickoryrock", "the router's binary")
	logs := flags.String("logs", os.TempDir(), "where settings and logs are kept")
	seed := flags.Uint64("seed", uint64(time.Now().Unix()), "the first day's seed")
	days := flags.Int("days", 1, "the number of days, with consecutive seeds")
	minutes := flags.Float64("minutes", 1, "how long events are started on each day")
	if flags.Parse(args) != nil || flags.NArg() > 0 || *days < 1 || *minutes <= 0 {
		_, _ = fmt.Fprintln(errs, "usage: soak [-program P] [-logs DIR] [-seed N] [-days N] [-minutes M]")
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
			Program: *program, Dir: dir, Seed: *seed + n, Out: out,
			Lasts: time.Duration(*minutes * float64(time.Minute)),
		})
		if err != nil {
			_, _ = fmt.Fprintln(errs, err)
			return exitUsage
		}
		if !report.print(out, *seed+n, dir) {
			status = exitBroken
		}
	}
	return status
}

// print prints a report and returns whether every promise was kept.
func (r Report) print(out io.Writer, seed uint64, dir string) bool {
	ends := make([]string, 0, len(r.Outcomes))
	for what, n := range r.Outcomes {
		ends = append(ends, fmt.Sprintf("%s: %d", what, n))
	}
	slices.Sort(ends)
	_, _ = fmt.Fprintf(out, "seed %d: calls ended %v\n", seed, ends)
	for _, b := range r.Breaks {
		_, _ = fmt.Fprintf(out, "seed %d: %.3f s: %s: %s\n", seed, b.At.Seconds(), b.Promise, b.Detail)
	}
	for promise, n := range r.Counts {
		_, _ = fmt.Fprintf(out, "seed %d: broken %d times: %s\n", seed, n, promise)
	}
	if len(r.Breaks) == 0 {
		_, _ = fmt.Fprintf(out, "seed %d: every promise was kept\n", seed)
		return true
	}
	_, _ = fmt.Fprintf(out, "seed %d: logs are in %s\n", seed, dir)
	return false
}
