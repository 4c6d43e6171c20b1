// Package link is a loopback TCP proxy whose faults a soak turns on and off:
// connections that are delayed, reset, silent, or cut in one direction.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// Sound passes everything on.
	Sound Fault = iota
	// Slow passes everything on after a delay.
	Slow
	// Reset ends all connections with a reset, and new ones, too.
	Reset
	// Silent passes nothing on, in both directions, and closes nothing.
	Silent
	// NoAnswers passes on only what callers send.
	NoAnswers
	// NoCalls passes on only what servers send.
	NoCalls
	// Stale silences the connections that are open for good; new ones work.
	Stale
)

const (
	// slowBy delays each piece of a slow connection.
	slowBy = 40 * time.Millisecond
	// heldPoll is how often a held piece looks whether its link is sound again.
	heldPoll    = 10 * time.Millisecond
	dialTimeout = time.Second
	pieceBytes  = 16 << 10
)

type (
	// Fault is what a link does to its connections.
	Fault int

	// Link is one proxy in front of one address.
	Link struct {
		listener net.Listener

		mu     sync.Mutex
		to     string
		fault  Fault
		conns  map[*pair]struct{}
		closed bool
	}

	pair struct {
		from, to net.Conn
		stale    bool
	}
)

// New starts a link to an address and returns it with the function that ends it.
func New(to string) (*Link, func(), error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("listen for the link to %q: %w", to, err)
	}
	k := &Link{listener: l, to: to, conns: make(map[*pair]struct{})}
	go k.accept()
	return k, k.close, nil
}

// Address is where callers connect.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Set changes what the link does from now on.
func (k *Link) Set(f Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f == Stale {
		for p := range k.conns {
			p.stale = true
		}
		return
	}
	k.fault = f
	if f == Reset {
		for p := range k.conns {
			p.reset()
		}
	}
}

func (k *Link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for p := range k.conns {
		p.reset()
	}
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go k.serve(c)
		}
	}
}

func (k *Link) serve(from net.Conn) {
	p := &pair{from: from}
	if k.current(p) == Reset {
		p.reset()
		return
	}
	to, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp4", k.to)
	if err != nil {
		p.reset()
		return
	}
	p.to = to
	k.mu.Lock()
	k.conns[p] = struct{}{}
	k.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { k.pass(p, p.to, p.from, NoCalls) })
	group.Go(func() { k.pass(p, p.from, p.to, NoAnswers) })
	group.Wait()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
	_ = p.from.Close()
	_ = p.to.Close()
}

// pass copies one direction until it ends; cut is the fault that stops it.
func (k *Link) pass(p *pair, to, from net.Conn, cut Fault) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if !k.hold(p, cut) {
			p.reset()
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// hold delays a piece while the link's fault keeps it back, and reports
// whether it may go on then.
func (k *Link) hold(p *pair, cut Fault) bool {
	if k.current(p) == Slow {
		time.Sleep(slowBy)
	}
	for {
		switch k.current(p) {
		case Reset:
			return false
		case Silent, Stale, cut:
			time.Sleep(heldPoll)
		default:
			return true
		}
	}
}

func (k *Link) current(p *pair) Fault {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.closed:
		return Reset
	case p.stale:
		return Stale
	}
	return k.fault
}

func (p *pair) reset() {
	for _, c := range []net.Conn{p.from, p.to} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}
