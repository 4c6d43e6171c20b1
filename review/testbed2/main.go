// Command testbed2 plays the cases of the second review: it starts router processes on loopback, and
// stand-ins of the store, the targets and the callers, and checks one rule of the users' pages.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitUnable
)

// maxTime bounds a run.
const maxTime = 115 * time.Second

// scenarios holds what the cases play, by name.
var scenarios = map[string]func(r *record, trouble bool) (int, error){
	"wrong-part": func(r *record, trouble bool) (int, error) {
		return runPoison(r, trouble, poisonPlan{
			rule: ruleLost, engines: 18, prefill: 150 * time.Millisecond, downTime: 3 * time.Second,
			soundPeriod: 5 * time.Second, soundGroup: 6, usualTime: 21 * time.Second, judgedTime: 22 * time.Second,
			burst: 14, burstGap: 200 * time.Millisecond, poisonPeriod: time.Second,
		})
	},
	"clean-end":  runCut,
	"stale-page": runStalePage,
	"names":      runNames,
	"early-head": func(r *record, trouble bool) (int, error) {
		return runPoison(r, trouble, poisonPlan{
			rule: ruleBudget, engines: 18, prefill: 700 * time.Millisecond, downTime: 3 * time.Second, sendsHeadFirst: true,
			soundPeriod: time.Second, soundGroup: 4, usualTime: 10 * time.Second, judgedTime: 20 * time.Second,
			burst: 5, burstGap: time.Second, poisonPeriod: time.Second,
		})
	},
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == engineMode {
		os.Exit(serveEngine())
	}
	name := flag.String("case", "", "the scenario to play")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0 plays the case without its disruption")
	flag.Parse()
	os.Exit(run(*name, *path, *trouble != "0"))
}

func run(name, path string, trouble bool) int {
	play := scenarios[name]
	if play == nil {
		_, _ = fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitUnable
	}
	r, closeRecord, err := newRecord(path)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer closeRecord()
	defer processes.kill()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupts:
		case <-time.After(maxTime):
		}
		r.add("the case could not run to its end")
		processes.kill()
		os.Exit(exitUnable)
	}()
	status, err := play(r, trouble)
	if err != nil {
		r.add("the case could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
	}
	return status
}
