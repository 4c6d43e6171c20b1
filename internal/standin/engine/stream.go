package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/standin/server"
)

const (
	finishStop      = "stop"
	finishCancelled = "cancelled"
)

type (
	// stream buffers the events of one answer, so that readers can resume it, and counts its
	// readers.
	stream struct {
		id     string
		cancel context.CancelFunc

		mu       sync.Mutex
		events   [][]byte
		complete bool
		ended    bool
		readers  int
		changed  chan struct{}
	}

	// chunk is an event of a stream, or the whole response to a request without streaming.
	chunk struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *Usage   `json:"usage,omitempty"`
	}

	choice struct {
		Index        int      `json:"index"`
		Delta        *Message `json:"delta,omitempty"`
		Message      *Message `json:"message,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}

	// Usage counts the tokens of a request.
	Usage struct {
		PromptTokens        int           `json:"prompt_tokens"`
		CompletionTokens    int           `json:"completion_tokens"`
		PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
	}

	// PromptDetails reports how many prompt tokens were found in the prefix cache.
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
)

// add appends an event; last is set if it completes the answer.
func (s *stream) add(c chunk, last bool) {
	data, _ := json.Marshal(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.complete = last
	s.notifyReaders()
}

// end marks that no more events follow, whether or not the answer is complete.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.notifyReaders()
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// eventsAfter returns the events after the first n, the state of the stream, and a channel that is
// closed when either changes.
func (s *stream) eventsAfter(n int) (events [][]byte, complete, ended bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[min(n, len(s.events)):], s.complete, s.ended, s.changed
}

func (s *stream) addReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// removeReader ends a read. If no reader is left and none arrives within the grace period, an
// unfinished answer is cancelled.
func (s *stream) removeReader(gracePeriod time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	if s.readers > 0 || s.ended {
		return
	}
	time.AfterFunc(gracePeriod, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.readers == 0 {
			s.cancel()
		}
	})
}

// streamEvents writes the events after the given ID to one connection, until the stream ends or
// the client disconnects.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	s.addReader()
	defer s.removeReader(e.opts.ResumeGrace)
	w.Header().Set("Content-Type", sse.ContentType)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()

	heartbeat := time.NewTicker(e.opts.Heartbeat)
	defer heartbeat.Stop()
	f := e.faults.consume()
	for sent := 0; ; {
		events, complete, ended, changed := s.eventsAfter(after)
		for _, data := range events {
			e.applyStreamFaults(r.Context(), f, sent)
			after++
			sent++
			_, _ = w.Write(sse.AppendEvent(nil, after, data)) //nolint:gosec // The content type is an event stream, not HTML.
			_ = flusher.Flush()
		}
		if ended {
			e.applyStreamFaults(r.Context(), f, sent)
			if !complete {
				server.AbortConnection()
			}
			_, _ = w.Write(sse.AppendDone(nil, after+1))
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			_, _ = w.Write(sse.AppendComment(nil, "heartbeat"))
			_ = flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// applyStreamFaults hangs or aborts the connection if the faults require it after the given
// number of sent events.
func (e *Engine) applyStreamFaults(ctx context.Context, f Faults, sent int) {
	if f.StallAfter > 0 && sent >= f.StallAfter || e.conns.Silent(ctx) {
		server.HangUntilClosed(ctx)
	}
	if f.BreakAfter > 0 && sent >= f.BreakAfter {
		server.AbortConnection()
	}
}
