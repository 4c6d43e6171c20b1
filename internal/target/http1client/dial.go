package http1client

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Refuses reports whether a new connection to an endpoint is refused, as it is when no
// process listens there. An endpoint that does not respond does not count.
func (p *Pool) Refuses(ctx context.Context, e Endpoint) bool {
	c, failure := p.dial(ctx, e)
	if failure != nil {
		return failure.Reason == ReasonRefused
	}
	_ = c.Close() // Nothing was sent.
	return false
}

// dial opens a new connection to an endpoint.
func (p *Pool) dial(ctx context.Context, e Endpoint) (net.Conn, *Failure) {
	dialer := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", e.Address)
	if err == nil {
		return c, nil
	}
	reason := ReasonNoConnection
	if errors.Is(err, syscall.ECONNREFUSED) {
		reason = ReasonRefused
	}
	return nil, &Failure{Status: NotSent, Reason: reason, Err: err}
}
