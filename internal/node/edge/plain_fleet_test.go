package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/testing/ports"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

const (
	// plainSlots is the number of slots of each target, plainWork the time of a call.
	plainSlots = 6
	plainWork  = 60 * time.Millisecond
	// coldPerS is the rate of cold targets, and coldBound what all routers may send there in any
	// one second.
	coldPerS  = 2
	coldBound = coldPerS*platformtest.ColdOvershoot + platformtest.ColdSlack
	// plainRounds bounds the repetitions of a load in which a router got no answer of the
	// coordinator in time although this process did not stand still for longer than answerStall.
	plainRounds = 5
	// answerStall is the time for which a router waits for the answer of a coordinator. A longer
	// stall of this process explains that there is none. busyRounds bounds the repetitions of a
	// load with such a stall, and after one longer than maxStall calls may fail, too: on a busy
	// machine that says nothing of the routers.
	answerStall = 25 * time.Millisecond
	maxStall    = 300 * time.Millisecond
	busyRounds  = 20
	// slotsCleanup and fleetCleanup are the positions in Router.cleanups of the functions that
	// close the sockets for slots and for beacons.
	slotsCleanup, fleetCleanup = 2, 3
)

type (
	// plainFleet is a fleet of routers, each on an address of its own, before the targets of a
	// plain service.
	plainFleet struct {
		*qt.C
		t            *testing.T
		store        *platformtest.Store
		storeAddress string
		ports        platformtest.Ports
		routers      []*plainRouter
		targets      []*plainTarget
	}

	plainRouter struct {
		*Router
		log *syncBuffer
		// cut ends the traffic with other routers, kill that with anyone, at once.
		cut, kill func()
	}

	// plainTarget counts its calls. It runs all at once.
	plainTarget struct {
		server *rawserver.Server
		mu     sync.Mutex
		// inFlight is the number of calls, most the largest one.
		inFlight, most int
		arrivals       []time.Time
	}

	// plainLoad is the result of a load.
	plainLoad struct {
		statuses map[int]int
		slowest  time.Duration
		// stall is the longest time for which this process stood still.
		stall time.Duration
	}
)

func newPlainFleet(t *testing.T, routers, targets int, coldPerS float64) *plainFleet {
	f := &plainFleet{C: qt.New(t), t: t, store: platformtest.NewStore()}
	storeServer := httptest.NewServer(f.store)
	t.Cleanup(storeServer.Close)
	f.storeAddress = strings.TrimPrefix(storeServer.URL, "http://")
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.PlainConfiguration(1, coldPerS))
	for i := range targets {
		target := new(plainTarget)
		server, stop, err := rawserver.New(target.serve)
		f.Assert(err, qt.IsNil)
		t.Cleanup(stop)
		target.server = server
		f.targets = append(f.targets, target)
		f.setCold(i, 0)
	}
	for _, port := range []*int{&f.ports.Callers, &f.ports.Ready, &f.ports.Lookup} {
		*port = ports.Free(f)
	}
	f.ports.Peers = freePair(f)
	for i := range routers {
		f.routers = append(f.routers, f.start(i))
	}
	f.await()
	return f
}

// freePair returns the first of two free ports that follow each other.
func freePair(t testing.TB) int {
	t.Helper()
	first := ports.Free(t)
	for second := ports.Free(t); second != first+1; second = ports.Free(t) {
		first = second
	}
	return first
}

// start starts a router, which replaces the one of the same number.
func (f *plainFleet) start(number int) *plainRouter {
	name, ip := fmt.Sprint("edge-", number), plainIP(number)
	path := filepath.Join(f.t.TempDir(), "boot.json")
	f.Assert(os.WriteFile(path, platformtest.ScarceSettings(name, ip, fmt.Sprint("d-", number), f.ports, f.storeAddress), 0o600), qt.IsNil)
	settings, err := platform.LoadSettings(path)
	settings.AssignsSlots = true
	f.Assert(err, qt.IsNil)
	log := new(syncBuffer)
	router, closeRouter, err := New(path, settings, zerolog.New(log).With().Timestamp().Logger())
	f.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		router.Run(ctx)
	}()
	r := &plainRouter{Router: router, log: log}
	closeOnce := sync.OnceFunc(closeRouter)
	r.kill = func() {
		for _, l := range router.callerListeners {
			_ = l.Close()
		}
		closeOnce()
		router.server.Stop()
	}
	r.cut = func() {
		for _, release := range router.cleanups[slotsCleanup : fleetCleanup+1] {
			release()
		}
	}
	f.t.Cleanup(func() {
		cancel()
		<-ended
		closeOnce()
	})
	return r
}

// plainIP returns the address of a router, on loopback. All routers use the same ports.
func plainIP(router int) string { return fmt.Sprintf("127.0.7.%d", router+1) }

// await waits until all routers serve, know each other and get slots of the same coordinator.
// Routers that do not know each other yet choose different coordinators, which grant the same slots.
func (f *plainFleet) await() {
	f.Helper()
	for end := time.Now().Add(20 * time.Second); !f.isAgreed(); time.Sleep(50 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the routers do not agree on a coordinator: %s", f.coordinators()))
	}
}

// isAgreed makes a call through each router and reports whether all are served by routers that know
// each other, with slots of the same coordinator.
func (f *plainFleet) isAgreed() bool {
	coordinators := make(map[string]bool)
	for i, r := range f.routers {
		if status, _ := f.call(i, platformtest.PathOnce); status != http.StatusOK || len(r.slotMembers()) != len(f.routers) {
			return false
		}
		coordinators[f.coordinatorOf(r)] = true
	}
	return len(coordinators) == 1 && !coordinators[""]
}

// coordinatorOf returns the address of the coordinator that a router used last, or "".
func (f *plainFleet) coordinatorOf(r *plainRouter) string {
	changes := r.log.lines(f.C, "slot coordinator changed")
	if len(changes) == 0 {
		return ""
	}
	to, _ := changes[len(changes)-1]["to"].(string)
	return to
}

// coordinators returns the coordinator of each router, with the number of its changes.
func (f *plainFleet) coordinators() string {
	var list []string
	for _, r := range f.routers {
		list = append(list, fmt.Sprint(f.coordinatorOf(r), " after ", len(r.log.lines(f.C, "slot coordinator changed"))))
	}
	return strings.Join(list, ", ")
}

// coordinator returns the number of the router that coordinates the service.
func (f *plainFleet) coordinator() int {
	f.Helper()
	host, _, err := net.SplitHostPort(f.coordinatorOf(f.routers[0]))
	f.Assert(err, qt.IsNil)
	for i, r := range f.routers {
		if r.settings.IP == host {
			return i
		}
	}
	f.Fatalf("no router is at %s", host)
	return 0
}

// setCold makes a target cold for a time.
func (f *plainFleet) setCold(target int, left time.Duration) {
	address := f.targets[target].server.Address()
	f.store.Set(platformtest.KindTargets, fmt.Sprint("i-", target), platformtest.PlainTarget(address, plainSlots, int(left.Milliseconds())))
}

func (p *plainTarget) serve(c net.Conn, r rawserver.Request) bool {
	p.mu.Lock()
	p.inFlight++
	p.most = max(p.most, p.inFlight)
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	time.Sleep(plainWork)
	p.mu.Lock()
	p.inFlight--
	load := fmt.Sprintf("%d,0,%d", p.inFlight, plainSlots)
	p.mu.Unlock()
	_, err := io.WriteString(c, platformtest.Response(r, "200 OK", platformtest.LoadLine(load), "x"))
	return err == nil
}

// reset forgets the calls so far.
func (p *plainTarget) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most, p.arrivals = p.inFlight, nil
}

// call makes a call through a router and returns its status, 0 without a response.
func (f *plainFleet) call(router int, path string) (int, time.Duration) {
	started := time.Now()
	c, err := net.Dial("tcp4", net.JoinHostPort(plainIP(router), strconv.Itoa(f.ports.Callers)))
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	_ = c.SetDeadline(started.Add(4 * time.Second))
	if _, err := io.WriteString(c, platformtest.Request(path, "Connection: close\r\n"+platformtest.AuthorizationLine, "x")); err != nil {
		return 0, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	return resp.StatusCode, time.Since(started)
}

// load makes calls through routers for a time, one at each interval. They run at most once: a call
// that is repeated elsewhere after a while occupies its first target, too, which on a busy machine
// says nothing of the grants.
func (f *plainFleet) load(duration, interval time.Duration, routers ...int) plainLoad {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var mu sync.Mutex
	l := plainLoad{statuses: make(map[int]int)}
	stall := measureStall(ctx)
	repeat(ctx, interval, func(i int) {
		status, took := f.call(routers[i%len(routers)], platformtest.PathOnce)
		mu.Lock()
		defer mu.Unlock()
		l.statuses[status]++
		l.slowest = max(l.slowest, took)
	})
	l.stall = <-stall
	return l
}

// measureStall returns a channel that gets, when ctx is done, the longest time by which a short
// pause took too long.
func measureStall(ctx context.Context) <-chan time.Duration {
	result := make(chan time.Duration, 1)
	go func() {
		const pause = 10 * time.Millisecond
		longest := time.Duration(0)
		for ctx.Err() == nil {
			started := time.Now()
			time.Sleep(pause)
			longest = max(longest, time.Since(started)-pause)
		}
		result <- longest
	}()
	return result
}

// fallbacks returns how many requests for a slot, of all routers, have had no answer.
func fallbacks() uint64 {
	return metrics.GetOrCreateCounter(`hickoryrock_slot_requests_total{result="no-coordinator"}`).Get()
}
