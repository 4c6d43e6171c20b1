package replica

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
)

const (
	// compressMinBytes is the minimum size of compressed messages.
	compressMinBytes = 1024
	// sendPingTimeout is how long a connection may be idle before a ping is sent, so
	// that dead connections are detected and replaced.
	sendPingTimeout = 2 * time.Second
	// pingTimeout is how long to wait for the response to a ping.
	pingTimeout = time.Second
	// idleTimeout is how long unused connections to peers are kept open.
	idleTimeout = 30 * time.Second
)

var controlBytes = metrics.GetOrCreateCounter(`hickoryrock_control_bytes_total{purpose="configuration"}`)

type (
	// Transport makes calls to peers.
	Transport interface {
		Pull(ctx context.Context, to Peer, m *peerv1.PullRequest) (*peerv1.PullResponse, error)
		Push(ctx context.Context, to Peer, m *peerv1.PushRequest) (*peerv1.PushResponse, error)
		Acknowledge(ctx context.Context, to Peer, m *peerv1.AcknowledgeRequest) (*peerv1.AcknowledgeResponse, error)
	}

	// ConnectTransport calls peers with Connect over unencrypted HTTP/2.
	ConnectTransport struct {
		client *http.Client

		mu      sync.Mutex
		clients map[string]peerv1connect.ConfigurationServiceClient
	}

	// server handles calls from peers.
	server struct {
		replica *Replica
	}

	// countingConn counts the bytes read from and written to a connection.
	countingConn struct {
		net.Conn
	}

	// countingBody counts the bytes read from a request body.
	countingBody struct {
		io.ReadCloser
	}

	// countingWriter counts the bytes written to a response.
	countingWriter struct {
		http.ResponseWriter
	}
)

// NewConnectTransport returns a transport and a function that closes its idle
// connections.
func NewConnectTransport() (*ConnectTransport, func()) {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: callTimeout}
	t := &http.Transport{
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
		IdleConnTimeout: idleTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{c}, nil
		},
	}
	ct := &ConnectTransport{client: &http.Client{Transport: t}, clients: map[string]peerv1connect.ConfigurationServiceClient{}}
	return ct, t.CloseIdleConnections
}

// clientFor returns the client for a peer's address.
func (t *ConnectTransport) clientFor(p Peer) peerv1connect.ConfigurationServiceClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.clients[p.Address]
	if c == nil {
		c = peerv1connect.NewConfigurationServiceClient(t.client, "http://"+p.Address,
			connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes))
		t.clients[p.Address] = c
	}
	return c
}

// Pull implements Transport.
func (t *ConnectTransport) Pull(ctx context.Context, to Peer, m *peerv1.PullRequest) (*peerv1.PullResponse, error) {
	resp, err := t.clientFor(to).Pull(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, eris.Wrap(err, "pull configuration")
	}
	return resp.Msg, nil
}

// Push implements Transport.
func (t *ConnectTransport) Push(ctx context.Context, to Peer, m *peerv1.PushRequest) (*peerv1.PushResponse, error) {
	resp, err := t.clientFor(to).Push(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, eris.Wrap(err, "push configuration")
	}
	return resp.Msg, nil
}

// Acknowledge implements Transport.
func (t *ConnectTransport) Acknowledge(ctx context.Context, to Peer, m *peerv1.AcknowledgeRequest) (*peerv1.AcknowledgeResponse, error) {
	resp, err := t.clientFor(to).Acknowledge(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, eris.Wrap(err, "send acknowledgements")
	}
	return resp.Msg, nil
}

// Pull implements peerv1connect.ConfigurationServiceHandler.
func (s *server) Pull(_ context.Context, req *connect.Request[peerv1.PullRequest]) (*connect.Response[peerv1.PullResponse], error) {
	r := s.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	return connect.NewResponse(r.state.HandlePull(req.Msg)), nil
}

// Push implements peerv1connect.ConfigurationServiceHandler.
func (s *server) Push(_ context.Context, req *connect.Request[peerv1.PushRequest]) (*connect.Response[peerv1.PushResponse], error) {
	r := s.replica
	var resp *peerv1.PushResponse
	r.send(r.withLock(func(now time.Time) []Request {
		m, changes, reqs := r.state.HandlePush(now, req.Msg)
		r.applyChanges(changes)
		resp = m
		return reqs
	}))
	r.wakeExchange()
	return connect.NewResponse(resp), nil
}

// Acknowledge implements peerv1connect.ConfigurationServiceHandler.
func (s *server) Acknowledge(_ context.Context, req *connect.Request[peerv1.AcknowledgeRequest]) (*connect.Response[peerv1.AcknowledgeResponse], error) {
	r := s.replica
	var resp *peerv1.AcknowledgeResponse
	r.send(r.withLock(func(now time.Time) []Request {
		m, reqs := r.state.HandleAcknowledge(now, req.Msg)
		resp = m
		return reqs
	}))
	r.wakeExchange()
	return connect.NewResponse(resp), nil
}

// countBytes wraps a handler to count the body bytes it receives and sends.
func countBytes(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		req.Body = countingBody{req.Body}
		h.ServeHTTP(countingWriter{w}, req)
	})
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	controlBytes.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	controlBytes.Add(n)
	return n, err
}

// Read implements io.Reader.
func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	controlBytes.Add(n)
	return n, err
}

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	controlBytes.Add(n)
	return n, err
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
