package scenario

import (
	"context"
	"os/exec"
	"runtime"
	"strconv"
	"time"

	"hickoryrock/internal/soak/oracle"
)

const (
	// BusyCommand is the argument of Main that starts a process that keeps a processor busy,
	// for the number of milliseconds in the next argument.
	BusyCommand = "busy"
	// busyProcesses is the number of processes that starve routers of processor time.
	busyProcesses = 4
	maxBusyTime   = 5 * time.Second
)

// starve keeps processors busy with child processes for a time, unless others do so already.
func (tb *testbed) starve(duration time.Duration) {
	if tb.options.Self == "" || !tb.starving.TryLock() {
		return
	}
	defer tb.starving.Unlock()
	duration = min(duration, maxBusyTime)
	ctx, cancel := context.WithTimeout(context.Background(), duration+time.Second)
	defer cancel()
	var children []*exec.Cmd
	for range busyProcesses {
		// The program is the soak test's own.
		child := exec.CommandContext(ctx, tb.options.Self, BusyCommand, strconv.FormatInt(duration.Milliseconds(), 10)) //nolint:gosec
		if err := child.Start(); err != nil {
			tb.recorder.RecordViolation(oracle.HarnessFailure, "%v", err)
			break
		}
		children = append(children, child)
	}
	for _, child := range children {
		_ = child.Wait() // It is killed if it is late.
	}
}

// Busy keeps one processor busy for a number of milliseconds.
func Busy(milliseconds string) {
	n, _ := strconv.Atoi(milliseconds) // Anything else ends at once.
	end := time.Now().Add(min(time.Duration(n)*time.Millisecond, maxBusyTime))
	for i := 0; time.Now().Before(end); i++ {
		runtime.KeepAlive(i)
	}
}
