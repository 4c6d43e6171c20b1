package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	// engineMode is the argument with which this program is one engine.
	engineMode = "engine-process"

	cutEngines  = 4
	cutCallers  = 12
	cutDuration = 24 * time.Second
	killPeriod  = 5 * time.Second
)

type (
	// cutRun is a run in which engine processes are killed while they stream answers that end with
	// their connection.
	cutRun struct {
		record *record
		fleet  *fleet

		mu      sync.Mutex
		engines []*engineProcess
		starts  int
		answers map[string]answer
	}

	engineProcess struct {
		id  string
		cmd *exec.Cmd
	}
)

// serveEngine is one engine in a process of its own. It prints its address and then what it runs.
func serveEngine() int {
	server, _, err := rawserver.New(streamUntilClose)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	_, _ = fmt.Println(server.Address())
	select {} // The parent kills this process.
}

// streamUntilClose answers with a stream that has neither a length nor chunks. Each event is written
// at once.
func streamUntilClose(c net.Conn, r rawserver.Request) bool {
	id := r.HeaderField(headerID)
	_, _ = fmt.Printf("runs %s\n", id)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" + platformtest.SealLine +
		"X-Hickoryrock-Attempt-Id: " + id + "\r\n\r\n"
	time.Sleep(100 * time.Millisecond)
	for i := range eventCount {
		if _, err := fmt.Fprintf(c, "%sid: %d\ndata: token\n\n", head, i+1); err != nil {
			return false
		}
		head = ""
		time.Sleep(eventGap)
	}
	_, _ = fmt.Printf("has written all %d events of %s\n", eventCount, id)
	return false
}

// runCut plays the run and returns the exit status.
func runCut(r *record, trouble bool) (int, error) {
	route := platformtest.ChatRoute(host, "chat", chatPath, service, 6*time.Second)
	configuration := platformtest.DeploymentConfiguration(1, "hule930", []string{key},
		[]map[string]any{platformtest.EngineService(service)}, []map[string]any{route})
	f, stop, err := newFleet(r, configuration)
	if err != nil {
		return exitUnable, err
	}
	defer stop()
	c := &cutRun{record: r, fleet: f, answers: make(map[string]answer)}
	defer c.killAll()
	for range cutEngines {
		if err := c.startEngine(); err != nil {
			return exitUnable, err
		}
	}
	if err := f.start(); err != nil {
		return exitUnable, err
	}
	time.Sleep(2 * time.Second)
	return c.play(trouble)
}

// startEngine starts an engine process and registers it.
func (c *cutRun) startEngine() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program: %w", err)
	}
	cmd := exec.CommandContext(context.Background(), self, engineMode) //nolint:gosec // This program itself.
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("output of an engine: %w", err)
	}
	if err := processes.start(cmd); err != nil {
		return fmt.Errorf("start an engine: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	e := &engineProcess{id: fmt.Sprintf("i-%d", c.starts), cmd: cmd}
	c.engines = append(c.engines, e)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return fmt.Errorf("engine %s has not started", e.id)
	}
	c.fleet.store.Set(platformtest.KindTargets, e.id, platformtest.DeploymentTarget(
		service, lines.Text(), domains[c.starts%len(domains)], platformtest.StateReady, time.Now()))
	c.record.add("engine %s starts at %s", e.id, lines.Text())
	go func() {
		for lines.Scan() {
			c.record.add("engine %s %s", e.id, lines.Text())
		}
	}()
	return nil
}

// killOldest kills the engine that has run for longest and starts another one two seconds later.
func (c *cutRun) killOldest() {
	c.mu.Lock()
	e := c.engines[0]
	c.engines = c.engines[1:]
	c.mu.Unlock()
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	c.record.add("engine %s is killed", e.id)
	_ = e.cmd.Wait()
	time.AfterFunc(lapseTime, func() { c.fleet.store.Remove(platformtest.KindTargets, e.id) })
	time.AfterFunc(2*time.Second, func() {
		if err := c.startEngine(); err != nil {
			c.record.add("%v", err)
		}
	})
}

func (c *cutRun) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		_ = e.cmd.Wait()
	}
	c.engines = nil
}

func (c *cutRun) play(trouble bool) (int, error) {
	end := time.Now().Add(cutDuration)
	var group sync.WaitGroup
	for n := range cutCallers {
		group.Go(func() { c.sendUntil(end, n) })
	}
	for time.Now().Add(killPeriod).Before(end) {
		time.Sleep(killPeriod)
		if trouble {
			c.killOldest()
		}
	}
	group.Wait()
	return c.judge()
}

func (c *cutRun) sendUntil(end time.Time, caller int) {
	for n := 1; time.Now().Before(end); n++ {
		request := platformtest.CallerRequest{
			ID: fmt.Sprintf("call-%d-%d", caller, n), Method: http.MethodPost, Host: host, Path: chatPath, Key: key, Body: "prompt",
			Deadline: 6 * time.Second, Parts: fmt.Sprintf("%s:800,c%d:410,q%d:250", tenantPart, caller, n),
		}
		router := c.fleet.routers[(caller+n)%len(c.fleet.routers)]
		a := call(c.record, router.address, request)
		c.mu.Lock()
		c.answers[request.ID] = a
		c.mu.Unlock()
	}
}

// judge applies the rule: no stream ends as complete before its last event.
func (c *cutRun) judge() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	whole, brokenOff, short := 0, 0, 0
	for id, a := range c.answers {
		events := bytes.Count(a.body, []byte("\n\n"))
		switch {
		case !a.whole || a.status != http.StatusOK:
			brokenOff++
		case events == eventCount && strings.Contains(string(a.body), "id: "+strconv.Itoa(eventCount)+"\n"):
			whole++
		default:
			short++
			c.record.add("%s ends as complete after %d of %d events", id, events, eventCount)
		}
	}
	c.fleet.recordLogs("target crashed while it answered", 2)
	c.record.add("%d answers whole, %d failed or visibly broken off, %d complete for the caller without their last events",
		whole, brokenOff, short)
	if whole == 0 {
		return exitUnable, fmt.Errorf("no whole answer among %d", len(c.answers))
	}
	if short > 0 {
		c.record.add("ORDER is broken")
		return exitBroken, nil
	}
	c.record.add("ORDER holds")
	return exitHeld, nil
}
