package server

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/caller/outcome"
)

type (
	// chatRequest holds the fields of a chat completion request that the router uses.
	chatRequest struct {
		Model          string        `json:"model"`
		Stream         bool          `json:"stream"`
		PromptCacheKey string        `json:"prompt_cache_key"`
		Messages       []chatMessage `json:"messages"`
	}

	chatMessage struct {
		Role string `json:"role"`
		// Content is a string or a list of content parts.
		Content json.RawMessage `json:"content"`
	}
)

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	workspace, failure := s.authenticateRequest(r)
	if failure != nil {
		writeProblem(w, failure)
		return
	}
	chat, failure := parseChat(r)
	if failure != nil {
		writeProblem(w, failure)
		return
	}
	if failure := s.backend.Chat(r.Context(), workspace, chat, w); failure != nil {
		writeProblem(w, failure)
	}
}

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
	workspace, failure := s.authenticateRequest(r)
	if failure != nil {
		writeProblem(w, failure)
		return
	}
	resume := Resume{StreamID: r.PathValue("stream"), LastEventID: r.Header.Get("Last-Event-ID")}
	if failure := s.backend.Resume(r.Context(), workspace, resume, w); failure != nil {
		writeProblem(w, failure)
	}
}

func (s *Server) serveReport(w http.ResponseWriter, r *http.Request) {
	workspace, failure := s.authenticateRequest(r)
	if failure != nil {
		writeProblem(w, failure)
		return
	}
	s.opts.ReportHandler(w, r, workspace)
}

func parseChat(r *http.Request) (Chat, *outcome.Failure) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return Chat{}, bodyReadFailure(err)
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return Chat{}, outcome.NewNotRun(outcome.ReasonInvalidRequest, "request body is not a chat completion request: %s", err)
	}
	if req.Model == "" || len(req.Messages) == 0 {
		return Chat{}, outcome.NewNotRun(outcome.ReasonInvalidRequest, "model and messages are required")
	}
	return Chat{
		Model:        req.Model,
		Conversation: conversationID(req),
		Stream:       req.Stream,
		PromptBytes:  promptBytes(req),
		Body:         body,
	}, nil
}

func bodyReadFailure(err error) *outcome.Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return toFailure(err)
	}
	return outcome.NewNotRun(outcome.ReasonInvalidRequest, "failed to read the request body: %s", err)
}

// conversationID returns the caller's prompt cache key or, without one, a hash of
// the messages up to the first from the user. These stay the same as the
// conversation grows.
func conversationID(req chatRequest) string {
	if req.PromptCacheKey != "" {
		return req.PromptCacheKey
	}
	h := xxhash.New()
	for _, m := range req.Messages {
		_, _ = h.WriteString(m.Role)
		_, _ = h.Write(m.Content)
		if m.Role == "user" {
			break
		}
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

func promptBytes(req chatRequest) int {
	n := 0
	for _, m := range req.Messages {
		n += len(m.Content)
	}
	return n
}
