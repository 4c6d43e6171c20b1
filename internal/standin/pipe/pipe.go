// Package pipe is an in-memory network built on net.Pipe. It lets clients and stand-ins be
// tested together with an injected clock.
package pipe

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Listener is a net.Listener that accepts the connections made by its Dial method.
type Listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// NewListener returns a listener and a function that closes it.
func NewListener() (*Listener, func()) {
	l := &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
	return l, func() { _ = l.Close() }
}

// Dial opens a connection to the listener; it has the signature of http.Transport.DialContext.
// It returns net.ErrClosed after Close.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// Serve serves h in memory. It returns a client that reaches h at any URL, and a
// function that stops the client and the server.
func Serve(h http.Handler) (*http.Client, func()) {
	l, closeListener := NewListener()
	server := &http.Server{Handler: h} //nolint:gosec // It accepts in-memory connections only.
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(l) })
	t := &http.Transport{DialContext: l.Dial}
	return &http.Client{Transport: t}, func() {
		t.CloseIdleConnections()
		closeListener()
		_ = server.Close()
		serving.Wait()
	}
}
