package testbed3

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

const (
	maxHeadBytes = 64 << 10
	// Seal is a value of X-Hickoryrock-Response-Seal.
	Seal = "seal-of-the-server"
)

type (
	// Server is a stand-in of one server. Each start is a new incarnation with a new ID.
	Server struct {
		bed             *Bed
		name, service   string
		domain, address string
		handle          Handler

		mu       sync.Mutex
		starts   int
		id       string
		listener net.Listener
		conns    map[net.Conn]struct{}
	}

	// Call is a request that has arrived at a server.
	Call struct {
		*http1.Request
		Server *Server
		// Instance is the ID of the incarnation that has received the call.
		Instance string
		// ID is the value of X-Hickoryrock-Attempt-Id.
		ID   string
		Body []byte
		Conn net.Conn
	}

	// Handler answers a call and reports whether its connection stays open.
	Handler func(Call) bool
)

// AddServer starts a server and registers it in the store.
func (b *Bed) AddServer(name, service, domain string, handle Handler) (*Server, error) {
	s := &Server{bed: b, name: name, service: service, domain: domain, address: "127.0.0.1:0", handle: handle}
	if err := s.Start(); err != nil {
		return nil, err
	}
	b.cleanups = append(b.cleanups, s.Stop)
	return s, nil
}

// Start begins a new incarnation at the server's address.
func (s *Server) Start() error {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.address, s.listener, s.conns = l.Addr().String(), l, make(map[net.Conn]struct{})
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.starts)
	s.mu.Unlock()
	go s.accept(l)
	s.Register(platformtest.StateReady)
	s.bed.Recordf("start server=%s address=%s", s.ID(), s.address)
	return nil
}

// ID returns the ID of the present incarnation.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Register writes the server's entry with a state.
func (s *Server) Register(state string) {
	s.bed.Store.Set("servers", s.ID(), platformtest.DeploymentTarget(s.service, s.address, s.domain, state, time.Now()))
}

// Stop ends the incarnation: its address refuses connections, and its connections are reset.
func (s *Server) Stop() { s.end(s.ID()) }

// end is Stop for one incarnation. It reports whether that was running.
func (s *Server) end(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id || s.conns == nil {
		return false
	}
	_ = s.listener.Close()
	for c := range s.conns {
		reset(c)
	}
	s.conns = nil
	return true
}

// Crash ends the incarnation that has received the call, and begins the next one after a time. The
// entry of the incarnation that has crashed is removed after three heartbeats. It reports whether the
// incarnation was running.
func (c Call) Crash(down, heartbeat time.Duration) bool {
	s := c.Server
	if !s.end(c.Instance) {
		return false
	}
	s.bed.Recordf("crash server=%s by=%s", c.Instance, c.ID)
	time.AfterFunc(3*heartbeat, func() { s.bed.Store.Remove("servers", c.Instance) })
	time.AfterFunc(down, func() {
		if err := s.Start(); err != nil {
			s.bed.Recordf("restart of server %s failed: %v", s.name, err)
		}
	})
	return true
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		isOpen := s.conns != nil && s.listener == l
		if isOpen {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if !isOpen {
			reset(c)
			continue
		}
		go s.serve(c, s.ID())
	}
}

func (s *Server) serve(c net.Conn, instance string) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		head, err := http1.ReadRequest(reader, maxHeadBytes)
		if err != nil {
			return
		}
		body, err := io.ReadAll(http1.Body(reader, head.Length))
		if err != nil {
			return
		}
		call := Call{Request: head, Server: s, Instance: instance, ID: field(head, "x-hickoryrock-attempt-id"), Body: body, Conn: c}
		if wanted := field(head, "x-hickoryrock-expect-instance"); wanted != "" && wanted != instance {
			call.Respond(http.StatusMisdirectedRequest, "X-Hickoryrock-Instance-Id: "+instance+"\r\n", "")
			continue
		}
		if !s.handle(call) {
			return
		}
	}
}

// Respond sends an answer with a length. Each line of fields ends with CR LF.
func (c Call) Respond(status int, fields, body string) {
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nX-Hickoryrock-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), c.ID, fields, len(body), body)
}

// RespondOK sends a whole, sealed answer.
func (c Call) RespondOK(fields, body string) {
	c.Respond(http.StatusOK, "X-Hickoryrock-Response-Seal: "+Seal+"\r\n"+fields, body)
}

// WaitOpen waits for a time, and returns false at once if the connection closes meanwhile.
func (c Call) WaitOpen(d time.Duration) bool {
	_ = c.Conn.SetReadDeadline(time.Now().Add(d))
	var one [1]byte
	_, err := c.Conn.Read(one[:]) // The next request comes only after the answer to this one.
	_ = c.Conn.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// BeginStream sends the head of a stream and reports whether it could.
func (c Call) BeginStream() bool {
	_, err := io.WriteString(c.Conn, "HTTP/1.1 200 OK\r\nX-Hickoryrock-Attempt-Id: "+c.ID+"\r\nX-Hickoryrock-Response-Seal: "+Seal+
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	return err == nil
}

// Events sends all events of a stream, with a pause after each, and its end, and reports whether it could.
func (c Call) Events(events int, pause time.Duration) bool {
	for n := range events {
		event := fmt.Sprintf("id: %d\ndata: piece-%d\n\n", n+1, n+1)
		if _, err := fmt.Fprintf(c.Conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	_, err := io.WriteString(c.Conn, "0\r\n\r\n")
	return err == nil
}

// HasPart reports whether the prompt has a part with the given ID.
func (c Call) HasPart(id string) bool {
	for entry := range strings.SplitSeq(field(c.Request, "x-hickoryrock-prefix-hash"), ",") {
		if name, _, _ := strings.Cut(entry, ":"); name == id {
			return true
		}
	}
	return false
}

func field(r *http1.Request, lowerName string) string {
	for _, f := range r.Fields {
		if f.LowerName == lowerName {
			return f.Value
		}
	}
	return ""
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
