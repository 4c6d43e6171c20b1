package http1client

import (
	"context"
	"errors"
	"net"
	"syscall"

	"hickoryrock/internal/wire/tcp"
)

const (
	// ProbeFailed means that an endpoint did not respond in time.
	ProbeFailed ProbeResult = iota
	// ProbeAccepted means that an endpoint accepts connections.
	ProbeAccepted
	// ProbeRefused means that an endpoint refuses connections, as it does when no process
	// listens there.
	ProbeRefused
)

// ProbeResult is the result of a new connection on which nothing is sent.
type ProbeResult uint8

// Probe opens a new connection to an endpoint and closes it.
func (p *Pool) Probe(ctx context.Context, e Endpoint) ProbeResult {
	c, failure := p.dial(ctx, e)
	switch {
	case failure == nil:
		_ = c.Close() // Nothing was sent.
		return ProbeAccepted
	case failure.Reason == ReasonRefused:
		return ProbeRefused
	}
	return ProbeFailed
}

// dial opens a new connection to an endpoint.
func (p *Pool) dial(ctx context.Context, e Endpoint) (*tcp.Conn, *Failure) {
	dialer := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", e.Address)
	if err == nil {
		return tcp.NewConn(c), nil
	}
	reason := ReasonNoConnection
	if errors.Is(err, syscall.ECONNREFUSED) {
		reason = ReasonRefused
	}
	return nil, &Failure{Status: NotSent, Stage: StageConnect, Reason: reason, Err: err}
}
