// Package engine is a stand-in for an inference engine, for tests and demos. Its answers are
// deterministic.
package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/standin/server"
)

const (
	// HeaderRequestID carries the ID of a request, which is also the ID of its stream.
	HeaderRequestID = "X-Request-Id"
	// HeaderConversation carries the ID of the conversation that a request belongs to.
	HeaderConversation = "X-Conversation-Id"

	roleAssistant    = "assistant"
	chunkObject      = "chat.completion.chunk"
	completionObject = "chat.completion"
	maxRuns          = 100_000
)

type (
	// Engine runs a limited number of requests at a time, caches prompt prefixes and streams
	// deterministic answers.
	Engine struct {
		opts        Options
		ctx         context.Context
		scheduler   *scheduler
		cache       *prefixCache
		faults      faultState
		conns       server.ConnTracker
		loadHistory loadHistory
		orderState  orderState

		mu        sync.Mutex
		streams   map[string]*stream
		runs      []*RunRecord
		cancelled int
		draining  bool
	}

	// ChatRequest is the request body of a chat completion.
	ChatRequest struct {
		Model     string    `json:"model"`
		Messages  []Message `json:"messages"`
		Stream    bool      `json:"stream"`
		Priority  int       `json:"priority"`
		MaxTokens int       `json:"max_tokens"`
	}

	// RunRecord describes one request that the engine received for execution.
	RunRecord struct {
		ID           string    `json:"id"`
		Conversation string    `json:"conversation,omitempty"`
		Model        string    `json:"model"`
		Started      time.Time `json:"started"`
		Usage        Usage     `json:"usage"`
		Outcome      string    `json:"outcome"`
	}
)

// New returns an engine and a function that cancels all its requests.
func New(opts ...Option) (*Engine, func()) {
	o := newOptions(opts...)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{opts: o, ctx: ctx, cache: newPrefixCache(o.CacheTokens), streams: map[string]*stream{}}
	e.scheduler = &scheduler{slots: o.Slots, onChange: e.loadHistory.add}
	e.loadHistory.add(0, 0)
	e.orderState.init(o)
	return e, cancel
}

// Connections returns the connection tracker. The server that uses Handler must have the
// tracker's ConnContext as its http.Server.ConnContext.
func (e *Engine) Connections() *server.ConnTracker {
	return &e.conns
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.handleCancel)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /cache-events", e.handleCacheEvents)
	mux.HandleFunc("GET /kv", e.handleCachedConversations)
	mux.HandleFunc("GET /kv/{conversation}", e.handleExportKV)
	mux.HandleFunc("POST /kv/{conversation}", e.handleImportKV)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /orders", e.handleOrders)
	mux.HandleFunc("POST /drain", e.handleDrain)
	mux.HandleFunc("GET /runs", e.handleRuns)
	mux.HandleFunc("/faults", e.handleFaults)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		if e.faults.consumeSilence() || e.conns.Silent(r.Context()) {
			server.HangUntilClosed(r.Context())
		}
		server.WriteJSON(w, http.StatusOK, map[string]string{"name": e.opts.Name})
	})
	return mux
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if err := server.ReadJSON(w, r, &req); err != nil {
		server.RejectNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	if e.faults.consumeSilence() || e.conns.Silent(r.Context()) {
		server.HangUntilClosed(r.Context())
	}
	if e.faults.isRefusing() || e.isDraining() {
		server.RejectNotRun(w, http.StatusServiceUnavailable, "engine accepts no new requests")
		return
	}
	version, ok := e.orderState.modelVersion(req.Model)
	if !ok {
		server.RejectNotRun(w, http.StatusServiceUnavailable, "model is not loaded")
		return
	}
	w.Header().Set("X-Model-Version", version)
	s := e.startRequest(r, req)
	w.Header().Set(HeaderRequestID, s.id)
	if req.Stream {
		e.streamEvents(w, r, s, 0)
		return
	}
	e.serveComplete(w, r, s, req)
}

// startRequest runs a request in the background, so that generation continues when its
// connection is lost.
func (e *Engine) startRequest(r *http.Request, req ChatRequest) *stream {
	ctx, cancel := context.WithCancel(e.ctx)
	s := &stream{id: r.Header.Get(HeaderRequestID), cancel: cancel, changed: make(chan struct{})}
	run := &RunRecord{Conversation: r.Header.Get(HeaderConversation), Model: req.Model, Started: time.Now(), Outcome: "running"}

	e.mu.Lock()
	defer e.mu.Unlock()
	if s.id == "" {
		s.id = e.opts.Name + "-" + strconv.Itoa(len(e.runs)+1)
	}
	run.ID = s.id
	e.streams[s.id] = s
	e.runs = append(e.runs, run)
	if len(e.runs) > maxRuns {
		e.runs = e.runs[1:]
	}
	go e.generate(ctx, s, run, req)
	return s
}

// generate produces the answer of a request as soon as a slot is free, and stores its prefixes
// in the cache.
func (e *Engine) generate(ctx context.Context, s *stream, run *RunRecord, req ChatRequest) {
	defer time.AfterFunc(e.opts.Retain, func() { e.removeStream(s) })
	defer s.cancel()
	defer s.end()
	if !e.scheduler.acquire(ctx, req.Priority) {
		e.finishRun(run, Usage{}, finishCancelled)
		return
	}
	defer e.scheduler.release()

	prefixes := messagePrefixes(req.Model, req.Messages)
	usage := Usage{PromptTokensDetails: PromptDetails{CachedTokens: e.cache.matchedTokens(prefixes)}}
	for _, p := range prefixes {
		usage.PromptTokens += p.Tokens
	}
	tokens := Answer(req.Model, req.Messages)
	if req.MaxTokens > 0 {
		tokens = tokens[:min(len(tokens), req.MaxTokens)]
	}
	uncachedTokens := usage.PromptTokens - usage.PromptTokensDetails.CachedTokens
	if !e.sleep(ctx, time.Duration(uncachedTokens)*e.opts.PrefillTime) || !e.emitTokens(ctx, s, req, tokens) {
		e.finishRun(run, usage, finishCancelled)
		return
	}

	usage.CompletionTokens = len(tokens)
	answer := Message{Role: roleAssistant, Content: strings.Join(tokens, "")}
	e.cache.store(run.Conversation, messagePrefixes(req.Model, append(req.Messages[:len(req.Messages):len(req.Messages)], answer)))
	e.finishRun(run, usage, finishStop)
	reason := finishStop
	s.add(chunk{
		ID: s.id, Object: chunkObject, Model: req.Model,
		Choices: []choice{{Delta: &Message{}, FinishReason: &reason}}, Usage: &usage,
	}, true)
}

// emitTokens appends the tokens to the stream and returns false if ctx ends first.
func (e *Engine) emitTokens(ctx context.Context, s *stream, req ChatRequest, tokens []string) bool {
	for _, t := range tokens {
		if !e.sleep(ctx, e.opts.TokenTime*time.Duration(max(1, e.faults.get().SlowFactor))) {
			return false
		}
		s.add(chunk{
			ID: s.id, Object: chunkObject, Model: req.Model,
			Choices: []choice{{Delta: &Message{Role: roleAssistant, Content: t}}},
		}, false)
	}
	return true
}

// sleep waits for d and returns false if ctx ends first.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serveComplete waits for the end of the answer and writes it as one JSON response.
func (e *Engine) serveComplete(w http.ResponseWriter, r *http.Request, s *stream, req ChatRequest) {
	s.addReader()
	defer s.removeReader(e.opts.ResumeGrace)
	f := e.faults.consume()
	for {
		_, complete, ended, changed := s.eventsAfter(0)
		if ended {
			if !complete || f.BreakAfter > 0 {
				server.AbortConnection()
			}
			e.applyStreamFaults(r.Context(), f, f.StallAfter)
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	tokens := Answer(req.Model, req.Messages)
	if req.MaxTokens > 0 {
		tokens = tokens[:min(len(tokens), req.MaxTokens)]
	}
	reason := finishStop
	usage := e.runUsage(s.id)
	server.WriteJSON(w, http.StatusOK, chunk{
		ID: s.id, Object: completionObject, Model: req.Model, Usage: &usage,
		Choices: []choice{{Message: &Message{Role: roleAssistant, Content: strings.Join(tokens, "")}, FinishReason: &reason}},
	})
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	if e.faults.consumeSilence() || e.conns.Silent(r.Context()) {
		server.HangUntilClosed(r.Context())
	}
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "stream not found", http.StatusNotFound)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get(sse.HeaderLastEventID))
	w.Header().Set(HeaderRequestID, s.id)
	e.streamEvents(w, r, s, max(0, after))
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "stream not found", http.StatusNotFound)
		return
	}
	s.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleRuns(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, e.Runs())
}

// Runs returns copies of the run records, oldest first. Only the last maxRuns are kept.
func (e *Engine) Runs() []RunRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]RunRecord, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

func (e *Engine) finishRun(run *RunRecord, usage Usage, outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Usage, run.Outcome = usage, outcome
	if outcome == finishCancelled {
		e.cancelled++
	}
}

func (e *Engine) runUsage(id string) Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.runs) - 1; i >= 0; i-- {
		if e.runs[i].ID == id {
			return e.runs[i].Usage
		}
	}
	return Usage{}
}

// removeStream drops the buffered events of a stream, which can then no longer be resumed.
func (e *Engine) removeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

func (e *Engine) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}
