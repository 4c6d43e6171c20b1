// Package transport pools connections to targets and reports whether a failed attempt may have
// been sent.
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/wire/httptransport"
)

const suspectShards = 16

type (
	// Pool opens connections to targets and reuses those that are not suspected to be dead.
	Pool struct {
		opts      Options
		keepAlive httptransport.Transport
		singleUse httptransport.Transport
		suspects  [suspectShards]suspectShard
	}

	// Attempt is one request on one connection.
	Attempt struct {
		connected atomic.Bool
		reused    atomic.Bool
	}

	suspectShard struct {
		mu    sync.Mutex
		until map[string]time.Time
	}
)

// ErrSilent is the cancellation cause of an attempt that received no data in time.
var ErrSilent = errors.New("target stopped responding")

// New returns a pool and the function that closes its connections.
func New(opts ...Option) (*Pool, func()) {
	o := newOptions(opts...)
	p := &Pool{opts: o, keepAlive: newTransport(o), singleUse: newTransport(o)}
	p.singleUse.DisableKeepAlives = true
	for i := range p.suspects {
		p.suspects[i].until = map[string]time.Time{}
	}
	return p, func() {
		p.keepAlive.CloseIdleConnections()
		p.singleUse.CloseIdleConnections()
	}
}

func newTransport(o Options) httptransport.Transport {
	// HTTP/1 only: HTTP/2 replays requests that a server reports as unprocessed.
	t := httptransport.New(o.DialTimeout)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout, t.DisableCompression = o.IdlePerTarget, o.IdleTimeout, true
	return t
}

// Do sends a request on a pooled connection, or on a new one if a connection to the target went
// silent recently. It does not follow redirects.
func (p *Pool) Do(req *http.Request) (*http.Response, *Attempt, error) {
	if p.isSuspect(req.URL.Host) {
		return p.DoNewConn(req)
	}
	return do(p.keepAlive, req)
}

// DoNewConn sends a request on a connection of its own. net/http replays a request only on a reused
// connection, so this one is never replayed.
func (p *Pool) DoNewConn(req *http.Request) (*http.Response, *Attempt, error) {
	return do(p.singleUse, req)
}

func do(t httptransport.Transport, req *http.Request) (*http.Response, *Attempt, error) {
	a := new(Attempt)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.connected.Store(true)
		a.reused.Store(info.Reused)
	}}
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	return resp, a, err
}

// MarkSuspect keeps new requests off the connections to a target that are idle now.
func (p *Pool) MarkSuspect(address string) {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for a, until := range s.until {
		if now.After(until) {
			delete(s.until, a)
		}
	}
	// After this time the transport has closed the connections that are idle now.
	s.until[address] = now.Add(p.opts.IdleTimeout)
}

func (p *Pool) isSuspect(address string) bool {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[address]
	return ok && time.Now().Before(until)
}

func (p *Pool) shard(address string) *suspectShard {
	return &p.suspects[xxhash.Sum64String(address)%suspectShards]
}

// Failure classifies a failed attempt: not run if no connection was established, otherwise unknown.
func (a *Attempt) Failure(ctx context.Context, err error) *outcome.Failure {
	reason := Reason(ctx, err)
	if a.connected.Load() {
		return outcome.NewUnknown(reason, "the call may have run: %v", err)
	}
	if reason == outcome.ReasonConnectionLost {
		reason = outcome.ReasonTargetUnreachable
	}
	return outcome.NewNotRun(reason, "no connection established: %v", err)
}

// Reused reports whether the attempt used a pooled connection.
func (a *Attempt) Reused() bool {
	return a.reused.Load()
}

// Reason classifies the error of an attempt whose context is ctx.
func Reason(ctx context.Context, err error) outcome.Reason {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrSilent), errors.Is(cause, context.DeadlineExceeded):
		return outcome.ReasonTargetSilent
	case cause != nil:
		return outcome.ReasonCancelled
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return outcome.ReasonTargetSilent
	}
	return outcome.ReasonConnectionLost
}
