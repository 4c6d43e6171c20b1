// Command bed runs one case of the review: a small deployment of the project's own router
// processes on loopback, before stand-ins of the platform's store, the targets and the callers.
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// cases maps the name of each case to the function that runs it and reports whether the rule
// was broken.
var cases = map[string]func(b *bed, trouble bool) (broken bool, err error){
	"cascade":  runCascade,
	"poison":   runPoison,
	"entries":  runEntries,
	"releases": runReleases,
	"lapse":    runLapse,
}

func main() {
	program := flag.String("program", "target/hickoryrock", "the router program")
	record := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	os.Exit(run(*program, *record, flag.Arg(0)))
}

func run(program, record, name string) int {
	f := cases[name]
	if f == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: bed [-program FILE] [-record FILE] CASE")
		return exitFailed
	}
	b, stop, err := newBed(program, record)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	b.logf("case %s, disruption %v", name, trouble)
	broken, err := f(b, trouble)
	switch {
	case err != nil:
		b.logf("the case could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		b.logf("the rule was broken")
		return exitBroken
	}
	b.logf("the rule held")
	return exitHeld
}
