package scenario_test

import (
	"bufio"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/process"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

const (
	// pauseIP is a loopback address that no soak run uses.
	pauseIP = "127.77.0.1"
	// pausedEvacuateMS is the time after which no call may reach an evacuated failure domain.
	pausedEvacuateMS = 2000
)

var pausePorts = platformtest.Ports{Callers: 18327, Ready: 18320, Lookup: 18324, Peers: 17440}

// Guards against a router that was paused and acts on what it knew before: a key is
// withdrawn and a target drains during the pause. A call that waits in the socket when
// the process resumes must be refused, and no call may reach the drained target.
func TestPausedRouterUsesNoWithdrawnState(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs the program")
	}
	c := qt.New(t)
	dir := t.TempDir()
	program := buildRouter(c, dir)
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	old, current := startTarget(c), startTarget(c)
	store.Set(platformtest.KindTargets, "old", platformtest.Target(old.Address(), "ready", 1))
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.KeyConfiguration(1, "key"))
	router := startRouter(c, program, dir, strings.TrimPrefix(server.URL, "http://"))
	awaitServing(c)
	served := len(old.Requests())

	c.Assert(router.Pause(), qt.IsNil)
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.KeyConfiguration(2, "new"))
	store.Set(platformtest.KindTargets, "old", platformtest.Target(old.Address(), "draining", 1))
	store.Set(platformtest.KindTargets, "current", platformtest.Target(current.Address(), "ready", 1))
	statuses := make(chan int, 2)
	go func() { statuses <- sendCall(c, "key") }()
	go func() { statuses <- sendCall(c, "new") }()
	time.Sleep(2500 * time.Millisecond)
	router.Signal(syscall.SIGCONT)
	first, second := <-statuses, <-statuses
	c.Assert([]int{min(first, second), max(first, second)}, qt.DeepEquals, []int{200, 401})
	c.Assert(len(old.Requests()), qt.Equals, served)
	c.Assert(len(current.Requests()), qt.Equals, 1)
}

// Guards against a router that was paused and sends calls to a failure domain that was evacuated
// during the pause.
func TestPausedRouterUsesNoEvacuatedTarget(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs the program")
	}
	c := qt.New(t)
	dir := t.TempDir()
	program := buildRouter(c, dir)
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	target := startTarget(c)
	store.Set(platformtest.KindTargets, "i-1", platformtest.TargetIn("east", target.Address(), "ready", 1))
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.KeyConfiguration(1, "key"))
	router := startRouter(c, program, dir, strings.TrimPrefix(server.URL, "http://"))
	awaitServing(c)
	served := len(target.Requests())

	c.Assert(router.Pause(), qt.IsNil)
	store.Set(platformtest.KindEvacuations, "east", "{}")
	status := make(chan int, 1)
	go func() { status <- sendCall(c, "key") }()
	time.Sleep(pausedEvacuateMS*time.Millisecond + 500*time.Millisecond)
	router.Signal(syscall.SIGCONT)
	c.Assert(<-status, qt.Equals, 503)
	c.Assert(sendCall(c, "key"), qt.Equals, 503)
	c.Assert(target.Requests(), qt.HasLen, served)
	store.Remove(platformtest.KindEvacuations, "east")
	awaitServing(c)
}

// buildRouter builds the program in dir and returns its path.
func buildRouter(c *qt.C, dir string) string {
	c.Helper()
	program := filepath.Join(dir, "hickoryrock")
	out, err := exec.Command("go", "build", "-o", program, "hickoryrock/cmd/hickoryrock").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

// awaitServing waits until the router of startRouter serves calls.
func awaitServing(c *qt.C) {
	c.Helper()
	for end := time.Now().Add(10 * time.Second); sendCall(c, "key") != 200; time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the router serves no call"))
	}
}

func startTarget(c *qt.C) *rawserver.Server {
	target, stop, err := rawserver.New(func(conn net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(conn, platformtest.Response(r, "200 OK", "", "x"))
		return err == nil
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	return target
}

func startRouter(c *qt.C, program, dir, store string) *process.Process {
	settings := filepath.Join(dir, "boot.json")
	data := platformtest.FleetSettingsWithEvacuations("edge-p", pauseIP, "a", pausePorts, store, 1, 6, pausedEvacuateMS)
	c.Assert(os.WriteFile(settings, data, 0o600), qt.IsNil)
	router := process.New("edge-p", dir, program, "edge", "-settings", settings)
	c.Cleanup(func() {
		if data, err := os.ReadFile(filepath.Join(dir, "edge-p.log")); err == nil && c.Failed() {
			c.Logf("log of the router:\n%s", data)
		}
	})
	c.Assert(router.Start(), qt.IsNil)
	c.Cleanup(func() { router.Stop(0) })
	return router
}

// sendCall makes one call and returns its status, or 0 without a response.
func sendCall(c *qt.C, key string) int {
	conn, err := net.Dial("tcp4", net.JoinHostPort(pauseIP, "18327"))
	if err != nil {
		return 0 // The router does not listen yet.
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, platformtest.Request(platformtest.PathSafe, "Authorization: Bearer "+key+"\r\n", "x")); err != nil {
		return 0
	}
	response, err := http1.ReadResponse(bufio.NewReader(conn), 16<<10, "POST")
	if err != nil {
		return 0
	}
	c.Check(response.Length >= 0, qt.IsTrue)
	return response.Status
}
