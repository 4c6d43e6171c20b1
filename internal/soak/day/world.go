// Package day plays a fleet of real router processes on loopback through
// seeded, overlapping faults, and reports the promises that were broken.
package day

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

	"hickoryrock/internal/soak/link"
	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/soak/process"
	"hickoryrock/internal/soak/traffic"
	"hickoryrock/platform/platformtest"
)

const (
	routers = 5
	domains = 3
	targets = 4
	// stopGrace is the time between SIGTERM and SIGKILL; the settings say the same.
	stopGrace = 6 * time.Second
	// drainTime is how long a leaving target serves after its leaving is acknowledged.
	drainTime = 3 * time.Second
)

// ports are free on the loopback addresses that a day uses.
var ports = platformtest.Ports{Callers: 18227, Ready: 18220, Lookup: 18224, Peers: 17340}

type (
	// world is the fleet and what stands around it.
	world struct {
		book   *oracle.Book
		random *rand.Rand
		dir    string
		store  *platformtest.Store
		// storeAddress leads to the store without a link.
		storeAddress string
		routers      []*router
		cleanups     []func()

		mu      sync.Mutex
		targets map[string]*target
		named   int
		// versions holds when each version of the configuration was acknowledged.
		versions []time.Time
	}

	router struct {
		*process.Process
		name     string
		ip       string
		settings string
		// callers and store are the links to its callers' address and from it to the store.
		callers *link.Link
		store   *link.Link

		mu       sync.Mutex
		revision int
		stopping time.Time
		// served is the newest version that an incarnation has been seen to serve.
		served map[int]int
	}

	target struct {
		*traffic.Target
		crash func()
		born  int
		// taken targets are about to end; no other event picks them.
		taken bool
	}
)

// newWorld starts the fleet; program is the router's binary.
func newWorld(program, dir string, seed uint64) (*world, func(), error) {
	w := &world{
		book: oracle.New(), random: rand.New(rand.NewPCG(seed, 1)), dir: dir,
		store: platformtest.NewStore(), targets: make(map[string]*target),
	}
	server := httptest.NewServer(w.store)
	w.storeAddress = strings.TrimPrefix(server.URL, "http://")
	w.cleanups = append(w.cleanups, server.Close)
	w.configure()
	for range targets {
		if err := w.addTarget(); err != nil {
			w.close()
			return nil, nil, err
		}
	}
	for i := range routers {
		if err := w.addRouter(program, i, seed); err != nil {
			w.close()
			return nil, nil, err
		}
	}
	return w, w.close, nil
}

func (w *world) close() {
	for i := len(w.cleanups) - 1; i >= 0; i-- {
		w.cleanups[i]()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		t.crash()
	}
}

func (w *world) addRouter(program string, i int, seed uint64) error {
	name := fmt.Sprintf("router-%d", i)
	// Days that run at the same time have addresses of their own.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+seed/250%250, 1+seed%250, i+1)
	r := &router{name: name, ip: ip, settings: filepath.Join(w.dir, name+".json"), served: make(map[int]int)}
	probe, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", r.address())
	if err != nil {
		return fmt.Errorf("address of %q, perhaps left by an earlier day: %w", name, err)
	}
	_ = probe.Close()
	r.Process = process.New(name, w.dir, program, "edge", "-settings", r.settings)
	var stop func()
	if r.callers, stop, err = link.New(r.address()); err != nil {
		return err
	}
	w.cleanups = append(w.cleanups, stop)
	if r.store, stop, err = link.New(w.storeAddress); err != nil {
		return err
	}
	w.cleanups = append(w.cleanups, stop)
	if err := r.write(); err != nil {
		return err
	}
	w.routers = append(w.routers, r)
	w.cleanups = append(w.cleanups, func() { r.Stop(0) })
	return r.Start()
}

func (r *router) address() string { return net.JoinHostPort(r.ip, strconv.Itoa(ports.Callers)) }

// write writes the settings file, which differs each time.
func (r *router) write() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	domain := fmt.Sprintf("domain-%d", int(r.name[len(r.name)-1]-'0')%domains)
	data := platformtest.FleetSettings(r.name, r.ip, domain, ports, r.store.Address(), r.revision)
	if err := os.WriteFile(r.settings+".new", data, 0o600); err != nil {
		return fmt.Errorf("settings of %q: %w", r.name, err)
	}
	return os.Rename(r.settings+".new", r.settings)
}

// terminate stops the router as planned work and starts it again.
func (r *router) terminate() error {
	r.mu.Lock()
	r.stopping = time.Now()
	r.mu.Unlock()
	r.Stop(stopGrace)
	return r.Start()
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := len(w.versions) + 1
	w.store.Set(platformtest.Configurations, platformtest.Current, platformtest.FleetConfiguration(version))
	w.versions = append(w.versions, time.Now())
}

// version returns the newest version that was acknowledged some time ago, or zero.
func (w *world) version(age time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for v := len(w.versions); v > 0; v-- {
		if time.Since(w.versions[v-1]) > age {
			return v
		}
	}
	return 0
}

func (w *world) addTarget() error {
	w.mu.Lock()
	w.named++
	id := fmt.Sprintf("i-%d", w.named)
	w.mu.Unlock()
	return w.startTarget(id, 1)
}

// startTarget starts an incarnation of a target and registers it.
func (w *world) startTarget(id string, born int) error {
	t, crash, err := traffic.NewTarget(id, w.book)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.targets[id] = &target{Target: t, crash: crash, born: born}
	w.mu.Unlock()
	w.register(id, "ready")
	return nil
}

func (w *world) register(id, state string) {
	w.mu.Lock()
	t := w.targets[id]
	w.mu.Unlock()
	w.store.Set(platformtest.Targets, id, platformtest.Target(t.Link.Address(), state, t.born))
}

// remove takes a target off the store and ends it.
func (w *world) remove(id string) {
	w.store.Remove(platformtest.Targets, id)
	w.mu.Lock()
	t := w.targets[id]
	delete(w.targets, id)
	w.mu.Unlock()
	t.crash()
}

// LookupURLs implements traffic.Fleet.
func (w *world) LookupURLs() []string {
	var urls []string
	for _, i := range rand.Perm(len(w.routers)) {
		urls = append(urls, fmt.Sprintf("http://%s:%d/lookup?name=h&zone=domain-0", w.routers[i].ip, ports.Lookup))
	}
	return urls[:3]
}

// Dial implements traffic.Fleet.
func (w *world) Dial(address string) string {
	if r := w.at(address); r != nil {
		return r.callers.Address()
	}
	return address
}

// Stopping implements traffic.Fleet.
func (w *world) Stopping(address string) bool {
	r := w.at(address)
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.stopping) < stopGrace+time.Second
}

func (w *world) at(address string) *router {
	for _, r := range w.routers {
		if r.address() == address {
			return r
		}
	}
	return nil
}

// ready reports whether the platform would find a router ready.
func (r *router) ready() bool {
	status, _ := traffic.Get(fmt.Sprintf("http://%s:%d/readyz", r.ip, ports.Ready))
	return status == http.StatusOK
}
