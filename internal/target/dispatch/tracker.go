package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/stream"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/report/tally"
	"hickoryrock/internal/target/engine"
)

// callTracker measures one call and records its outcome.
type callTracker struct {
	dispatcher *Dispatcher
	workspace  *catalog.Workspace
	service    string
	method     string
	key        string
	atMostOnce bool
	replayed   bool
	resumed    bool
	started    time.Time
	// ttfb is the time to the first byte of the response; without one, the call's duration.
	ttfb            time.Duration
	responseStarted bool
}

func newCallTracker(d *Dispatcher, w *catalog.Workspace, service string) *callTracker {
	return &callTracker{dispatcher: d, workspace: w, service: service, started: d.opts.Now()}
}

// markFirstByte records the time to first byte when the response starts.
func (t *callTracker) markFirstByte() {
	if t.responseStarted {
		return
	}
	t.responseStarted = true
	t.ttfb = t.dispatcher.opts.Now().Sub(t.started)
	firstByteHistogram(t.service).Update(t.ttfb.Seconds())
}

// finish records the outcome of the call and returns f.
func (t *callTracker) finish(f *outcome.Failure) *outcome.Failure {
	t.record(f)
	return f
}

// record records the outcome of the call.
func (t *callTracker) record(f *outcome.Failure) {
	now := t.dispatcher.opts.Now()
	if !t.responseStarted {
		t.ttfb = now.Sub(t.started)
	}
	t.dispatcher.opts.Record(tally.Call{
		Workspace: t.workspace.Name, TimeZone: t.workspace.Location, Ended: now,
		TTFB: t.ttfb, Late: exceedsLateAfter(t.workspace, t.ttfb),
		AtMostOnce: t.atMostOnce, Replayed: t.replayed, Resumed: t.resumed,
		Service: t.service, Method: t.method, Key: t.key, Failure: f,
	})
	countCall(t.service, f)
}

// relay writes an engine's stream to the caller. It returns nil after a complete response, and
// a failure only if nothing was sent. A response that is truncated later is recorded here,
// because the relay then aborts the connection.
func (t *callTracker) relay(s *engine.Stream, id stream.ID, after int, cancel context.CancelFunc, out http.ResponseWriter) *outcome.Failure {
	out.Header().Set(headerTarget, id.Target)
	return t.dispatcher.opts.Relay.Serve(out, stream.Response{
		Token:        id.String(),
		Source:       s,
		LastEventID:  after,
		Cancel:       cancel,
		OnFirstEvent: t.markFirstByte,
		OnEnd: func(result stream.Result) {
			if result.Started && !result.Complete {
				t.record(result.Failure)
			}
		},
	})
}

func countCall(service string, f *outcome.Failure) {
	status, reason := outcome.Done, outcome.ReasonNone
	if f != nil {
		status, reason = f.Status, f.Reason
	}
	name := fmt.Sprintf(`hickoryrock_calls_total{service=%q,outcome=%q,reason=%q}`, service, status, reason)
	metrics.GetOrCreateCounter(name).Inc()
}

func firstByteHistogram(service string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf(`hickoryrock_first_byte_seconds{service=%q}`, service))
}
