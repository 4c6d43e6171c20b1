package scenario_test

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/process"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

const (
	// changeApplyTime is the time within which a change must be in force, as in the settings.
	changeApplyTime = 2 * time.Second
	// touchTime is how long a router must have been undisturbed for that bound to hold.
	touchTime = 3 * time.Second
	// changeRoutes is the number of routes of the configuration that changes.
	changeRoutes = 1400
	// changeGap is the time between two changes, changeCount their number.
	changeGap   = 330 * time.Millisecond
	changeCount = 18
	// recentChanges is the number of versions that calls are made for at a time.
	recentChanges = 6
	changeDomains = 3
	metricsPort   = 9464
)

var (
	changeRouters = flag.Int("change-routers", 12, "number of routers of the tests of changes")
	changeShare   = flag.Float64("change-share", 0, "share of a processor that each of these routers has; 0 is no limit")
	changePorts   = platformtest.Ports{Callers: 18427, Ready: 18420, Lookup: 18424, Peers: 17540}
)

type (
	// changeFleet is a fleet of router processes whose configuration changes.
	changeFleet struct {
		*qt.C
		store *platformtest.Store
		// routers holds the one that watches the store first.
		routers []*changeRouter

		mu sync.Mutex
		// changed holds the time of each version of the configuration.
		changed map[int]time.Time
		version int
		// latest is the time after a change at which the last call was sent that an undisturbed
		// router refused because it did not have the change.
		latest time.Duration
	}

	changeRouter struct {
		*process.Process
		ip string

		mu sync.Mutex
		// disturbedUntil is the end of the last disturbance of the process.
		disturbedUntil time.Time
	}
)

// newChangeFleet starts routers and waits until one of them watches the store.
func newChangeFleet(t *testing.T, subnet, count int) *changeFleet {
	f := &changeFleet{C: qt.New(t), store: platformtest.NewStore(), version: changeRoutes, changed: make(map[int]time.Time)}
	dir := t.TempDir()
	program := buildRouter(f.C, dir)
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.change()
	var processes []*process.Process
	for i := range count {
		name, ip := fmt.Sprint("router-", i), fmt.Sprintf("127.78.%d.%d", subnet, i+1)
		settings := filepath.Join(dir, name+".json")
		data := platformtest.FleetSettings(name, ip, fmt.Sprint("domain-", i%changeDomains), changePorts,
			strings.TrimPrefix(server.URL, "http://"), 1)
		f.Assert(os.WriteFile(settings, data, 0o600), qt.IsNil)
		r := &changeRouter{Process: process.New(name, dir, program, "edge", "-settings", settings), ip: ip}
		f.Assert(r.Start(), qt.IsNil)
		t.Cleanup(func() { r.Stop(0) })
		f.routers = append(f.routers, r)
		processes = append(processes, r.Process)
	}
	if *changeShare > 0 {
		t.Cleanup(process.LimitProcessors(processes, *changeShare))
	}
	t.Cleanup(func() { f.logRouters(dir) })
	f.awaitWatcher()
	return f
}

// run runs a subtest whose checks are those of f.
func (f *changeFleet) run(name string, test func()) {
	parent := f.C
	defer func() { f.C = parent }()
	parent.Run(name, func(c *qt.C) {
		f.C = c
		test()
	})
}

// logRouters logs what the routers say of changes, if the test has failed.
func (f *changeFleet) logRouters(dir string) {
	if !f.Failed() {
		return
	}
	paths, _ := filepath.Glob(filepath.Join(dir, "*.log")) // The pattern is valid.
	for _, path := range paths {
		data, err := os.ReadFile(path)
		f.Check(err, qt.IsNil)
		for line := range strings.Lines(string(data)) {
			if !strings.Contains(line, `"message":"call"`) {
				f.Logf("%s", strings.TrimSpace(line))
			}
		}
	}
}

// awaitWatcher waits until all routers know each other and exactly one watches the store.
func (f *changeFleet) awaitWatcher() {
	f.Helper()
	for end := time.Now().Add(30 * time.Second); !f.findWatcher(); time.Sleep(100 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no router watches the store"))
	}
}

func (f *changeFleet) findWatcher() bool {
	watcher, watching := 0, 0
	for i, r := range f.routers {
		var view struct {
			Configuration   int      `json:"configuration"`
			WatchesStore    bool     `json:"watches-store"`
			CallerAddresses []string `json:"caller-addresses"`
		}
		resp, err := http.Get("http://" + net.JoinHostPort(r.ip, strconv.Itoa(metricsPort)) + "/view")
		if err != nil {
			return false
		}
		err = json.NewDecoder(resp.Body).Decode(&view)
		_ = resp.Body.Close()
		if err != nil || view.Configuration != f.version || len(view.CallerAddresses) != len(f.routers) {
			return false
		}
		if view.WatchesStore {
			watcher = i
			watching++
		}
	}
	f.routers[0], f.routers[watcher] = f.routers[watcher], f.routers[0]
	return watching == 1
}

// change writes the next version of the configuration, which adds a route.
func (f *changeFleet) change() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.FleetConfiguration(f.version))
	f.changed[f.version] = time.Now()
}

// assertChangesApply makes a series of changes, calls onChange after each, and fails if an
// undisturbed router refuses a call on a route later than changeApplyTime after it was added.
func (f *changeFleet) assertChangesApply(onChange func(i int)) {
	f.Helper()
	f.latest = 0
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, r := range f.routers {
		group.Go(func() { f.probe(r, done) })
	}
	for i := range changeCount {
		f.change()
		onChange(i)
		time.Sleep(changeGap)
	}
	time.Sleep(changeApplyTime + changeGap)
	close(done)
	group.Wait()
	f.Logf("the last refused call was sent %v after the change", f.latest)
	f.Check(f.latest < changeApplyTime, qt.IsTrue, qt.Commentf("a call sent %v after the change was refused", f.latest))
	f.awaitWatcher()
}

// probe makes calls at a router on the routes that were added last, until done is closed.
func (f *changeFleet) probe(r *changeRouter, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(30+rand.IntN(60)) * time.Millisecond):
		}
		f.mu.Lock()
		version := f.version - rand.IntN(recentChanges)
		changed, known := f.changed[version]
		f.mu.Unlock()
		sent := time.Now()
		if !known || r.call(platformtest.VersionPath(version)) != http.StatusNotFound || r.isDisturbedSince(sent.Add(-touchTime)) {
			continue
		}
		f.mu.Lock()
		f.latest = max(f.latest, sent.Sub(changed))
		f.mu.Unlock()
	}
}

func (r *changeRouter) isDisturbedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disturbedUntil.After(t)
}

func (r *changeRouter) setDisturbed(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbedUntil = time.Now().Add(d)
}

// pause stops the process for a time.
func (r *changeRouter) pause(d time.Duration) {
	r.setDisturbed(d)
	r.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		r.setDisturbed(0)
		r.Signal(syscall.SIGCONT)
	})
}

// slowDown lets the process run for a part of the time only, until the returned function is
// called.
func (r *changeRouter) slowDown(run, pause time.Duration) func() {
	r.setDisturbed(time.Hour)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			r.Signal(syscall.SIGSTOP)
			time.Sleep(pause)
			r.Signal(syscall.SIGCONT)
			select {
			case <-done:
				return
			case <-time.After(run):
			}
		}
	}()
	return func() {
		close(done)
		<-ended
		r.setDisturbed(0)
	}
}

// call makes one call and returns its status, or 0 without a response.
func (r *changeRouter) call(path string) int {
	conn, err := net.DialTimeout("tcp4", net.JoinHostPort(r.ip, strconv.Itoa(changePorts.Callers)), time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, platformtest.Request(path, platformtest.AuthorizationLine, "x")); err != nil {
		return 0
	}
	response, err := http1.ReadResponse(bufio.NewReader(conn), 16<<10, "POST")
	if err != nil {
		return 0
	}
	return response.Status
}

// Guards against calls refused as only an older version allows (CONFIG, issue 36): routers in
// order must have a change in time although those that have it already are slow or stop.
func TestChangesReachRoutersBesideDisturbedOnes(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs the program")
	}
	f := newChangeFleet(t, 0, *changeRouters)
	f.run("none disturbed", func() { f.assertChangesApply(func(int) {}) })
	f.run("the router that watches the store stops", func() {
		f.assertChangesApply(func(i int) {
			if i%recentChanges == recentChanges/2 {
				f.routers[0].pause(2*time.Second - changeGap/3)
			}
		})
	})
	for _, count := range []int{1, 5} {
		f.run(fmt.Sprint(count, " slow, among them the router that watches the store"), func() {
			for _, r := range f.routers[:count] {
				restore := r.slowDown(15*time.Millisecond, 150*time.Millisecond)
				defer restore()
			}
			f.assertChangesApply(func(int) {})
		})
	}
}
