package server

import (
	"context"
	"errors"
	"net/http"
	"path"
	"strings"
	"time"

	"hickoryrock/api/caller/callerapi"
	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/operator/catalog"
)

const retryAfterFull = time.Second

type (
	// handler implements the operations of the generated API.
	handler struct {
		server *Server
	}

	// security authenticates workspace tokens for the generated API.
	security struct {
		server *Server
	}

	workspaceKey struct{}

	// repeatedKeyMark is the context key of requests whose Idempotency-Key may have
	// been used by an earlier request.
	repeatedKeyMark struct{}
)

// HandleWorkspaceToken implements callerapi.SecurityHandler.
func (s *security) HandleWorkspaceToken(ctx context.Context, _ callerapi.OperationName, t callerapi.WorkspaceToken) (context.Context, error) {
	w, failure := s.server.authenticate(t.Token)
	if failure != nil {
		return ctx, unknownIfRepeated(ctx, failure)
	}
	return context.WithValue(ctx, workspaceKey{}, w), nil
}

// GetAddress implements callerapi.Handler.
func (h *handler) GetAddress(_ context.Context, params callerapi.GetAddressParams) (*callerapi.Address, error) {
	a := h.server.backend.Address(params.FailureDomain.Or(""))
	return &callerapi.Address{
		Address:          a.Address,
		KeepMinusSeconds: int(a.TTL.Seconds()),
		Alternatives:     append([]string{}, a.Alternatives...),
	}, nil
}

// ListModels implements callerapi.Handler.
func (h *handler) ListModels(ctx context.Context) (*callerapi.ModelList, error) {
	list := &callerapi.ModelList{Object: callerapi.ModelListObjectList, Data: []callerapi.Model{}}
	for _, m := range h.server.backend.Models(workspaceFrom(ctx)) {
		list.Data = append(list.Data, callerapi.Model{ID: m, Object: callerapi.ModelObjectModel, OwnedBy: "hickoryrock"})
	}
	return list, nil
}

// CallMethod implements callerapi.Handler.
func (h *handler) CallMethod(ctx context.Context, req callerapi.Payload, params callerapi.CallMethodParams) (*callerapi.CallResult, error) {
	call := Call{
		Service:      params.Service,
		Method:       params.Method,
		Key:          params.IdempotencyKey.Or(""),
		FirstAttempt: params.IdempotencyAttempt.Or(0) == 1,
		Body:         req,
	}
	result, failure := h.server.backend.Call(ctx, workspaceFrom(ctx), call)
	if failure != nil {
		return nil, failure
	}
	return &callerapi.CallResult{
		Outcome:  callerapi.CallResultOutcomeDone,
		Result:   callerapi.Payload(result.Body),
		Replayed: result.Replayed,
	}, nil
}

// NewError implements callerapi.Handler.
func (h *handler) NewError(ctx context.Context, err error) *callerapi.ProblemStatusCodeWithHeaders {
	f := toFailure(err)
	var existing *outcome.Failure
	if !errors.As(err, &existing) {
		f = unknownIfRepeated(ctx, f)
	}
	countFailure(f)
	p := &callerapi.ProblemStatusCodeWithHeaders{StatusCode: httpStatus(f), Response: newProblem(f)}
	if f.RetryAfter > 0 {
		p.RetryAfter = callerapi.NewOptInt(retryAfterSeconds(f))
	}
	return p
}

func workspaceFrom(ctx context.Context) *catalog.Workspace {
	w, _ := ctx.Value(workspaceKey{}).(*catalog.Workspace)
	return w
}

// authenticate returns the workspace of a token. Before a configuration is
// loaded every token is unknown; in that case the failure of Ready is returned.
func (s *Server) authenticate(token string) (*catalog.Workspace, *outcome.Failure) {
	w, ok := s.backend.Workspace(token)
	if ok {
		return w, nil
	}
	if f := s.backend.Ready(); f != nil {
		return nil, f
	}
	return nil, outcome.NewNotRun(outcome.ReasonUnauthorized, "unknown workspace token")
}

// authenticateRequest authenticates requests of handlers outside the generated API.
func (s *Server) authenticateRequest(r *http.Request) (*catalog.Workspace, *outcome.Failure) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return nil, outcome.NewNotRun(outcome.ReasonUnauthorized, "a workspace token is required")
	}
	return s.authenticate(token)
}

// markRepeatedKey marks the context of the request if an earlier request may
// have used its Idempotency-Key.
func markRepeatedKey(r *http.Request) *http.Request {
	if r.Header.Get("Idempotency-Key") == "" || r.Header.Get("Idempotency-Attempt") == "1" {
		return r
	}
	return r.WithContext(context.WithValue(r.Context(), repeatedKeyMark{}, true))
}

// unknownIfRepeated corrects the outcome of a request that was rejected before
// the record of its repeated key was read.
func unknownIfRepeated(ctx context.Context, f *outcome.Failure) *outcome.Failure {
	if ctx.Value(repeatedKeyMark{}) == nil {
		return f
	}
	return f.AsUnknown()
}

// limitRequests limits the number of requests in flight, and the size and the
// read time of their bodies.
func (s *Server) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r = markRepeatedKey(r)
		select {
		case s.inFlight <- struct{}{}:
		default:
			overloaded := outcome.NewNotRun(outcome.ReasonOverloaded, "the router is at its limit of requests in flight").WithRetryAfter(retryAfterFull)
			writeProblem(w, unknownIfRepeated(r.Context(), overloaded))
			return
		}
		defer func() { <-s.inFlight }()
		if r.URL.Path != path.Clean(r.URL.Path) {
			// ServeMux would redirect the request to the clean path.
			s.writeNotFound(w, r)
			return
		}
		s.limitBody(w, r)
		next.ServeHTTP(w, r)
	})
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	return len(s.inFlight)
}
