package main

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	headerID   = "x-hickoryrock-attempt-id"
	eventGap   = 20 * time.Millisecond
	eventCount = 17
	// lapseTime is how long the entry of a crashed engine stays in the store: three heartbeats.
	lapseTime = 3600 * time.Millisecond
)

type (
	// engine is a model server. A crash ends it at once; it starts again as a new incarnation.
	engine struct {
		record  *record
		store   *platformtest.Store
		service string
		domain  string
		number  int
		// prefill is the time before the first event, downTime that after a crash.
		prefill  time.Duration
		downTime time.Duration
		// sendsHeadFirst is set if the head of an answer is sent before the prefill.
		sendsHeadFirst bool
		// poison is the prompt part that crashes the engine, or empty.
		poison string
		// onRun is called when the engine begins to work on a request.
		onRun func(id string)
		// onCrash is called when the engine crashes.
		onCrash func()

		mu    sync.Mutex
		id    string
		start int
		conns map[net.Conn]bool
		stop  func()
	}
)

// run starts an incarnation and registers it.
func (e *engine) run() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	server, stop, err := rawserver.New(e.serve)
	if err != nil {
		return err
	}
	e.start++
	e.id = fmt.Sprintf("i-%d-%d", e.number, e.start)
	e.stop, e.conns = stop, make(map[net.Conn]bool)
	e.store.Set(platformtest.KindTargets, e.id,
		platformtest.DeploymentTarget(e.service, server.Address(), e.domain, platformtest.StateReady, time.Now()))
	return nil
}

// crash ends the engine without notice, and starts it again after downTime.
func (e *engine) crash() {
	e.mu.Lock()
	if e.stop == nil {
		e.mu.Unlock()
		return
	}
	e.stop()
	for c := range e.conns {
		rawserver.Reset(c)
	}
	id := e.id
	e.stop, e.conns = nil, nil
	e.mu.Unlock()
	e.record.add("engine %s crashes", id)
	e.onCrash()
	time.AfterFunc(lapseTime, func() { e.store.Remove(platformtest.KindTargets, id) })
	time.AfterFunc(e.downTime, func() {
		if err := e.run(); err != nil {
			e.record.add("engine %d does not start: %v", e.number, err)
		}
	})
}

// close ends the engine for good.
func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop != nil {
		e.stop()
	}
	e.stop = nil
}

// add records an open connection and reports whether the incarnation is up.
func (e *engine) add(c net.Conn) (id string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop == nil {
		return "", false
	}
	e.conns[c] = true
	return e.id, true
}

func (e *engine) serve(c net.Conn, r rawserver.Request) bool {
	id, ok := e.add(c)
	if !ok {
		rawserver.Reset(c)
		return false
	}
	call := r.HeaderField(headerID)
	if expected := r.HeaderField("x-hickoryrock-expect-instance"); expected != "" && expected != id {
		_, err := fmt.Fprint(c, platformtest.ResponseTo("421 Misdirected Request", platformtest.NotExecutedLine, call))
		return err == nil
	}
	e.record.add("engine %s runs %s", id, call)
	e.onRun(call)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + platformtest.SealLine +
		"X-Hickoryrock-Attempt-Id: " + call + "\r\n\r\n"
	if e.sendsHeadFirst {
		if _, err := fmt.Fprint(c, head); err != nil {
			return false
		}
		head = ""
	}
	time.Sleep(e.prefill)
	if e.poison != "" && platformtest.HasPart(r, e.poison) {
		e.crash()
		return false
	}
	for i := range eventCount {
		event := "id: " + strconv.Itoa(i+1) + "\ndata: token\n\n"
		if _, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n", head, len(event), event); err != nil {
			return false
		}
		head = ""
		time.Sleep(eventGap)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}
