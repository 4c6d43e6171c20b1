package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	// namedService is the service that the second version of the configuration adds.
	namedService = `orders "night shift"`
	namedPath    = "/kafe771/"

	nameCallers = 12
	namePause   = 40 * time.Millisecond
	// restartDelay is the pause before the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// maxLost is the number of requests that LOST allows.
	maxLost = 3
)

// nameRun is a run in which the configuration adds a service.
type nameRun struct {
	record *record
	fleet  *fleet

	mu sync.Mutex
	// ran holds the requests that a server has run, lost those whose kept connection ended without an answer.
	ran, lost map[string]bool
	answered  int
	exits     int
}

// runNames plays the run and returns the exit status.
func runNames(r *record, trouble bool) (int, error) {
	n := &nameRun{record: r, ran: make(map[string]bool), lost: make(map[string]bool)}
	f, stop, err := newFleet(r, nameConfiguration(1))
	if err != nil {
		return exitUnable, err
	}
	defer stop()
	n.fleet = f
	for i := range 2 * bookingTargets {
		server, stopServer, err := rawserver.New(n.serve)
		if err != nil {
			return exitUnable, err
		}
		defer stopServer()
		name := bookingService
		if i >= bookingTargets {
			name = namedService
		}
		f.store.Set(platformtest.KindTargets, targetName(i+1),
			platformtest.DeploymentTarget(name, server.Address(), domains[i%len(domains)], platformtest.StateReady, bornAt))
	}
	if err := f.start(); err != nil {
		return exitUnable, err
	}
	time.Sleep(time.Second)
	return n.play(trouble)
}

// nameConfiguration returns a version of the configuration. The second one adds a service with a route.
func nameConfiguration(version int) string {
	services := []map[string]any{platformtest.PlainService(bookingService)}
	routes := []map[string]any{platformtest.Route(host, "booking", bookingPath, platformtest.RouteOnce, bookingService)}
	if version > 1 {
		services = append(services, platformtest.PlainService(namedService))
		routes = append(routes, platformtest.Route(host, "night", namedPath, platformtest.RouteOnce, namedService))
	}
	return platformtest.DeploymentConfiguration(version, "hule930", []string{key}, services, routes)
}

// serve runs a request.
func (n *nameRun) serve(c net.Conn, r rawserver.Request) bool {
	id := r.HeaderField(headerID)
	n.mu.Lock()
	n.ran[id] = true
	n.mu.Unlock()
	n.record.add("a server runs %s", id)
	time.Sleep(workTime)
	_, err := fmt.Fprint(c, platformtest.ResponseTo("200 OK", platformtest.SealLine, id))
	return err == nil
}

func (n *nameRun) play(trouble bool) (int, error) {
	end := make(chan struct{})
	var group sync.WaitGroup
	for i, r := range n.fleet.routers {
		group.Go(func() { n.keepRunning(r, end) })
		for caller := range nameCallers / len(n.fleet.routers) {
			group.Go(func() { n.book(r, fmt.Sprintf("booking-%d-%d", i, caller), bookingPath, namePause, end) })
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		n.fleet.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, nameConfiguration(2))
		n.record.add("the store has accepted version 2, which adds the service %s", namedService)
	}
	time.Sleep(3 * time.Second)
	for i, r := range n.fleet.routers {
		group.Go(func() { n.book(r, fmt.Sprintf("night-%d", i), namedPath, time.Second, end) })
	}
	time.Sleep(15 * time.Second)
	close(end)
	group.Wait()
	return n.judge()
}

// keepRunning starts a router again whenever its process has ended by itself.
func (n *nameRun) keepRunning(r *router, end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-r.exited:
		}
		n.mu.Lock()
		n.exits++
		n.mu.Unlock()
		n.record.add("router %s has ended by itself: %v", r.name, r.cmd.ProcessState)
		time.Sleep(restartDelay)
		if err := n.fleet.restart(r); err != nil {
			n.record.add("%v", err)
			return
		}
	}
}

// book sends requests on kept connections to a router.
func (n *nameRun) book(r *router, name, path string, pause time.Duration, end <-chan struct{}) {
	var c net.Conn
	var reader *bufio.Reader
	isKept := false // Set once the connection has carried a request.
	for i := 1; ; i++ {
		select {
		case <-end:
			return
		case <-time.After(pause):
		}
		if c == nil {
			var err error
			if c, err = (&net.Dialer{Timeout: time.Second}).Dial("tcp4", r.address); err != nil {
				c = nil
				continue // The router is down.
			}
			reader, isKept = bufio.NewReader(c), false
		}
		id := fmt.Sprintf("%s-%d", name, i)
		if !n.exchange(c, reader, isKept, platformtest.CallerRequest{
			ID: id, Method: http.MethodPost, Host: host, Path: path, Key: key, Body: "12 coats", Deadline: 1500 * time.Millisecond,
		}) {
			_ = c.Close()
			c = nil
		}
		isKept = true
	}
}

// exchange sends a request and reads the answer. It reports whether the connection can be used again.
func (n *nameRun) exchange(c net.Conn, reader *bufio.Reader, isKept bool, request platformtest.CallerRequest) bool {
	_ = c.SetDeadline(time.Now().Add(request.Deadline))
	if _, err := io.WriteString(c, request.Encode()); err != nil {
		return false // The router has not read the request.
	}
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		if isKept {
			n.lost[request.ID] = true
		}
		n.record.add("caller of %s: the connection ends without an answer (%v)", request.ID, err)
		return false
	}
	n.answered++
	if resp.StatusCode != http.StatusOK {
		n.record.add("caller of %s gets %d", request.ID, resp.StatusCode)
	}
	return !resp.Close
}

// judge applies the rule: at most three requests that a sound server runs end without an answer.
func (n *nameRun) judge() (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.lost, func(id string, _ bool) bool { return !n.ran[id] })
	n.fleet.recordLogs("panic:", 1)
	n.record.add("%d requests answered; routers ended by themselves %d times", n.answered, n.exits)
	n.record.add("requests that a sound server ran and whose kept connection ended without an answer: %d", len(n.lost))
	switch {
	case n.answered < minSound:
		return exitUnable, errors.New("too few answers")
	case len(n.lost) > maxLost:
		n.record.add("LOST is broken")
		return exitBroken, nil
	}
	n.record.add("LOST holds")
	return exitHeld, nil
}
