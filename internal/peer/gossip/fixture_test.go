package gossip_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/peer/gossip"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/policy/targetlimits"
	"hickoryrock/internal/policy/targetload"
	"hickoryrock/internal/policy/targetpace"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/internal/testing/ports"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

const waitTimeout = 5 * time.Second

// router is a gossiping router that serves no callers.
type router struct {
	*gossip.Fleet
	watcher    *storewatch.Watcher
	tracker    *targetstats.Tracker
	cacheIndex *affinity.CacheIndex
	quarantine *quarantine.Tracker
	limits     *targetlimits.Tracker
	pace       *targetpace.Tracker
	figures    *targetload.Tracker
	address    string
	// confirmed is set if the router confirms its state to its peers.
	confirmed atomic.Bool
	// snapshots counts the snapshots that this router's peers have requested from it.
	snapshots atomic.Int64
	// hangs is set if this router does not answer its peers' calls, although its beacons go on.
	hangs atomic.Bool
	// cacheSends counts the cache contents that it has sent.
	cacheSends atomic.Int64
	stop       func()
}

type fixture struct {
	*qt.C
	store        *platformtest.Store
	storeAddress string
	// failingStoreAddress is the address of a store that fails every call with 503.
	failingStoreAddress string
	// slowCaches is the time that a router takes to send cache contents.
	slowCaches time.Duration
	// evacuationBound is the time within which evacuations must be in force; zero means that
	// there are none.
	evacuationBound time.Duration
	// cpuShare is the CPU share of the routers that are started.
	cpuShare float64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), store: platformtest.NewStore()}
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	f.storeAddress = serve(f.store)
	f.failingStoreAddress = serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	return f
}

// start runs a router in its own failure domain that uses the store at storeAddress.
func (f *fixture) start(name, storeAddress string) *router {
	return f.startIn("z-"+name, name, storeAddress)
}

func (f *fixture) startIn(failureDomain, name, storeAddress string) *router {
	address := ports.FreeAddress(f)

	r := &router{address: address, tracker: targetstats.NewTracker(func(targetstats.Change) {}), cacheIndex: affinity.NewCacheIndex(),
		quarantine: quarantine.NewTracker(), figures: targetload.NewTracker()}
	r.limits = targetlimits.NewTracker(func() (uint64, []uint64) { return r.LiveRouters() })
	r.pace = targetpace.NewTracker(func() (uint64, []uint64) { return r.KnownRouters() },
		targetpace.WithLiveRouters(func() (uint64, []uint64) { return r.LiveRouters() }))
	store, closeStore := platform.NewStore(storeAddress)
	r.watcher = storewatch.New(store, zerolog.Nop(),
		func(c *storewatch.Delta) { r.SendNow(c) }, func() bool { return r.StoreServesPeers() },
		storewatch.WithEvacuations(f.evacuationBound))
	fleet, closeFleet, err := gossip.New(gossip.Identity{
		Router: name, CallerAddress: "callers-of-" + name, PeerAddress: address, FailureDomain: failureDomain,
		Incarnation: uint64(time.Now().UnixMicro()), CPUShare: f.cpuShare,
	}, r.localState, r.tracker, r.cacheIndex, r.watcher, zerolog.Nop(), gossip.WithQuarantine(r.quarantine), gossip.WithLimits(r.limits),
		gossip.WithPace(r.pace), gossip.WithLoadFigures(r.figures))
	f.Assert(err, qt.IsNil)
	r.Fleet = fleet
	l, err := net.Listen("tcp4", address)
	f.Assert(err, qt.IsNil)
	handler := fleet.Handler()
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.snapshots.Add(1)
		if r.hangs.Load() {
			<-req.Context().Done()
			return
		}
		handler.ServeHTTP(&slowWriter{ResponseWriter: w, router: r, delay: f.slowCaches, slow: strings.HasSuffix(req.URL.Path, "GetCaches")}, req)
	})}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	go r.watcher.Run(ctx, fleet.WatchesStore)
	go fleet.Run(ctx)
	r.stop = func() {
		cancel()
		_ = server.Close()
		closeFleet()
		closeStore()
	}
	f.Cleanup(func() { r.stop() })
	return r
}

// slowWriter delays a successful response with cache contents, and counts it.
type slowWriter struct {
	http.ResponseWriter
	router *router
	delay  time.Duration
	slow   bool
	status int
}

func (w *slowWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (w *slowWriter) Write(data []byte) (int, error) {
	if w.slow && (w.status == 0 || w.status == http.StatusOK) {
		w.slow = false
		w.router.cacheSends.Add(1)
		time.Sleep(w.delay)
	}
	return w.ResponseWriter.Write(data)
}

func (r *router) localState() gossip.State {
	v := r.watcher.View()
	s := gossip.State{
		Serving: v.Configuration != nil, TargetsRevision: v.Targets.Revision, TargetsDigest: v.Targets.Digest,
		TargetsListRevision: v.Targets.ListRevision, LacksDepartures: r.watcher.LacksDepartures(), Confirmed: r.confirmed.Load(),
		StoreAge: r.watcher.StoreAge(), StoreFailing: r.watcher.FailingFor(), TargetCount: len(v.Targets.ByService["s"]),
	}
	if v.Configuration != nil {
		s.ConfigurationVersion = v.Configuration.Version
	}
	return s
}

func (f *fixture) eventually(what string, holds func() bool) {
	f.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.Fatalf("condition not met within %v: %s", waitTimeout, what)
		}
	}
}

// stopwatch measures time without the delays that other processes cause. The bounds of the
// objectives are for routers that have their processors.
type stopwatch struct {
	f     *fixture
	begun time.Time
	// waited is the time that the threads had waited for a processor at begun.
	waited time.Duration
}

func (f *fixture) startStopwatch() stopwatch {
	waited := f.processorWait()
	return stopwatch{f, time.Now(), waited}
}

// assertWithin checks that no more than limit has passed, plus the time that this process's
// threads have waited for a processor meanwhile, which is next to nothing on an idle machine.
func (s stopwatch) assertWithin(limit time.Duration) {
	s.f.Helper()
	took := time.Since(s.begun)
	waited := max(s.f.processorWait()-s.waited, 0)
	s.f.Assert(took-waited < limit, qt.IsTrue, qt.Commentf("%v, of which %v waiting for a processor", took, waited))
}

// processorWait returns the time that the threads of this process have been ready to run and
// waited for a processor. It is zero where the kernel does not keep it.
func (f *fixture) processorWait() time.Duration {
	paths, err := filepath.Glob("/proc/self/task/*/schedstat")
	f.Assert(err, qt.IsNil)
	total := time.Duration(0)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // The thread has ended.
		}
		// The time on a processor, the time of waiting for one, in nanoseconds, and the time slices.
		if fields := strings.Fields(string(data)); len(fields) == 3 {
			waited, err := strconv.ParseInt(fields[1], 10, 64)
			f.Assert(err, qt.IsNil)
			total += time.Duration(waited)
		}
	}
	return total
}

func (f *fixture) configure(version int) {
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(version))
}

func (f *fixture) target(id, state string) {
	f.store.Set(platformtest.KindTargets, id, platformtest.Target("10.0.0.1:80", state, 0))
}
