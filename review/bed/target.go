package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

// maxHeadBytes bounds the head of a request.
const maxHeadBytes = 64 << 10

type (
	// target is a server that keeps its address and its ID when it starts again.
	target struct {
		bed           *bed
		id, service   string
		zone, address string
		handler       func(t *target, c net.Conn, r rawserver.Request) bool

		// active is the number of requests that are running.
		active atomic.Int64
		// leaving is set when the target leaves, which it says in all its answers.
		leaving atomic.Bool

		mu       sync.Mutex
		listener net.Listener
		conns    map[net.Conn]bool
	}
)

// addTarget starts a target and registers it in the store.
func (b *bed) addTarget(n int, service string, handler func(t *target, c net.Conn, r rawserver.Request) bool) (*target, error) {
	t := &target{
		bed: b, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zones[n%len(zones)],
		address: fmt.Sprintf("%s:%d", b.ip(100+n%100), 8080+n/100), handler: handler,
	}
	if err := t.listen(); err != nil {
		return nil, err
	}
	b.cleanups = append(b.cleanups, t.crash)
	return t, nil
}

// listen starts an incarnation of the target.
func (t *target) listen() error {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", t.address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.listener, t.conns = l, make(map[net.Conn]bool)
	t.mu.Unlock()
	t.register(platformtest.StateReady)
	go t.accept(l)
	return nil
}

// register writes the target's entry.
func (t *target) register(state string) {
	t.bed.store.Set(platformtest.KindTargets, t.id, platformtest.DeploymentTarget(
		t.service, t.address, t.zone, state, time.Now()))
}

func (t *target) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		isLive := t.listener == l
		if isLive {
			t.conns[c] = true
		}
		t.mu.Unlock()
		if !isLive {
			_ = c.Close()
			return
		}
		go t.serve(c)
	}
}

func (t *target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		head, err := http1.ReadRequest(reader, maxHeadBytes)
		if err != nil {
			return
		}
		body, err := io.ReadAll(http1.Body(reader, head.Length))
		if err != nil {
			return
		}
		r := rawserver.Request{Request: head, Body: body}
		if expected := platformtest.DecodeForwarded(r).ExpectedTarget; expected != "" && expected != t.id {
			if _, err := io.WriteString(c, platformtest.Misdirected(r)); err != nil {
				return
			}
			continue
		}
		t.active.Add(1)
		isOpen := t.handler(t, c, r)
		t.active.Add(-1)
		if !isOpen {
			return
		}
	}
}

// crash ends the target's process: it refuses connections, and the open ones are closed.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		return
	}
	_ = t.listener.Close()
	t.listener = nil
	for c := range t.conns {
		_ = c.Close()
	}
}

// running returns the number of requests that run, or zero if the target is down.
func (t *target) running() int {
	if !t.isUp() {
		return 0
	}
	return int(t.active.Load())
}

// isUp reports whether the target accepts connections.
func (t *target) isUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listener != nil
}

// streamEvents answers with a stream of events, one each gap, and reports whether the
// connection stays open.
func (t *target) streamEvents(c net.Conn, r rawserver.Request, events int, gap time.Duration) bool {
	head, isLeaving := platformtest.StreamHead(r), t.leaving.Load()
	if isLeaving {
		head = platformtest.StreamHeadWith(r, platformtest.LeavingLine+"Connection: close\r\n")
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := 1; n <= events; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, platformtest.DecodeForwarded(r).Call)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(gap)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil && !isLeaving
}
