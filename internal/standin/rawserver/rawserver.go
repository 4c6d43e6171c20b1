// Package rawserver is an HTTP/1 target for tests whose handlers write raw bytes to the
// connection, so that malformed and partial responses can be sent.
package rawserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"

	"hickoryrock/internal/wire/http1"
)

const maxHeadBytes = 64 << 10

type (
	// Request is a received request.
	Request struct {
		*http1.Request
		// Body is the complete body, or nil if the server leaves bodies to its Handler, which reads
		// them from Unread.
		Body   []byte
		Unread io.Reader
		// Sequence is the position of the request among all requests of the server, from 1.
		Sequence int
		// ConnSequence is the position of the request on its connection, from 1.
		ConnSequence int
	}

	// Handler writes the response to a request and reports whether the connection stays open.
	Handler func(c net.Conn, r Request) bool

	// Server listens on a loopback port and passes each request to its Handler.
	Server struct {
		listener net.Listener
		handler  Handler
		// leavesBodies is set if bodies are not read before the Handler is called.
		leavesBodies bool

		mu       sync.Mutex
		requests []Request
		conns    int
	}
)

// Option changes a server's settings.
type Option func(*Server)

// WithUnreadBodies calls the Handler as soon as the head of a request has arrived. The Handler must not
// keep the connection open unless it has read all of the body.
func WithUnreadBodies() Option {
	return func(s *Server) { s.leavesBodies = true }
}

// New starts a server on a free loopback port. It returns the server and a function that closes
// its listener.
func New(handler Handler, opts ...Option) (*Server, func(), error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("starting the raw server: %w", err)
	}
	s := &Server{listener: l, handler: handler}
	for _, opt := range opts {
		opt(s)
	}
	go s.acceptLoop()
	return s, func() { _ = l.Close() }, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns a copy of the list of requests received so far.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.requests...)
}

// Connections returns the number of connections accepted so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// HeaderField returns the first value of a header field, or an empty string. The name is given
// in lower case.
func (r Request) HeaderField(lowerName string) string {
	for _, f := range r.Fields {
		if f.LowerName == lowerName {
			return f.Value
		}
	}
	return ""
}

// Reset closes a TCP connection with a reset (RST) instead of a FIN.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *Server) acceptLoop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *Server) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		head, err := http1.ReadRequest(reader, maxHeadBytes)
		if err != nil {
			return
		}
		r := Request{Request: head, ConnSequence: n}
		body := http1.Body(reader, head.Length)
		if s.leavesBodies {
			r.Unread = body
		} else if r.Body, err = io.ReadAll(body); err != nil {
			return
		}
		s.mu.Lock()
		r.Sequence = len(s.requests) + 1
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		if !s.handler(c, r) {
			return
		}
	}
}
