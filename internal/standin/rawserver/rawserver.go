// Package rawserver is a target for tests that answers each request with the
// very bytes that a test wants.
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

const headLimit = 64 << 10

type (
	// Request is one request as it arrived.
	Request struct {
		*http1.Request
		Body []byte
		// Number counts the server's requests from 1.
		Number int
		// OnConnection counts the requests of the connection from 1.
		OnConnection int
	}

	// Script answers a request and reports whether the connection stays open.
	Script func(c net.Conn, r Request) bool

	// Server is one target.
	Server struct {
		listener net.Listener
		script   Script

		mu       sync.Mutex
		requests []Request
		conns    int
	}
)

// New starts a server and returns it with the function that stops it.
func New(script Script) (*Server, func(), error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: l, script: script}
	go s.accept()
	return s, func() { _ = l.Close() }, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the requests so far.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.requests...)
}

// Connections returns the number of connections so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// Field returns the first value of a request's field, named in lower case.
func (r Request) Field(lower string) string {
	for _, f := range r.Fields {
		if f.Lower == lower {
			return f.Value
		}
	}
	return ""
}

// Reset ends a connection with a reset.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		head, err := http1.ReadRequest(reader, headLimit)
		if err != nil {
			return
		}
		body, err := io.ReadAll(http1.Body(reader, head.Length))
		if err != nil {
			return
		}
		r := Request{Request: head, Body: body, OnConnection: n}
		s.mu.Lock()
		r.Number = len(s.requests) + 1
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		if !s.script(c, r) {
			return
		}
	}
}
