// Package process runs one program as a process that a soak signals, kills and
// starts again.
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
)

type (
	// Process is one program with its settings.
	Process struct {
		name    string
		command []string
		log     string

		mu    sync.Mutex
		run   *run
		count int
		// Surprises are the ends that nobody asked for.
		surprises []string
	}

	run struct {
		cmd *exec.Cmd
		// asked is set once the process was told to end.
		asked bool
		ended chan struct{}
	}
)

// New returns a process that is not running yet; its output goes to a file in dir.
func New(name, dir string, command ...string) *Process {
	return &Process{name: name, command: command, log: filepath.Join(dir, name+".log")}
}

// Start starts the program unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %q: %w", p.name, err)
	}
	// The soak's own program; Stop ends it.
	cmd := exec.CommandContext(context.Background(), p.command[0], p.command[1:]...) //nolint:gosec
	r := &run{cmd: cmd, ended: make(chan struct{})}
	r.cmd.Stdout, r.cmd.Stderr = out, out
	if err := r.cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("start %q: %w", p.name, err)
	}
	p.run = r
	p.count++
	go p.wait(r, out)
	return nil
}

func (p *Process) wait(r *run, out *os.File) {
	err := r.cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !r.asked {
		p.surprises = append(p.surprises, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	p.run = nil
	close(r.ended)
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.run.asked = true
	}
	_ = p.run.cmd.Process.Signal(s) // It may have ended.
}

// Stop ends the process: at once, or by SIGTERM and the given time for its calls.
func (p *Process) Stop(grace time.Duration) {
	p.mu.Lock()
	r := p.run
	p.mu.Unlock()
	if r == nil {
		return
	}
	if grace > 0 {
		p.Signal(syscall.SIGTERM)
		select {
		case <-r.ended:
			return
		case <-time.After(grace):
		}
	}
	p.Signal(syscall.SIGKILL)
	<-r.ended
}

// Incarnation counts the starts; zero when the process does not run.
func (p *Process) Incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return 0
	}
	return p.count
}

// Faults returns the ends that nobody asked for and the data races in the log.
func (p *Process) Faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := append([]string(nil), p.surprises...)
	data, err := os.ReadFile(p.log)
	if err != nil {
		return append(out, err.Error())
	}
	if bytes.Contains(data, []byte("WARNING: DATA RACE")) {
		out = append(out, p.name+" has a data race")
	}
	return out
}
