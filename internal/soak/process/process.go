// Package process runs one program as a child process that a soak test signals,
// kills and restarts.
package process

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hickoryrock/platform"
)

const (
	// pauseTimeout bounds the time until all threads have stopped after SIGSTOP.
	pauseTimeout = 5 * time.Second
	// raceOptions lets programs with the race detector exit at once. By default it keeps them
	// for a second, in which they still serve open connections.
	raceOptions = "GORACE=atexit_sleep_ms=0"
)

type (
	// Process is one program with its arguments, of which at most one instance runs.
	Process struct {
		name    string
		command []string
		logPath string

		mu      sync.Mutex
		current *execution
		starts  int
		// unexpectedExits describes exits that were not requested.
		unexpectedExits []string
	}

	execution struct {
		cmd *exec.Cmd
		// stopRequested is set when the process is sent SIGTERM or SIGKILL.
		stopRequested bool
		exited        chan struct{}
	}
)

// New returns a process that is not started yet. Its output is appended to the
// file NAME.log in dir.
func New(name, dir string, command ...string) *Process {
	return &Process{name: name, command: command, logPath: filepath.Join(dir, name+".log")}
}

// Start starts the program unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		return nil
	}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %q: %w", p.name, err)
	}
	// The command comes from the soak test itself. Stop ends the process.
	cmd := exec.CommandContext(context.Background(), p.command[0], p.command[1:]...) //nolint:gosec
	cmd.Env = append(os.Environ(), raceOptions, platform.SlotsVariable+"=1")
	r := &execution{cmd: cmd, exited: make(chan struct{})}
	r.cmd.Stdout, r.cmd.Stderr = out, out
	if err := r.cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("start %q: %w", p.name, err)
	}
	p.current = r
	p.starts++
	go p.wait(r, out)
	return nil
}

func (p *Process) wait(r *execution, out *os.File) {
	err := r.cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !r.stopRequested {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
	}
	p.current = nil
	close(r.exited)
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.current.stopRequested = true
	}
	_ = p.current.cmd.Process.Signal(s) // It may have exited.
}

// Pause stops the process with SIGSTOP and returns when all of its threads have
// stopped: on a busy machine a thread may go on for a while after the signal.
func (p *Process) Pause() error {
	p.Signal(syscall.SIGSTOP)
	p.mu.Lock()
	current := p.current
	p.mu.Unlock()
	if current == nil {
		return fmt.Errorf("pause %q: not running", p.name)
	}
	for end := time.Now().Add(pauseTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		stopped, err := allStopped(current.cmd.Process.Pid)
		if err != nil {
			return fmt.Errorf("pause %q: %w", p.name, err)
		}
		if stopped {
			return nil
		}
	}
	return fmt.Errorf("pause %q: threads still run after %v", p.name, pauseTimeout)
}

// allStopped reports whether all threads of a process are in the stopped state.
func allStopped(pid int) (bool, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false, err
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return false, err
		}
		// The state follows the program's name, which is in parentheses.
		_, rest, _ := bytes.Cut(data, []byte(") "))
		if !bytes.HasPrefix(rest, []byte("T")) {
			return false, nil
		}
	}
	return len(paths) > 0, nil
}

// Stop ends the process and waits for its exit. With a grace period it sends
// SIGTERM first, and SIGKILL only when the grace period has passed.
func (p *Process) Stop(grace time.Duration) {
	p.mu.Lock()
	r := p.current
	p.mu.Unlock()
	if r == nil {
		return
	}
	if grace > 0 {
		p.Signal(syscall.SIGTERM)
		select {
		case <-r.exited:
			return
		case <-time.After(grace):
		}
	}
	p.Signal(syscall.SIGKILL)
	<-r.exited
}

// Incarnation returns the number of starts so far, or 0 when the process is not
// running.
func (p *Process) Incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return 0
	}
	return p.starts
}

// Failures returns unexpected exits and data races found in the log.
func (p *Process) Failures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := append([]string(nil), p.unexpectedExits...)
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return append(out, err.Error())
	}
	if bytes.Contains(data, []byte("WARNING: DATA RACE")) {
		out = append(out, p.name+" has a data race")
	}
	return out
}
