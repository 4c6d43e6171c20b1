// Package server implements the HTTP API for callers: address lookup, chats, and
// calls to plain services.
package server

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"hickoryrock/api/caller/callerapi"
	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/operator/catalog"
)

const (
	pathChat    = "/v1/chat/completions"
	pathStreams = "/v1/streams/{stream}"
	pathReport  = "/report"
)

type (
	// Backend executes the requests of callers.
	Backend interface {
		// Ready returns nil, or the reason why the router accepts no new work.
		Ready() *outcome.Failure
		// Workspace returns the workspace of a bearer token.
		Workspace(token string) (*catalog.Workspace, bool)
		// Address chooses the router that a caller should use. failureDomain is
		// that of the caller, if known.
		Address(failureDomain string) Address
		// Models lists the models that a workspace may use.
		Models(w *catalog.Workspace) []string
		// Call calls a method of a plain service.
		Call(ctx context.Context, w *catalog.Workspace, call Call) (CallResult, *outcome.Failure)
		// Chat writes the response to a chat to out. It returns a failure only
		// when nothing has been written yet; a later one aborts the connection.
		Chat(ctx context.Context, w *catalog.Workspace, chat Chat, out http.ResponseWriter) *outcome.Failure
		// Resume writes the rest of a stream to out. Failures are handled as in Chat.
		Resume(ctx context.Context, w *catalog.Workspace, resume Resume, out http.ResponseWriter) *outcome.Failure
	}

	// Address tells a caller which router to use.
	Address struct {
		// Address is the router's IP:port.
		Address string
		// TTL is how long the caller may cache the address.
		TTL time.Duration
		// Alternatives are other addresses, best first.
		Alternatives []string
	}

	// Call is one call to a method of a plain service.
	Call struct {
		Service string
		Method  string
		// Key is the Idempotency-Key; empty if the caller sent none.
		Key string
		// FirstAttempt is true if, according to the caller, this is the first attempt with the key.
		FirstAttempt bool
		// Body is one JSON value.
		Body []byte
	}

	// CallResult is the result of a completed call.
	CallResult struct {
		// Body is one JSON value.
		Body []byte
		// Replayed is true if Body is the stored result of an earlier call with the key.
		Replayed bool
	}

	// Chat is one chat completion request in the OpenAI format.
	Chat struct {
		Model string
		// Conversation identifies the conversation, so that it is routed to an
		// engine with its cached context.
		Conversation string
		Stream       bool
		// PromptBytes is the total size of the messages' contents.
		PromptBytes int
		// Body is the unmodified request body.
		Body []byte
	}

	// Resume asks for the rest of a stream.
	Resume struct {
		// StreamID is the token from the header of the first response.
		StreamID string
		// LastEventID is the ID of the last event that the caller received.
		LastEventID string
	}

	// Server implements the HTTP API for callers.
	Server struct {
		backend  Backend
		opts     Options
		log      zerolog.Logger
		api      *callerapi.Server
		inFlight chan struct{}
	}
)

// New returns a server that executes requests with backend.
func New(backend Backend, opts ...Option) (*Server, error) {
	s := &Server{backend: backend, opts: newOptions(opts...)}
	s.log = s.opts.Log
	s.inFlight = make(chan struct{}, s.opts.MaxInFlight)
	api, err := callerapi.NewServer(&handler{server: s}, &security{server: s},
		callerapi.WithErrorHandler(s.writeAPIError), callerapi.WithNotFound(s.writeNotFound),
		callerapi.WithMethodNotAllowed(s.writeMethodNotAllowed))
	if err != nil {
		return nil, err
	}
	s.api = api
	return s, nil
}

// Handler returns the HTTP handler for all paths, which enforces the request limits.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.api)
	s.handleMethod(mux, http.MethodPost, pathChat, s.serveChat)
	s.handleMethod(mux, http.MethodGet, pathStreams, s.serveStream)
	if s.opts.ReportHandler != nil {
		s.handleMethod(mux, http.MethodGet, pathReport, s.serveReport)
	}
	return s.limitRequests(mux)
}

// handleMethod registers a handler for one method of a path; other methods get 405.
func (s *Server) handleMethod(mux *http.ServeMux, method, path string, h http.HandlerFunc) {
	mux.HandleFunc(method+" "+path, h)
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { s.writeMethodNotAllowed(w, r, method) })
}
