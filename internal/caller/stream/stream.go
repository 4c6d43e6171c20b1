// Package stream relays streamed responses to callers, who can resume them at any router.
package stream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/sse"
)

const (
	// HeaderStream is the response header with the token for resuming a stream.
	HeaderStream = "Hickoryrock-Stream"

	errorEventName   = "error"
	heartbeatComment = "heartbeat"
)

type (
	// Source yields the events of one response, each once and in order.
	Source interface {
		Next() bool
		Event() sse.Event
		// Failure returns nil only if the response is complete.
		Failure() *outcome.Failure
		Complete() bool
		// Close ends the source and cancels an incomplete response at the engine.
		Close()
		// Detach ends the source but keeps the response at the engine, so that any router can resume it.
		Detach()
	}

	// Relay writes streamed responses to callers.
	Relay struct {
		opts Options
	}

	// Response is one streamed response to relay.
	Response struct {
		// Token is sent to the caller for resuming the stream.
		Token  string
		Source Source
		// LastEventID is the ID of the last event that the caller has received; 0 for a new stream.
		LastEventID int
		// Cancel, when set, cancels the context of the source. It is called when a write to the
		// caller fails.
		Cancel context.CancelFunc
		// OnFirstEvent, when set, is called before the first event is written.
		OnFirstEvent func()
		// OnEnd, when set, is called when the relay has ended, in any case before Serve returns or panics.
		OnEnd func(Result)
	}

	// Result describes how the relay of one response ended.
	Result struct {
		Events int
		// Started is true if anything was sent, heartbeats included.
		Started bool
		// Complete is true if the complete response was sent.
		Complete bool
		Failure  *outcome.Failure
	}

	// Problem is the data of the error event, which ends an incomplete response.
	Problem struct {
		Outcome outcome.Status `json:"outcome"`
		Reason  outcome.Reason `json:"reason"`
		Detail  string         `json:"detail"`
		Stream  string         `json:"stream"`
	}

	// responseWriter writes the events and heartbeats of one response. The mutex serializes them.
	responseWriter struct {
		opts       Options
		response   Response
		w          http.ResponseWriter
		controller *http.ResponseController

		mu       sync.Mutex
		timer    *time.Timer
		buf      []byte
		started  bool
		finished bool
		err      error
	}
)

// NewRelay returns a relay with the given options.
func NewRelay(opts ...Option) *Relay {
	return &Relay{opts: newOptions(opts...)}
}

// ParseEventID parses the value of a Last-Event-ID header; an empty value is 0.
func ParseEventID(value string) (int, *outcome.Failure) {
	if value == "" {
		return 0, nil
	}
	id, err := strconv.Atoi(value)
	if err != nil || id < 0 {
		return 0, outcome.NewNotRun(outcome.ReasonInvalidRequest, "Last-Event-ID is not a number")
	}
	return id, nil
}

// Serve relays a response and closes or detaches its source. It returns a failure only if nothing
// was sent, in which case the request can still be rejected or retried on another target. A response
// that is interrupted later ends with an error event, and Serve panics with http.ErrAbortHandler to
// abort the connection.
func (r *Relay) Serve(w http.ResponseWriter, response Response) *outcome.Failure {
	out := &responseWriter{opts: r.opts, response: response, w: w, controller: http.NewResponseController(w)}
	out.startHeartbeat()
	result := r.copyEvents(out, response)
	if response.OnEnd != nil {
		response.OnEnd(result)
	}
	r.updateMetrics(result)
	if result.Complete {
		return nil
	}
	if result.Started {
		panic(http.ErrAbortHandler)
	}
	return result.Failure
}

func (r *Relay) copyEvents(out *responseWriter, response Response) Result {
	result := Result{}
	last := response.LastEventID
	var failure *outcome.Failure
	for failure == nil && response.Source.Next() {
		e := response.Source.Event()
		if e.ID != last+1 {
			failure = outcome.NewUnknown(outcome.ReasonInternal, "event %d received after event %d", e.ID, last)
			break
		}
		if result.Events == 0 && response.OnFirstEvent != nil {
			response.OnFirstEvent()
		}
		if failure = out.writeEvent(e); failure == nil {
			last = e.ID
			result.Events++
		}
	}
	if failure == nil && !response.Source.Complete() {
		failure = response.Source.Failure()
	}
	result.Failure = out.finish(last, failure)
	result.Started, result.Complete = out.started, result.Failure == nil
	if result.Started {
		// The caller has received the token and may resume.
		response.Source.Detach()
	} else {
		response.Source.Close()
	}
	return result
}

// startHeartbeat starts the timer that sends a comment when no event was sent for the heartbeat
// interval.
func (w *responseWriter) startHeartbeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.opts.Heartbeat, w.writeHeartbeat)
}

func (w *responseWriter) writeHeartbeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.finished || w.err != nil {
		return
	}
	w.write(sse.AppendComment(w.buf[:0], heartbeatComment))
	w.timer.Reset(w.opts.Heartbeat)
}

func (w *responseWriter) writeEvent(e sse.Event) *outcome.Failure {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.opts.Heartbeat)
	w.write(sse.AppendEvent(w.buf[:0], e.ID, e.Data))
	return w.failure()
}

// finish ends the response: with a Done event if f is nil, or else with an error event if anything
// was sent. It returns f or the failure to write.
func (w *responseWriter) finish(last int, f *outcome.Failure) *outcome.Failure {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
	w.timer.Stop()
	switch {
	case f == nil:
		w.write(sse.AppendDone(w.buf[:0], last+1))
		f = w.failure()
	case w.started && w.err == nil:
		problem := Problem{Outcome: f.Status, Reason: f.Reason, Detail: f.Detail, Stream: w.response.Token}
		data, _ := json.Marshal(problem)
		w.write(sse.AppendNamedEvent(w.buf[:0], errorEventName, data))
	case w.err != nil:
		f = w.failure()
	}
	_ = w.controller.SetWriteDeadline(time.Time{})
	return f
}

func (w *responseWriter) failure() *outcome.Failure {
	if w.err == nil {
		return nil
	}
	return outcome.NewUnknown(outcome.ReasonCancelled, "write to the caller failed: %v", w.err)
}

// write writes and flushes b, preceded by the header if necessary. After the first error, which
// cancels the source, it does nothing.
func (w *responseWriter) write(b []byte) {
	w.buf = b
	if w.err != nil {
		return
	}
	if !w.started {
		w.started = true
		h := w.w.Header()
		h.Set("Content-Type", sse.ContentType)
		h.Set("Cache-Control", "no-store")
		h.Set(HeaderStream, w.response.Token)
		w.w.WriteHeader(http.StatusOK)
	}
	// A caller that reads nothing for this long is considered disconnected. The error is ignored,
	// since some writers do not support deadlines.
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.opts.WriteTimeout))
	_, w.err = w.w.Write(b)
	if w.err == nil {
		w.err = w.controller.Flush()
	}
	if w.err != nil && w.response.Cancel != nil {
		w.response.Cancel()
	}
}

// updateMetrics counts a stream by the reason of its failure, and its events.
func (r *Relay) updateMetrics(result Result) {
	reason := outcome.ReasonNone
	if result.Failure != nil {
		reason = result.Failure.Reason
	}
	name := fmt.Sprintf("hickoryrock_streams_total{reason=%q}", reason)
	r.opts.Metrics.GetOrCreateCounter(name).Inc()
	r.opts.Metrics.GetOrCreateCounter("hickoryrock_stream_events_total").Add(result.Events)
}
