// Package faultproxy implements a loopback TCP proxy that injects network faults:
// connections that are delayed, reset, or stalled in one or both directions.
package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/tcp"
)

const (
	// Healthy forwards everything.
	Healthy Fault = iota
	// Slow forwards everything after a delay.
	Slow
	// Reset resets all connections, including new ones.
	Reset
	// StallBoth forwards nothing in either direction and keeps connections open.
	StallBoth
	// StallResponses forwards only what clients send.
	StallResponses
	// StallRequests forwards only what servers send.
	StallRequests
	// StallExisting stalls the connections that are open now, permanently; new
	// ones work.
	StallExisting
)

const (
	// slowDelay is the delay of each chunk on a slow connection.
	slowDelay = 40 * time.Millisecond
	// stallPollInterval is how often a stalled chunk checks whether it may be forwarded.
	stallPollInterval = 10 * time.Millisecond
	dialTimeout       = time.Second
	bufferBytes       = 16 << 10
	// segmentBytes is the TCP segment size of Ethernet. With that of loopback, 64 KB, the kernel buffers
	// megabytes for a peer that reads nothing.
	segmentBytes = 1460
)

type (
	// Fault is the fault that a proxy injects into its connections.
	Fault int

	// Proxy forwards connections to one backend address.
	Proxy struct {
		listener net.Listener

		mu      sync.Mutex
		backend string
		fault   Fault
		conns   map[*connPair]struct{}
		closed  bool
	}

	// connPair forwards data between connections that notice resets, so that a reset on one side
	// does not become a FIN on the other.
	connPair struct {
		client, server *tcp.Conn
		stalled        bool
	}
)

// New starts a proxy to a backend address. The returned function stops it and
// resets its connections.
func New(backend string) (*Proxy, func(), error) {
	l, err := (&net.ListenConfig{Control: limitSegments}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("listen for the proxy to %q: %w", backend, err)
	}
	p := &Proxy{listener: l, backend: backend, conns: make(map[*connPair]struct{})}
	go p.accept()
	return p, p.close, nil
}

// limitSegments sets the segment size of a socket before it is used.
func limitSegments(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault of the proxy. StallExisting affects only the connections
// that are open and leaves the fault for new ones as it is.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f == StallExisting {
		for pair := range p.conns {
			pair.stalled = true
		}
		return
	}
	p.fault = f
	if f == Reset {
		for pair := range p.conns {
			pair.reset()
		}
	}
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for pair := range p.conns {
		pair.reset()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(c)
		}
	}
}

func (p *Proxy) serve(client net.Conn) {
	pair := &connPair{client: tcp.NewConn(client)}
	if p.currentFault(pair) == Reset {
		pair.reset()
		return
	}
	server, err := (&net.Dialer{Timeout: dialTimeout, Control: limitSegments}).DialContext(context.Background(), "tcp4", p.backend)
	if err != nil {
		pair.reset()
		return
	}
	pair.server = tcp.NewConn(server)
	p.mu.Lock()
	p.conns[pair] = struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.forward(pair, pair.server, pair.client, StallRequests) })
	group.Go(func() { p.forward(pair, pair.client, pair.server, StallResponses) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, pair)
	p.mu.Unlock()
	_ = pair.client.Close()
	_ = pair.server.Close()
}

// forward copies one direction until it ends; stall is the fault that stalls
// this direction only.
func (p *Proxy) forward(pair *connPair, dst, src *tcp.Conn, stall Fault) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		if !p.waitWhileStalled(pair, stall) {
			pair.reset()
			return
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				pair.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if c, ok := dst.Conn.(*net.TCPConn); ok {
				_ = c.CloseWrite() // Fails only if the connection has ended.
			}
			return
		}
		if err != nil {
			pair.reset()
			return
		}
	}
}

// waitWhileStalled delays a chunk on a slow connection, and blocks it while the
// current fault stalls its direction. It returns false if the connection is to be
// reset instead.
func (p *Proxy) waitWhileStalled(pair *connPair, stall Fault) bool {
	if p.currentFault(pair) == Slow {
		time.Sleep(slowDelay)
	}
	for {
		switch p.currentFault(pair) {
		case Reset:
			return false
		case StallBoth, StallExisting, stall:
			time.Sleep(stallPollInterval)
		default:
			return true
		}
	}
}

func (p *Proxy) currentFault(pair *connPair) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return Reset
	case pair.stalled:
		return StallExisting
	}
	return p.fault
}

func (pair *connPair) reset() {
	for _, c := range []*tcp.Conn{pair.client, pair.server} {
		if c != nil {
			rawserver.Reset(c.Conn)
		}
	}
}
