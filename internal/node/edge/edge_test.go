package edge

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/operator/command"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/testing/ports"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

const eventuallyTimeout = 5 * time.Second

type fixture struct {
	*qt.C
	store    *platformtest.Store
	target   *rawserver.Server
	path     string
	settings platform.Settings
	router   *Router
	cancel   context.CancelFunc
	stopped  chan struct{}
}

func newFixture(t *testing.T) *fixture { return newFixtureWithStore(t, platformtest.NewStore()) }

func newFixtureWithStore(t *testing.T, store *platformtest.Store) *fixture {
	return newFixtureWithTarget(t, store, func(c net.Conn, r rawserver.Request) bool {
		if strings.Contains(r.Target, "slow") {
			time.Sleep(500 * time.Millisecond)
		}
		_, err := io.WriteString(c, platformtest.Response(r, "200 OK", "", "hi"))
		return err == nil
	}, zerolog.Nop())
}

func newFixtureWithTarget(
	t *testing.T, store *platformtest.Store, target rawserver.Handler, log zerolog.Logger, opts ...func(*platform.Settings),
) *fixture {
	f := &fixture{C: qt.New(t), store: store, stopped: make(chan struct{})}
	storeServer := httptest.NewServer(f.store)
	t.Cleanup(storeServer.Close)
	var err error
	var stopTarget func()
	f.target, stopTarget, err = rawserver.New(target)
	f.Assert(err, qt.IsNil)
	t.Cleanup(stopTarget)
	callerAddress := ports.FreeAddress(f)
	readyAddress := ports.FreeAddress(f)
	lookupAddress := ports.FreeAddress(f)
	peerPort := ports.Free(f)
	f.path = filepath.Join(t.TempDir(), "boot.json")
	f.Assert(os.WriteFile(f.path, platformtest.Settings(callerAddress, readyAddress, lookupAddress, peerPort,
		strings.TrimPrefix(storeServer.URL, "http://")), 0o600), qt.IsNil)
	f.settings, err = platform.LoadSettings(f.path)
	f.Assert(err, qt.IsNil)
	for _, opt := range opts {
		opt(&f.settings)
	}
	router, stop, err := New(f.path, f.settings, log)
	f.Assert(err, qt.IsNil)
	f.router = router
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		defer close(f.stopped)
		router.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-f.stopped
		stop()
	})
	return f
}

func (f *fixture) configure() {
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target(f.target.Address(), "ready", 0))
	f.eventually("ready", func() bool { return f.status(f.settings.ReadyAddress, "/readyz") == 200 })
	// A router is ready with a configuration; the list of targets may come later.
	f.eventually("a target is known", func() bool { return len(f.router.watcher.View().Targets.ByService) > 0 })
}

func (f *fixture) eventually(what string, condition func() bool) {
	f.Helper()
	for end := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.Fatalf("condition not met within %v: %s", eventuallyTimeout, what)
		}
	}
}

func (f *fixture) status(address, path string) int {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (f *fixture) call(path string) (int, string) { return f.callWith(path, "") }

// callWith makes a call with additional header lines. The status is 0 without a response.
func (f *fixture) callWith(path, lines string) (int, string) {
	c, err := net.Dial("tcp4", f.settings.CallerAddress)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	_, err = io.WriteString(c, platformtest.Request(path, "Connection: close\r\n"+lines, "x"))
	f.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	f.Assert(err, qt.IsNil)
	return resp.StatusCode, string(body)
}

func TestServesOnceConfigured(t *testing.T) {
	f := newFixture(t)
	f.Assert(f.status(f.settings.ReadyAddress, "/readyz"), qt.Equals, 503)
	f.Assert(f.status(f.settings.LookupAddress, "/lookup?name=h"), qt.Equals, 503)
	status, _ := f.call("/a")
	f.Assert(status, qt.Equals, 503)
	f.configure()
	resp, err := http.Get("http://" + f.settings.LookupAddress + "/lookup?name=h&zone=a&region=r")
	f.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	f.Assert(err, qt.IsNil)
	addresses, ttl, err := platformtest.Lookup(body)
	f.Assert(err, qt.IsNil)
	f.Assert(addresses, qt.DeepEquals, []string{f.settings.CallerAddress})
	f.Assert(ttl > 0 && ttl <= 5, qt.IsTrue)
	f.eventually("a call succeeds", func() bool { status, _ := f.call("/a"); return status == 200 })
	f.Assert(f.store.Names(platform.KindRouters), qt.DeepEquals, []string{"edge-a-1"})
}

// A large fleet restarts after a loss of all VMs, and the platform charges for each call to
// its store. A restarted router must get by with one cached list of the routers: writing
// its entry again or an uncached list costs more.
func TestRestartStoreCost(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.eventually("the router is listed", func() bool { return len(f.store.Names(platform.KindRouters)) == 1 })
	f.eventually("the router has joined the fleet", func() bool {
		select {
		case <-f.router.joined:
			return true
		default:
			return false
		}
	})
	f.cancel()
	<-f.stopped
	f.router.close()
	before := f.store.ChargedCalls()
	// Run is not called, so that watching the store costs nothing here: only the calls at
	// startup are counted.
	restarted, stop, err := New(f.path, f.settings, zerolog.Nop())
	f.Assert(err, qt.IsNil)
	defer stop()
	self := platform.Router{
		Name: f.settings.Router, CallerAddress: f.settings.CallerAddress,
		PeerAddress: net.JoinHostPort("127.0.0.1", strconv.Itoa(f.settings.PeerPorts[0])), FailureDomain: "a",
	}
	found, ok := restarted.tryRegister(context.Background(), self)
	f.Assert(ok, qt.IsTrue)
	f.Assert(found.isNew, qt.IsFalse)
	f.Assert(f.store.ChargedCalls()-before <= 0.11, qt.IsTrue, qt.Commentf("%.1f calls", f.store.ChargedCalls()-before))
}

func TestDrainFinishesCalls(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.eventually("a call succeeds", func() bool { status, _ := f.call("/a"); return status == 200 })
	slowStatus := make(chan int)
	go func() {
		status, _ := f.call("/slow")
		slowStatus <- status
	}()
	f.eventually("the call is active", func() bool { return f.router.server.Active() > 0 })
	f.cancel()
	f.eventually("not ready", func() bool { return f.status(f.settings.ReadyAddress, "/readyz") == 503 })
	status, body := f.callWith("/a", platformtest.DeadlineLine(500))
	f.Assert(status, qt.Equals, 200)
	f.Assert(body, qt.Equals, "hi")
	f.Assert(<-slowStatus, qt.Equals, 200)
	<-f.stopped
	status, _ = f.call("/a")
	f.Assert(status, qt.Equals, 0)
}

func TestSettingsReload(t *testing.T) {
	f := newFixture(t)
	data, err := os.ReadFile(f.path)
	f.Assert(err, qt.IsNil)
	changed := strings.Replace(string(data), `"grace_s":3`, `"grace_s":4`, 1)
	f.Assert(os.WriteFile(f.path, []byte(changed), 0o600), qt.IsNil)
	f.eventually("the new grace period is applied", func() bool { return f.router.bounds.Load().Grace == 4*time.Second })
	f.Assert(os.WriteFile(f.path, []byte(`{`), 0o600), qt.IsNil)
	time.Sleep(1200 * time.Millisecond)
	f.Assert(f.router.bounds.Load().Grace, qt.Equals, 4*time.Second)
}

func TestCommands(t *testing.T) {
	run := func(name string, stdin string, args ...string) (int, string) {
		var out strings.Builder
		env := command.Env{
			Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" },
		}
		code := command.Dispatch(context.Background(), Commands(), env, append([]string{name}, args...))
		return code, out.String()
	}
	t.Run("check-settings reports the invalid field", func(t *testing.T) {
		c := qt.New(t)
		path := filepath.Join(t.TempDir(), "boot.json")
		c.Assert(os.WriteFile(path, []byte(`{"ip":"1.1.1.1"}`), 0o600), qt.IsNil)
		code, out := run("check-settings", "", "-settings", path)
		c.Assert(code, qt.Equals, command.ExitUsage)
		c.Assert(out, qt.Contains, `field "node_name" is missing`)
		code, _ = run("check-settings", "")
		c.Assert(code, qt.Equals, command.ExitUsage)
	})
	t.Run("story prints one call in order", func(t *testing.T) {
		c := qt.New(t)
		logs := `b: {"router":"b","call":"c2","time":"2026-12-04T06:00:02Z","message":"call"}
{"router":"a","call":"c1","targets":["i-1"],"took-ms":500,"time":"2026-12-04T06:00:03Z","message":"call"}
not json
{"router":"b","target":"i-1","time":"2026-12-04T06:00:01Z","message":"target gone"}
{"router":"b","target":"i-2","time":"2026-12-04T06:00:01Z","message":"target gone"}
{"router":"b","target":"i-1","time":"2026-12-04T05:00:01Z","message":"target gone"}
`
		code, out := run("story", logs, "-call", "c1")
		c.Assert(code, qt.Equals, command.ExitOK)
		lines := strings.Split(strings.TrimSpace(out), "\n")
		c.Assert(len(lines), qt.Equals, 2)
		c.Assert(lines[0], qt.Contains, "06:00:01")
		c.Assert(lines[1], qt.Contains, `"call":"c1"`)
		code, _ = run("story", logs, "-call", "c9")
		c.Assert(code, qt.Equals, command.ExitNotFound)
	})
}

func TestServeView(t *testing.T) {
	f := newFixture(t)
	f.configure()
	w := httptest.NewRecorder()
	f.router.serveView(w, nil)
	var got view
	f.Assert(json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
	f.Assert(got.Configuration, qt.Equals, int64(1))
	f.Assert(got.Router, qt.Equals, "edge-a-1")
}
