package edge

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/operator/command"
)

// startingRouterVariable names the settings file of the router that the test binary runs
// instead of the tests.
const startingRouterVariable = "HICKORYROCK_TEST_SETTINGS"

func TestStartingRouter(t *testing.T) {
	path := os.Getenv(startingRouterVariable)
	if path == "" {
		t.Skip("runs in a process of its own")
	}
	os.Exit(runEdge(context.Background(), command.Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv},
		[]string{"-settings", path}))
}

// Guards against a failure found by seed 9712 of the soak test: a router that is told of changed
// settings while it starts must not be ended by the signal.
func TestSettingsChangeWhileStarting(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	router := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestStartingRouter$") //nolint:gosec // The test binary itself.
	router.Env = append(os.Environ(), startingRouterVariable+"="+path)
	var output strings.Builder
	router.Stderr = &output
	c.Assert(router.Start(), qt.IsNil)
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // Returns once the router reads its settings.
	c.Assert(err, qt.IsNil)
	c.Assert(router.Process.Signal(syscall.SIGHUP), qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	_, _ = settings.WriteString("{}")
	c.Assert(settings.Close(), qt.IsNil)
	_ = router.Wait()
	c.Assert(router.ProcessState.ExitCode(), qt.Equals, command.ExitUsage, qt.Commentf("%v %s", router.ProcessState, output.String()))
}
