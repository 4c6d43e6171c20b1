// Package scenario runs soak tests: a fleet of real router processes on loopback goes
// through seeded, overlapping faults, and violations of invariants are reported.
package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"hickoryrock/internal/soak/faultproxy"
	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/soak/process"
	"hickoryrock/internal/soak/traffic"
	"hickoryrock/platform/platformtest"
)

const (
	routerCount = 5
	domainCount = 3
	targetCount = 4
	// stopGrace is the time between SIGTERM and SIGKILL, the same as grace_s in the
	// routers' settings; realStopGrace is that of fleets with real callers.
	stopGrace     = 6 * time.Second
	realStopGrace = 8 * time.Second
	// drainTime is how long a target keeps serving after the store has acknowledged
	// that it is draining.
	drainTime = 3 * time.Second
)

// ports are the routers' ports, which are unused on the loopback addresses of a run.
var ports = platformtest.Ports{Callers: 18227, Ready: 18220, Lookup: 18224, Peers: 17340}

type (
	// testbed is the fleet with its store, targets and fault proxies.
	testbed struct {
		recorder *oracle.Recorder
		rng      *rand.Rand
		options  Options
		logLine  func(string)
		grace    time.Duration
		// events are those of fault phases.
		events []event
		store  *platformtest.Store
		// storeAddress is the store's own address, without a proxy.
		storeAddress string
		routers      []*router
		cleanups     []func()

		// starving is locked while child processes keep processors busy.
		starving sync.Mutex
		// crowding is locked while a crowd calls.
		crowding sync.Mutex
		// coldTime is how long targets are cold after their start. It is zero in runs without
		// scarce targets and for the targets with which the fleet starts.
		coldTime time.Duration

		mu           sync.Mutex
		targets      map[string]*target
		lastTargetID int
		// versionTimes holds the time at which the store acknowledged each version of
		// the configuration; version 1 is at index 0.
		versionTimes []time.Time
		// evacuated holds the failure domains that are evacuated.
		evacuated map[string]bool
	}

	router struct {
		*process.Process
		name         string
		ip           string
		settingsPath string
		// callerProxy is between callers and the router, storeProxy between the router
		// and the store.
		callerProxy *faultproxy.Proxy
		storeProxy  *faultproxy.Proxy

		grace time.Duration
		// evacuateTime is the bound on evacuations in the settings, or zero.
		evacuateTime time.Duration
		// scarceTargets is set if the settings bound the calls to cold targets.
		scarceTargets bool
		logLine       func(string)

		mu       sync.Mutex
		revision int
		// stops are the planned stops so far, the latest last.
		stops []oracle.Stop
		// newestServed is the newest configuration version that each incarnation was
		// observed to serve.
		newestServed map[int]int
		// reserved routers are in a planned stop; no other planned stop picks them.
		reserved bool
	}

	target struct {
		*traffic.Target
		crash       func()
		incarnation int
		// domain is the target's failure domain, or empty in runs without evacuations.
		domain string
		// state is the state in the target's entry.
		state string
		// reserved targets are about to be stopped; no other event picks them.
		reserved bool
	}
)

// newTestbed starts the store, the targets and the routers. The returned function stops
// them.
func newTestbed(o Options, logLine func(string)) (*testbed, func(), error) {
	tb := &testbed{
		recorder: oracle.New(), rng: rand.New(rand.NewPCG(o.Seed, 1)), options: o, logLine: logLine, grace: stopGrace,
		store: platformtest.NewStore(), targets: make(map[string]*target), evacuated: make(map[string]bool),
	}
	if o.RealCallers {
		tb.grace = realStopGrace
	}
	if o.OldPages {
		tb.serveOldPages()
	}
	server := httptest.NewServer(tb.store)
	tb.storeAddress = strings.TrimPrefix(server.URL, "http://")
	tb.cleanups = append(tb.cleanups, server.Close)
	tb.writeConfiguration()
	for range targetCount {
		if err := tb.addTarget(); err != nil {
			tb.close()
			return nil, nil, err
		}
	}
	for i := range o.Routers {
		if err := tb.addRouter(i); err != nil {
			tb.close()
			return nil, nil, err
		}
	}
	if o.ScarceTargets {
		tb.coldTime = traffic.ColdTime
	}
	return tb, tb.close, nil
}

func (tb *testbed) close() {
	for i := len(tb.cleanups) - 1; i >= 0; i-- {
		tb.cleanups[i]()
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, t := range tb.targets {
		t.crash()
	}
}

func (tb *testbed) addRouter(i int) error {
	seed, dir := tb.options.Seed, tb.options.Dir
	name := fmt.Sprintf("router-%d", i)
	// Concurrent runs with different seeds use different addresses.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+seed/250%250, 1+seed%250, i+1)
	r := &router{
		name: name, ip: ip, settingsPath: filepath.Join(dir, name+".json"), grace: tb.grace, logLine: tb.logLine,
		newestServed: make(map[int]int), scarceTargets: tb.options.ScarceTargets,
	}
	if tb.options.Evacuations {
		r.evacuateTime = traffic.EvacuateTime
	}
	probe, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", r.address())
	if err != nil {
		return fmt.Errorf("address of %q, possibly still in use by an earlier run: %w", name, err)
	}
	_ = probe.Close()
	r.Process = process.New(name, dir, tb.options.Program, "edge", "-settings", r.settingsPath)
	var stop func()
	if r.callerProxy, stop, err = faultproxy.New(r.address()); err != nil {
		return err
	}
	tb.cleanups = append(tb.cleanups, stop)
	if r.storeProxy, stop, err = faultproxy.New(tb.storeAddress); err != nil {
		return err
	}
	tb.cleanups = append(tb.cleanups, stop)
	if err := r.writeSettings(); err != nil {
		return err
	}
	tb.routers = append(tb.routers, r)
	tb.cleanups = append(tb.cleanups, func() { r.Stop(0) })
	return r.Start()
}

func (r *router) address() string { return net.JoinHostPort(r.ip, strconv.Itoa(ports.Callers)) }

// writeSettings writes the settings file with a new revision, so that it differs
// each time.
func (r *router) writeSettings() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	domain := domainName(int(r.name[len(r.name)-1]-'0') % domainCount)
	data := platformtest.FleetSettingsWithEvacuations(r.name, r.ip, domain, ports, r.storeProxy.Address(), r.revision,
		int(r.grace.Seconds()), int(r.evacuateTime.Milliseconds()))
	if r.scarceTargets {
		data = platformtest.WithScarceTargets(data, ports)
	}
	if err := os.WriteFile(r.settingsPath+".new", data, 0o600); err != nil {
		return fmt.Errorf("settings of %q: %w", r.name, err)
	}
	return os.Rename(r.settingsPath+".new", r.settingsPath)
}

// writeConfiguration writes the next version of the configuration to the store.
func (tb *testbed) writeConfiguration() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	version := len(tb.versionTimes) + 1
	tb.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, tb.configuration(version))
	tb.versionTimes = append(tb.versionTimes, time.Now())
}

func (tb *testbed) configuration(version int) string {
	spec := platformtest.FleetConfiguration(version)
	if tb.options.RealCallers {
		spec = platformtest.LongConfiguration(version)
	}
	if tb.options.ScarceTargets {
		spec = platformtest.WithColdTargets(spec, traffic.ColdPerSecond, traffic.ColdTime.Seconds())
	}
	return spec
}

// rewriteStore writes the newest configuration and the state of all targets again, and
// removes the entries of those that have ended.
func (tb *testbed) rewriteStore() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration,
		tb.configuration(len(tb.versionTimes)))
	for id, t := range tb.targets {
		tb.store.Set(platformtest.KindTargets, id, t.entry())
	}
	tb.rewriteEvacuations()
	for _, id := range tb.store.Names(platformtest.KindTargets) {
		if tb.targets[id] == nil {
			tb.store.Remove(platformtest.KindTargets, id)
		}
	}
}

// newestVersion returns the newest configuration version that was acknowledged
// more than minAge ago, or 0.
func (tb *testbed) newestVersion(minAge time.Duration) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for v := len(tb.versionTimes); v > 0; v-- {
		if time.Since(tb.versionTimes[v-1]) > minAge {
			return v
		}
	}
	return 0
}

func (tb *testbed) addTarget() error {
	tb.mu.Lock()
	tb.lastTargetID++
	id := fmt.Sprintf("i-%d", tb.lastTargetID)
	tb.mu.Unlock()
	return tb.startTarget(id, 1)
}

// startTarget starts an incarnation of a target and registers it.
func (tb *testbed) startTarget(id string, incarnation int) error {
	t, crash, err := traffic.NewTarget(id, tb.recorder)
	if err != nil {
		return err
	}
	if tb.options.ScarceTargets {
		t.MakeScarce()
		t.StartCold(tb.coldTime)
	}
	domain := tb.targetDomain(id)
	tb.recorder.RecordDomain(id, domain)
	tb.mu.Lock()
	started := &target{Target: t, crash: crash, incarnation: incarnation, domain: domain}
	tb.targets[id] = started
	tb.mu.Unlock()
	tb.registerTarget(id, "ready")
	if tb.coldTime > 0 {
		go tb.renewWhileCold(started)
	}
	return nil
}

func (tb *testbed) registerTarget(id, state string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	t := tb.targets[id]
	t.state = state
	tb.store.Set(platformtest.KindTargets, id, t.entry())
}

// removeTarget removes a target from the store and stops it.
func (tb *testbed) removeTarget(id string) {
	tb.mu.Lock()
	tb.store.Remove(platformtest.KindTargets, id)
	t := tb.targets[id]
	delete(tb.targets, id)
	tb.mu.Unlock()
	t.crash()
}

// LookupURLs implements traffic.Fleet.
func (tb *testbed) LookupURLs() []string {
	var urls []string
	for _, i := range rand.Perm(len(tb.routers)) {
		urls = append(urls, fmt.Sprintf("http://%s:%d/lookup?name=h&zone=domain-0", tb.routers[i].ip, ports.Lookup))
	}
	return urls[:3]
}

// ProxyAddress implements traffic.Fleet.
func (tb *testbed) ProxyAddress(address string) string {
	if r := tb.routerAt(address); r != nil {
		return r.callerProxy.Address()
	}
	return address
}

func (tb *testbed) routerAt(address string) *router {
	for _, r := range tb.routers {
		if r.address() == address {
			return r
		}
	}
	return nil
}

// isReady reports whether the router's readiness endpoint responds with status 200.
func (r *router) isReady() bool {
	status, _ := traffic.Get(fmt.Sprintf("http://%s:%d/readyz", r.ip, ports.Ready))
	return status == http.StatusOK
}
