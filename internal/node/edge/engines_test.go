package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/testing/ports"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

const (
	crashingPart = "c0ffee"
	// contactTime is the platform's bound contact_ms.
	contactTime = 3 * time.Second
)

type (
	// engineFleet is a fleet of routers on loopback before engines that end when they
	// begin an answer to a call with crashingPart, and start again under a new name.
	engineFleet struct {
		*qt.C
		store *platformtest.Store
		// storeAddress is that of the store, routers are the callers' addresses of processes.
		storeAddress string
		routers      []string
		processes    []*Router
		stops        []context.CancelFunc

		mu sync.Mutex
		// crashes are the times at which engines ended; sends those at which calls with
		// crashingPart reached one.
		crashes []time.Time
		sends   []time.Time
		stopped bool
		// lines are header lines of the answers of engines by number; arrivals are the
		// times at which calls reached an engine.
		lines    map[int]string
		arrivals map[int][]time.Time
		// crashesSilently is set if engines end before the first byte of the answer.
		crashesSilently bool
	}

	fleetEngine struct {
		fleet    *engineFleet
		number   int
		started  int
		listener net.Listener
		mu       sync.Mutex
		conns    map[net.Conn]bool
	}
)

func newEngineFleet(t *testing.T, routers, engines int) *engineFleet {
	f := &engineFleet{
		C: qt.New(t), store: platformtest.NewStore(), lines: make(map[int]string), arrivals: make(map[int][]time.Time),
	}
	storeServer := httptest.NewServer(f.store)
	t.Cleanup(storeServer.Close)
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = true
	})
	f.storeAddress = strings.TrimPrefix(storeServer.URL, "http://")
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.PromptConfiguration(1))
	for i := range engines {
		(&fleetEngine{fleet: f, number: i}).start()
	}
	for i := range routers {
		f.startRouter(t, fmt.Sprint("edge-", i), fmt.Sprint("d-", i%2), f.storeAddress)
	}
	return f
}

func (f *engineFleet) startRouter(t *testing.T, name, domain, store string) {
	var listen platformtest.Ports
	for _, port := range []*int{&listen.Callers, &listen.Ready, &listen.Lookup, &listen.Peers} {
		*port = ports.Free(f)
	}
	path := filepath.Join(t.TempDir(), "boot.json")
	f.Assert(os.WriteFile(path, platformtest.FleetSettings(name, "127.0.0.1", domain, listen, store, 1), 0o600), qt.IsNil)
	settings, err := platform.LoadSettings(path)
	f.Assert(err, qt.IsNil)
	router, closeRouter, err := New(path, settings, zerolog.Nop())
	f.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { router.Run(ctx) })
	f.routers, f.processes = append(f.routers, settings.CallerAddress), append(f.processes, router)
	// Routers take their time to stop, so all are told before the first is awaited.
	f.stops = append(f.stops, cancel)
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		running.Wait()
		closeRouter()
	})
}

// start lets the engine listen at a new address and registers it.
func (e *fleetEngine) start() {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	e.fleet.Check(err, qt.IsNil)
	if err != nil {
		return
	}
	e.started++
	e.listener, e.conns = l, make(map[net.Conn]bool)
	e.fleet.store.Set(platformtest.KindTargets, e.name(), platformtest.Target(l.Addr().String(), "ready", 0))
	go e.accept(l)
}

func (e *fleetEngine) name() string { return fmt.Sprintf("i-%d-%d", e.number, e.started) }

func (e *fleetEngine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *fleetEngine) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		head, err := http1.ReadRequest(reader, 16<<10)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(http1.Body(reader, head.Length)); err != nil {
			return
		}
		r := rawserver.Request{Request: head}
		crashes := slices.Contains(platformtest.Parts(r), crashingPart)
		if _, err := io.WriteString(c, e.fleet.answerHead(e.number, r, crashes)); err != nil {
			return
		}
		if crashes {
			time.Sleep(20 * time.Millisecond)
			e.crash()
			return
		}
		for event := range 5 {
			time.Sleep(20 * time.Millisecond)
			text := fmt.Sprintf("id: %d\ndata: x\n\n", event+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// answerHead records a call that has reached an engine and returns the head of its answer.
func (f *engineFleet) answerHead(engine int, r rawserver.Request, crashes bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals[engine] = append(f.arrivals[engine], time.Now())
	if crashes {
		f.sends = append(f.sends, time.Now())
		if f.crashesSilently {
			return ""
		}
	}
	return platformtest.StreamHeadWith(r, f.lines[engine])
}

// setLines sets header lines that an engine adds to its answers.
func (f *engineFleet) setLines(engine int, lines string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines[engine] = lines
}

// crash ends the engine, which resets its connections, and lets it start again later.
func (e *fleetEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	_ = e.listener.Close()
	e.listener = nil
	for c := range e.conns {
		rawserver.Reset(c)
	}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.crashes = append(e.fleet.crashes, time.Now())
	time.AfterFunc(700*time.Millisecond, func() {
		e.fleet.mu.Lock()
		stopped := e.fleet.stopped
		e.fleet.mu.Unlock()
		if stopped {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.fleet.store.Remove(platformtest.KindTargets, e.name())
		e.start()
	})
}

// call makes a call with the given prompt parts through a random router and returns the
// status, or 0 if the response is not complete.
func (f *engineFleet) call(path string, parts ...string) int {
	c, err := net.Dial("tcp4", f.routers[rand.IntN(len(f.routers))])
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	lines := "Connection: close\r\n" + platformtest.DeadlineLine(3000) + platformtest.AuthorizationLine + platformtest.PartsLine(parts...)
	if _, err := io.WriteString(c, platformtest.Request(path, lines, "x")); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// repeat runs f in its own goroutine at each interval until ctx is done, and returns when
// all have returned.
func repeat(ctx context.Context, interval time.Duration, f func(i int)) {
	var group sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
			group.Go(func() { f(i) })
		}
	}
}

// warmUp waits until calls through all routers are served.
func (f *engineFleet) warmUp(path string) {
	f.Helper()
	streak := 0
	for end := time.Now().Add(eventuallyTimeout); streak < 4*len(f.routers); {
		f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("calls are not served"))
		if f.call(path, "aa", fmt.Sprint("b", streak%6), "w") != http.StatusOK {
			streak = 0
			time.Sleep(20 * time.Millisecond)
			continue
		}
		streak++
	}
}
