package scenario

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/soak/traffic"
)

const (
	// defaultCallers and defaultRealCallers are the numbers of callers; calls of real ones
	// last longer.
	defaultCallers     = 24
	defaultRealCallers = 60
	// uploadCallers is the number of callers with long bodies.
	uploadCallers = 3
	// realPlannedRounds is how often planned events start together in a planned phase with
	// real callers.
	realPlannedRounds = 2
	// startupTime is the time that the fleet gets to start before the first event.
	startupTime = 2 * time.Second
	// minFaultPhase and maxFaultPhase bound the time in which the events of a fault
	// phase are started.
	minFaultPhase = 6 * time.Second
	maxFaultPhase = 14 * time.Second
	// plannedEventCount is the number of planned events that start together in a
	// planned phase.
	plannedEventCount = 4
	// measureWindow is how long the share of served calls is measured.
	measureWindow = 3 * time.Second
	// minServedWithoutFaults is the minimum share of served calls in a planned phase;
	// minServedAfterRecovery is the minimum share after the last fault.
	minServedWithoutFaults = 0.95
	minServedAfterRecovery = 0.9
	// recoveryTime is the time after the last fault within which the fleet must
	// serve calls again.
	recoveryTime = 12 * time.Second
	// probeInterval is the interval at which routers, in turn, are probed for a
	// configuration version.
	probeInterval = 100 * time.Millisecond
	// applyDeadline is the time within which a configuration must be in force: 2 s,
	// and a margin of 300 ms for late timers in busy processes.
	applyDeadline = 2*time.Second + 300*time.Millisecond
)

type (
	// Options configures one run.
	Options struct {
		// Program is the path of the router's binary.
		Program string
		// Dir is the directory for settings and logs.
		Dir  string
		Seed uint64
		// Duration is the time in which new events are started; the run takes longer.
		Duration time.Duration
		// StoreReturns lets the store also come back from earlier states.
		StoreReturns bool
		// Evacuations lets operators also evacuate failure domains.
		Evacuations bool
		// ScarceTargets lets targets state their slots and load, turn slow or cold, and be crowded.
		ScarceTargets bool
		// EarlyAnswers lets some callers send long bodies, and targets respond before they have read
		// them and reset the connection.
		EarlyAnswers bool
		// UnprovenRefusals lets targets refuse calls that they have run.
		UnprovenRefusals bool
		// OldPages lets the pages of cached lists be as of different earlier states.
		OldPages bool
		// RealCallers lets callers and planned stops do what they do on the users' platform,
		// with its grace period.
		RealCallers bool
		// Routers and Callers are their numbers; 0 means the default.
		Routers, Callers int
		// Self is the path of a program that runs Busy for the argument BusyCommand. Without
		// it, no run starves routers of processor time.
		Self string
		// Out receives a line for each event.
		Out io.Writer
	}

	// Report is the result of a run.
	Report struct {
		Violations []oracle.Violation
		Counts     map[oracle.Invariant]int
		Outcomes   map[string]int
	}
)

// Run runs a fleet through random events and returns the violations of
// invariants. An error means that the fleet could not be started.
func Run(o Options) (Report, error) {
	o.Routers = cmp.Or(o.Routers, routerCount)
	rounds := 1
	if o.RealCallers {
		rounds = realPlannedRounds
		o.Callers = cmp.Or(o.Callers, defaultRealCallers)
	}
	o.Callers = cmp.Or(o.Callers, defaultCallers)
	start := time.Now()
	var mu sync.Mutex
	logLine := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintf(o.Out, "%7.3f %s\n", time.Since(start).Seconds(), line)
	}
	tb, stop, err := newTestbed(o, logLine)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	tb.events = o.faultEvents()
	for _, r := range tb.routers {
		tb.waitReady(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range o.Callers {
		name, behavior := fmt.Sprint("caller-", i), traffic.Behavior{}
		if o.RealCallers {
			behavior = traffic.DrawBehavior(name, o.Seed)
		}
		wg.Go(func() { traffic.NewCaller(name, tb, tb.recorder, behavior).Run(ctx) })
	}
	if o.EarlyAnswers {
		for i := range uploadCallers {
			wg.Go(func() {
				traffic.NewCaller(fmt.Sprint("upload-", i), tb, tb.recorder, traffic.UploadBehavior()).Run(ctx)
			})
		}
	}
	wg.Go(func() { tb.probeVersions(ctx) })
	time.Sleep(startupTime)
	for end := time.Now().Add(o.Duration); time.Now().Before(end); {
		tb.runFaultPhase()
		time.Sleep(oracle.SettleTime)
		if o.ScarceTargets {
			tb.runCrowdPhase()
		}
		for range rounds {
			tb.runPlannedPhase()
		}
	}
	for _, r := range tb.routers {
		tb.attempt(r.Start)
	}
	time.Sleep(recoveryTime - oracle.SettleTime)
	tb.measureServed(oracle.TooFewServed, minServedAfterRecovery)
	cancel()
	wg.Wait()
	for _, r := range tb.routers {
		for _, failure := range r.Failures() {
			tb.recorder.RecordViolation(oracle.ProcessFailure, "%s", failure)
		}
	}
	report := Report{Outcomes: tb.recorder.Outcomes()}
	report.Violations, report.Counts = tb.recorder.Violations()
	return report, nil
}

// faultEvents returns the events of fault phases. Those that are not in all runs are twice as
// frequent as others.
func (o Options) faultEvents() []event {
	all := slices.Clone(events)
	if o.StoreReturns {
		all = append(all, storeReturns, storeReturns)
	}
	if o.RealCallers {
		all = append(all, pauseDraining, pauseDraining)
	}
	if o.Evacuations {
		all = append(all, evacuateDomain, evacuateDomains)
	}
	if o.ScarceTargets {
		all = append(all, turnSlow, turnSlow, turnCold, turnCold, crowd, crowd)
	}
	if o.EarlyAnswers {
		all = append(all, resetEarly, resetEarly)
	}
	if o.UnprovenRefusals {
		all = append(all, refuseAfterRun, refuseAfterRun)
	}
	return all
}

// runFaultPhase starts overlapping events and returns when all have ended.
func (tb *testbed) runFaultPhase() {
	duration := minFaultPhase + time.Duration(tb.rng.Int64N(int64(maxFaultPhase-minFaultPhase)))
	var running sync.WaitGroup
	for elapsed := time.Duration(0); elapsed < duration; {
		s := tb.drawStep(tb.events)
		time.Sleep(s.pause)
		tb.startStep(s, &running)
		elapsed += s.pause
	}
	running.Wait()
	tb.logLine("no active faults")
}

// runPlannedPhase starts planned events while there are no faults, so that all
// timing invariants apply, and measures the share of served calls during and
// after them.
func (tb *testbed) runPlannedPhase() {
	var running sync.WaitGroup
	if tb.options.RealCallers {
		tb.startStep(tb.drawStep(stopEvents[:1]), &running)
	}
	if tb.options.Evacuations {
		tb.startStep(tb.drawStep([]event{evacuateDomain}), &running)
	}
	if tb.options.ScarceTargets {
		tb.startStep(tb.drawStep([]event{turnCold}), &running)
	}
	for range plannedEventCount {
		tb.startStep(tb.drawStep(tb.plannedEvents()), &running)
	}
	tb.measureServed(oracle.TooFewServed, minServedWithoutFaults)
	running.Wait()
	tb.measureServed(oracle.TooFewServed, minServedWithoutFaults)
}

// measureServed measures the share of served calls for measureWindow and records
// a violation of the invariant when it is below minShare.
func (tb *testbed) measureServed(invariant oracle.Invariant, minShare float64) {
	before := tb.recorder.Outcomes()
	time.Sleep(measureWindow)
	after := tb.recorder.Outcomes()
	served, all := 0, 0
	for k, total := range after {
		if strings.HasPrefix(k, traffic.IgnoredOutcome) {
			continue
		}
		n := total - before[k]
		all += n
		if k == "200" || k == "left" {
			served += n
		}
	}
	tb.logLine(fmt.Sprintf("%d of %d calls served", served, all))
	if float64(served) < minShare*float64(all) || all == 0 {
		tb.recorder.RecordViolation(invariant, "%d of %d calls in %v", served, all, measureWindow)
	}
}

// probeVersions probes routers for configuration versions until ctx is done.
func (tb *testbed) probeVersions(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(probeInterval)
		tb.probeRouter(tb.routers[i%len(tb.routers)])
	}
}

func (tb *testbed) probeRouter(r *router) {
	incarnation := r.Incarnation()
	due, newest, settled := tb.newestVersion(applyDeadline), tb.newestVersion(0), tb.recorder.SettledFor(applyDeadline)
	if incarnation == 0 || due == 0 {
		return
	}
	version := newest
	if settled {
		version = due
	}
	status := traffic.Probe(tb, r.address(), version)
	if r.Incarnation() != incarnation {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	served := r.newestServed[incarnation]
	switch {
	case status == 404 && version <= served:
		tb.recorder.RecordViolation(oracle.ConfigurationReverted, "%s served version %d, but later did not serve version %d", r.name, served, version)
	case status == 404 && version <= due && settled:
		tb.recorder.RecordViolation(oracle.ConfigurationLate, "%s does not serve version %d after %v", r.name, version, applyDeadline)
	case status == 200:
		r.newestServed[incarnation] = max(served, version)
	}
}
