// Package transport provides the HTTP client and server for calls between routers:
// HTTP/2 without TLS over long-lived connections whose bytes are counted.
package transport

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	dialTimeout       = 500 * time.Millisecond
	idleTimeout       = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
	// maxStreams is the number of concurrent calls per connection.
	maxStreams = 1024
)

// NewClient returns a client that keeps one connection to each peer, and a function
// that closes its idle connections. A connection on which nothing has been received
// for a while is pinged, and closed when there is no response to the ping, so that
// the next call opens a new one.
func NewClient(opts ...Option) (*http.Client, func()) {
	o := newOptions(opts...)
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		Protocols:       unencryptedHTTP2(),
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  o.sendPingTimeout,
			PingTimeout:      o.pingTimeout,
			WriteByteTimeout: o.pingTimeout,
		},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return o.counter.Conn(c), nil
		},
	}
	return &http.Client{Transport: t}, t.CloseIdleConnections
}

// Serve serves peers on a listener until the returned function is called. That
// function lets open calls finish until its context is done, then closes their
// connections.
func Serve(l net.Listener, h http.Handler, opts ...Option) func(context.Context) error {
	o := newOptions(opts...)
	s := &http.Server{
		Handler:           h,
		Protocols:         unencryptedHTTP2(),
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			WriteByteTimeout:     o.pingTimeout,
		},
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(o.counter.Listener(l)) }()
	return func(ctx context.Context) error {
		err := s.Shutdown(ctx)
		if err != nil {
			_ = s.Close()
		}
		if served := <-done; !eris.Is(served, http.ErrServerClosed) {
			return eris.Wrap(served, "serve peers")
		}
		return eris.Wrap(err, "shut down the server for peers")
	}
}

func unencryptedHTTP2() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}
