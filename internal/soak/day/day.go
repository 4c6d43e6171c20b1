package day

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/soak/traffic"
)

const (
	callers = 24
	// startTime is the time for the fleet to start before the first event.
	startTime = 2 * time.Second
	// stormLeast and stormMost bound the time with events between two calm ones.
	stormLeast = 6 * time.Second
	stormMost  = 14 * time.Second
	// plannedSteps is the number of planned events that begin together in calm time.
	plannedSteps = 4
	// measured is how long the share of served calls is taken in calm time.
	measured = 3 * time.Second
	// calmShare of the calls must be served in calm time, recoveredShare after the last fault.
	calmShare      = 0.95
	recoveredShare = 0.9
	// recovery is the time in which the fleet must serve again after all faults.
	recovery = 12 * time.Second
	// probeEvery is how often a router is asked for a version.
	probeEvery = 100 * time.Millisecond
	// applyBound is when a configuration must be in force, with a margin for the
	// clocks of busy processes.
	applyBound = 2*time.Second + 300*time.Millisecond
)

type (
	// Options are those of one day.
	Options struct {
		// Program is the router's binary.
		Program string
		// Dir takes settings and logs.
		Dir  string
		Seed uint64
		// Lasts is how long events are started.
		Lasts time.Duration
		// Out takes a line for each event.
		Out io.Writer
	}

	// Report is what a day showed.
	Report struct {
		Breaks   []oracle.Break
		Counts   map[oracle.Promise]int
		Outcomes map[string]int
	}
)

// Run plays a day.
func Run(o Options) (Report, error) {
	w, stop, err := newWorld(o.Program, o.Dir, o.Seed)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	start := time.Now()
	say := func(line string) { _, _ = fmt.Fprintf(o.Out, "%7.3f %s\n", time.Since(start).Seconds(), line) }
	for _, r := range w.routers {
		w.waitReady(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range callers {
		clients.Go(func() { traffic.NewCaller(fmt.Sprint("caller-", i), w, w.book).Run(ctx) })
	}
	clients.Go(func() { w.probe(ctx) })
	time.Sleep(startTime)
	for end := time.Now().Add(o.Lasts); time.Now().Before(end); {
		w.storm(say)
		time.Sleep(oracle.Contact)
		w.plannedWork(say)
	}
	for _, r := range w.routers {
		w.try(r.Start)
	}
	time.Sleep(recovery - oracle.Contact)
	w.measure(oracle.Served, recoveredShare, say)
	cancel()
	clients.Wait()
	for _, r := range w.routers {
		for _, fault := range r.Faults() {
			w.book.Break(oracle.Ended, "%s", fault)
		}
	}
	report := Report{Outcomes: w.book.Outcomes()}
	report.Breaks, report.Counts = w.book.Breaks()
	return report, nil
}

// storm plays overlapping events and returns when all have ended.
func (w *world) storm(say func(string)) {
	lasts := stormLeast + time.Duration(w.random.Int64N(int64(stormMost-stormLeast)))
	var running sync.WaitGroup
	for spent := time.Duration(0); spent < lasts; {
		s := w.next(events)
		time.Sleep(s.pause)
		w.play(s, &running, say)
		spent += s.pause
	}
	running.Wait()
	say("calm")
}

// plannedWork plays planned events in calm time, when all promises in time
// hold, and measures how calls are served meanwhile.
func (w *world) plannedWork(say func(string)) {
	var running sync.WaitGroup
	for range plannedSteps {
		w.play(w.next(plannedEvents()), &running, say)
	}
	w.measure(oracle.Served, calmShare, say)
	running.Wait()
	w.measure(oracle.Served, calmShare, say)
}

// measure takes the share of calls that are served for some time.
func (w *world) measure(promise oracle.Promise, least float64, say func(string)) {
	before := w.book.Outcomes()
	time.Sleep(measured)
	after := w.book.Outcomes()
	served, all := 0, 0
	for k, total := range after {
		n := total - before[k]
		all += n
		if k == "200" || k == "left" {
			served += n
		}
	}
	say(fmt.Sprintf("%d of %d calls served", served, all))
	if float64(served) < least*float64(all) || all == 0 {
		w.book.Break(promise, "%d of %d calls in %v", served, all, measured)
	}
}

// probe asks routers for versions of the configuration.
func (w *world) probe(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(probeEvery)
		w.probeOne(w.routers[i%len(w.routers)])
	}
}

func (w *world) probeOne(r *router) {
	incarnation := r.Incarnation()
	due, newest, inTouch := w.version(applyBound), w.version(0), w.book.InTouch(applyBound)
	if incarnation == 0 || due == 0 {
		return
	}
	version := newest
	if inTouch {
		version = due
	}
	status := traffic.Probe(w, r.address(), version)
	if r.Incarnation() != incarnation {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	served := r.served[incarnation]
	switch {
	case status == 404 && version <= served:
		w.book.Break(oracle.Reverted, "%s served version %d and not version %d later", r.name, served, version)
	case status == 404 && version <= due && inTouch:
		w.book.Break(oracle.Applied, "%s does not serve version %d after %v", r.name, version, applyBound)
	case status == 200:
		r.served[incarnation] = max(served, version)
	}
}
