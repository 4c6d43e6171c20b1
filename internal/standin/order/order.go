// Package order is a stand-in for an order server, a target with at-most-once methods, for
// tests and demos.
package order

import (
	"context"
	"flag"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/standin/server"
)

// HeaderIdempotencyKey carries the idempotency key of a call. The server records it but does not
// deduplicate by it.
const HeaderIdempotencyKey = "Idempotency-Key"

type (
	// Server executes every call that it receives, including calls that repeat an idempotency key.
	Server struct {
		name     string
		conns    server.ConnTracker
		inFlight atomic.Int64

		mu     sync.Mutex
		runs   []RunRecord
		faults Faults
	}

	// RunRecord describes one executed call.
	RunRecord struct {
		Key        string    `json:"key"`
		Method     string    `json:"method"`
		Body       string    `json:"body"`
		Connection int64     `json:"connection"`
		Time       time.Time `json:"time"`
	}

	// Load is the response body of GET /load.
	Load struct {
		Name     string `json:"name"`
		InFlight int    `json:"in-flight"`
	}

	// Faults selects the faults to inject, set with SetFaults or over HTTP at /faults.
	Faults struct {
		// RunThenBreak executes the call and closes the connection without a response.
		RunThenBreak bool `json:"run-then-break,omitempty"`
		// Refuse responds with 503 and X-Not-Run without executing the call.
		Refuse bool `json:"refuse,omitempty"`
		// SilenceBefore neither executes the call nor responds to it.
		SilenceBefore bool `json:"silence-before,omitempty"`
		// SilenceAfter executes the call and never responds to it.
		SilenceAfter bool `json:"silence-after,omitempty"`
		// SilenceOpen makes the currently open connections silent: their calls are executed but
		// get no response. New connections work.
		SilenceOpen bool `json:"silence-open,omitempty"`
		// SlowMillis delays the execution of each call, in milliseconds.
		SlowMillis int `json:"slow-millis,omitempty"`
		// Fail executes the call and responds with 500.
		Fail bool `json:"fail,omitempty"`
		// Times is the number of calls that the faults apply to; 0 means no limit.
		Times int `json:"times,omitempty"`
	}

	// Result is the response body of an executed call.
	Result struct {
		Server string `json:"server"`
		Method string `json:"method"`
		Run    int    `json:"run"`
	}
)

// New returns an order server without injected faults.
func New(name string) *Server {
	return &Server{name: name}
}

// Run parses the flags in args and serves an order server until ctx is cancelled.
func Run(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("order", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on")
	name := fs.String("name", "order", "name of the server")
	if err := fs.Parse(args); err != nil {
		return eris.Wrap(err, "parsing flags")
	}
	s := New(*name)
	return server.Serve(ctx, *name, *listen, s.Connections(), s.Handler())
}

// Connections returns the connection tracker. The server that uses Handler must have the
// tracker's ConnContext as its http.Server.ConnContext.
func (s *Server) Connections() *server.ConnTracker {
	return &s.conns
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /methods/{method}", s.handleCall)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, Load{Name: s.name, InFlight: int(s.inFlight.Load())})
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, map[string]string{"name": s.name})
	})
	mux.HandleFunc("/faults", s.handleFaults)
	return mux
}

// Runs returns a copy of the executed calls, oldest first.
func (s *Server) Runs() []RunRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RunRecord{}, s.runs...)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	if f.SilenceOpen {
		s.conns.SilenceOpen()
		f.SilenceOpen = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx := r.Context()
	f := s.consumeFaults()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.SilenceBefore {
		server.HangUntilClosed(ctx)
	}
	if f.Refuse {
		server.RejectNotRun(w, http.StatusServiceUnavailable, "server refuses calls because of an injected fault")
		return
	}
	if f.SlowMillis > 0 {
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	}

	n := s.recordRun(r, string(body))
	switch {
	case f.RunThenBreak:
		server.AbortConnection()
	case f.SilenceAfter || s.conns.Silent(ctx):
		server.HangUntilClosed(ctx)
	case f.Fail:
		server.WriteJSON(w, http.StatusInternalServerError, map[string]string{"error": "injected failure after execution"})
	default:
		server.WriteJSON(w, http.StatusOK, Result{Server: s.name, Method: r.PathValue("method"), Run: n})
	}
}

// recordRun records the executed call and returns the number of calls executed so far.
func (s *Server) recordRun(r *http.Request, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, RunRecord{
		Key: r.Header.Get(HeaderIdempotencyKey), Method: r.PathValue("method"), Body: body,
		Connection: server.ConnID(r.Context()), Time: time.Now(),
	})
	return len(s.runs)
}

// consumeFaults returns the faults for one call and counts it towards Times.
func (s *Server) consumeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if s.faults.Times == 1 {
		s.faults = Faults{}
	} else if s.faults.Times > 1 {
		s.faults.Times--
	}
	return f
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.mu.Lock()
		defer s.mu.Unlock()
		server.WriteJSON(w, http.StatusOK, s.faults)
		return
	}
	var f Faults
	if err := server.ReadJSON(w, r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	server.WriteJSON(w, http.StatusOK, f)
}
