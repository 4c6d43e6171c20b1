package main

import (
	"os/exec"
	"sync"
)

// children holds the processes that this program has started, so that all of them are ended.
type children struct {
	mu   sync.Mutex
	list []*exec.Cmd
}

var processes children

// start starts a process.
func (c *children) start(cmd *exec.Cmd) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	c.list = append(c.list, cmd)
	return nil
}

// kill ends all processes that still run.
func (c *children) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range c.list {
		_ = cmd.Process.Kill() // It may have ended.
	}
}
