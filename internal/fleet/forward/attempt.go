package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/internal/target/http1client"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
)

const (
	reasonNoTarget = "no-target"
	reasonSilent   = "target-silent"
	reasonTimeout  = "timeout"

	// minOverdue is the shortest time after which a call without any response bytes
	// counts as a failure of its target.
	minOverdue = 100 * time.Millisecond
	// prefillTokensPerMillisecond is a conservative estimate of an engine's prompt
	// processing (prefill) rate.
	prefillTokensPerMillisecond = 20
	// streamReadBytes is the buffer size for reads from a stream.
	streamReadBytes = 8 << 10
)

// attempt sends the call to one target and records the outcome.
func (c *call) attempt(ctx context.Context) {
	c.h.awaitFreshView(ctx) // The router may have been paused since the last attempt.
	target := c.choose()
	if target == nil {
		c.progress.Outcome = NotExecuted
		obstacle := c.untilAccepted(time.Now())
		c.reason, c.retryAfter = obstacle.reason, obstacle.wait
		return
	}
	c.tried[target.Hash] = true
	c.sentTo = append(c.sentTo, target.ID)
	c.progress.Attempts++
	tracked := c.h.TargetHealth.Begin(target.Hash, c.placement.PrefillTokens, time.Now())
	defer tracked.End()
	overdue := time.AfterFunc(overdueAfter(c.route.LatencyObjective, c.placement), func() { tracked.Overdue(time.Now()) })
	defer overdue.Stop()

	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.lastProgress.Store(0)
	c.attemptStart = time.Now()
	stop := c.watchSilence(target, cancel)
	defer stop()

	remaining := time.Until(c.deadline)
	fields := platform.TargetRequestFields(c.request, platform.TargetRequest{
		Target: target, CacheSource: c.cacheSource, Workspace: c.workspace.Name,
		ForwardKey: c.view.Configuration.Workspaces == nil, Remaining: remaining, LastEventID: c.stream.lastID,
	})
	response, failure := c.h.Pool.Do(attemptCtx, endpoint(target), http1client.Call{
		Method: c.request.Method, Target: c.request.Target, Fields: fields, Body: c.body, Match: c.matchResponse,
		NewConnection: c.headers.ID == "",
	})
	if failure != nil {
		if failure.HasBegun {
			c.headAt = time.Since(c.attemptStart)
			c.recordCut(attemptCtx, target)
		}
		c.recordFailure(attemptCtx, target, failure.Status == http1client.NotSent, failure.Reason)
		return
	}
	c.relay(attemptCtx, target, tracked, response)
}

// overdueAfter returns the time after which a call without any response bytes
// counts as a failure of its target. It includes the time for prompt tokens that
// the target has to process first, which a healthy target needs, too.
func overdueAfter(objective time.Duration, choice affinity.Choice) time.Duration {
	prefill := time.Duration(choice.PendingTokens+choice.PrefillTokens) * time.Millisecond / prefillTokensPerMillisecond
	return max(objective, minOverdue) + prefill
}

// matchResponse reports whether a response belongs to this call, by its call ID.
func (c *call) matchResponse(fields []http1.Field) http1client.ResponseMatch {
	headers := platform.DecodeResponseHeaders(0, fields)
	switch {
	case headers.HasSeveralIDs:
		return http1client.MatchOtherCall
	case headers.CallID == c.headers.ID:
		return http1client.MatchThisCall
	case headers.CallID == "":
		return http1client.MatchUnknown
	}
	return http1client.MatchOtherCall
}

func endpoint(t *state.Target) http1client.Endpoint {
	return http1client.Endpoint{Address: t.Address, Key: t.Address + "/" + strconv.FormatUint(t.Hash, 16)}
}

// choose selects the target of the next attempt, or returns nil.
func (c *call) choose() *state.Target {
	now := time.Now()
	// The set of targets may have changed during an earlier attempt.
	c.targets = c.h.View().Targets
	targets := c.targets.ByService[c.service]
	limit := c.silenceLimit()
	summaries := c.h.TargetHealth.Summaries(state.Hashes(targets), now)
	candidates := make([]affinity.Candidate, len(targets))
	for i, t := range targets {
		candidates[i] = affinity.Candidate{
			Target: t.Hash, Calls: summaries[i].Calls, PendingTokens: summaries[i].PendingTokens, Slowness: summaries[i].Slowness,
			Ejected: summaries[i].Ejected || c.h.TargetHealth.SilentFor(t.Hash, now) > limit,
			Tried:   c.tried[t.Hash], Draining: t.Draining, Exhausted: t.Leaving || !c.h.accepts(t, now),
			FailureDomain: t.FailureDomain, SameDomain: t.FailureDomain == c.h.FailureDomain,
		}
	}
	choice := c.h.CacheIndex.Choose(affinity.Request{
		Parts: c.parts, Seed: xxhash.Sum64String(c.headers.ID), Factor: c.h.LoadFactor,
		Fetch: c.view.Configuration.Services[c.service].CacheTransfer, StaleCounts: c.hasStaleCounts(),
	}, candidates, now)
	if choice.Index < 0 {
		return nil
	}
	c.placement = choice
	c.h.Limits.Take(targets[choice.Index].Hash, now)
	c.cacheSource = nil
	if choice.Source >= 0 {
		c.cacheSource = targets[choice.Source]
		c.h.Limits.Take(c.cacheSource.Hash, now)
	}
	return targets[choice.Index]
}

// recordFailure records an attempt without a complete response.
func (c *call) recordFailure(ctx context.Context, target *state.Target, notExecuted bool, reason string) {
	c.reason = reason
	c.progress.Outcome = Unknown
	if notExecuted {
		c.progress.Outcome = NotExecuted
	} else {
		c.progress.PossibleExecutions++
	}
	now := time.Now()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ingress.ErrCallerClosed):
		return
	case errors.Is(cause, errSilent):
		c.reason = reasonSilent
	case errors.Is(cause, errDeadline):
		c.reason = reasonTimeout
	case errors.Is(cause, ingress.ErrStopped):
		c.reason = reasonStopped
		return // The target is not at fault.
	}
	if reason == http1client.ReasonRefused || reason == http1client.ReasonNoConnection {
		c.h.TargetHealth.RecordUnreachable(target.Hash, now)
		c.h.Pool.CloseIdle(endpoint(target))
		c.h.Log.Warn().Str("call", c.headers.ID).Str("target", target.ID).Str("reason", reason).
			Msg("target unreachable, excluded from new calls")
		return
	}
	c.h.TargetHealth.RecordFailure(target.Hash, now)
}

// relay handles a target's response: it relays a stream, and buffers any other
// response for the decision that follows.
func (c *call) relay(ctx context.Context, target *state.Target, tracked *targetstats.Call, response *http1client.Response) {
	headers := platform.DecodeResponseHeaders(response.Head.Status, response.Head.Fields)
	if headers.HasLoad {
		c.load, c.hasLoad = headers.Load, true
	}
	c.observeTarget(target, response.Head.Status, headers)
	c.recordProgress(tracked, time.Now())
	c.framing = framingName(response.Head)
	c.headAt = time.Since(c.attemptStart)
	if reason := c.doubt(response.Head.Status, headers); reason != "" {
		c.h.Pool.Discard(response)
		c.progress.PossibleExecutions++
		c.recordUnusable(target, reason)
		return
	}
	if headers.NotExecuted {
		// The head is the proof: its body may be slow and must not delay a retry.
		c.h.Pool.Drain(response)
		c.recordNotExecuted(target, response.Head.Status)
		return
	}
	if c.writer.Started() && !c.continuesStream(response.Head) {
		c.h.Pool.Drain(response)
		c.progress.PossibleExecutions++
		c.recordUnusable(target, "no-stream")
		return
	}
	if c.isStream(response.Head) {
		c.relayStream(ctx, target, tracked, response)
		return
	}
	body, err := c.readBody(response)
	if err = checkWholeBody(response.Head, body, err); err != nil {
		c.h.Pool.Discard(response)
		c.recordBodyError(ctx, target, err)
		return
	}
	c.h.Pool.Release(response)
	c.progress.PossibleExecutions++
	c.buffered = &bufferedResponse{head: response.Head, body: body}
	if response.Head.Status >= 500 {
		c.progress.Outcome = FailedAtTarget
		c.reason = "target-failed"
		c.h.TargetHealth.RecordFailure(target.Hash, time.Now())
		return
	}
	c.progress.Outcome = Responded
	now := time.Now()
	c.h.TargetHealth.RecordSuccess(target.Hash, now)
	c.recordComplete(ctx, target, response.Head)
	if response.Head.Status/100 == 2 && !c.route.Streaming {
		c.recordPace(target, now.Sub(c.attemptStart), now)
	}
}

// recordUnusable records a response that must not be relayed.
func (c *call) recordUnusable(target *state.Target, reason string) {
	c.buffered = nil
	c.progress.Outcome = Unknown
	c.reason = reason
	c.h.TargetHealth.RecordFailure(target.Hash, time.Now())
}

// recordNotExecuted records a response that proves that the target has not
// executed the call.
func (c *call) recordNotExecuted(target *state.Target, status int) {
	c.progress.Outcome = NotExecuted
	c.reason = "target-refused"
	now := time.Now()
	if status == http.StatusMisdirectedRequest {
		// Another server now listens on the address.
		c.reason = "target-replaced"
		c.h.TargetHealth.RecordUnreachable(target.Hash, now)
		return
	}
	c.h.TargetHealth.RecordFailure(target.Hash, now)
}

// recordBodyError records a response whose body could not be read completely.
func (c *call) recordBodyError(ctx context.Context, target *state.Target, err error) {
	if errors.Is(err, errResponseMemory) {
		// The target is not at fault.
		c.progress.PossibleExecutions++
		c.progress.Outcome = Unknown
		c.reason = "response-memory"
		return
	}
	reason := "answer-cut"
	c.logIncomplete(target, err)
	c.recordCut(ctx, target)
	if errors.Is(err, http1client.ErrBodyTooLarge) {
		reason = "answer-too-large"
	}
	c.recordFailure(ctx, target, false, reason)
}

// relayStream relays events as they arrive, complete ones only, so that a stream
// can be resumed after the last one. Only a complete event counts as progress.
func (c *call) relayStream(ctx context.Context, target *state.Target, tracked *targetstats.Call, response *http1client.Response) {
	buffer := make([]byte, streamReadBytes)
	prefilled := false
	c.stream.beginAttempt(c.writer.Started())
	var pace streamPace
	for {
		n, err := response.Body.Read(buffer)
		events, invalid := c.stream.add(buffer[:n])
		if len(events) > 0 {
			now := time.Now()
			c.unresumable.Store(c.stream.unnumbered)
			c.recordProgress(tracked, now)
			c.recordSound(response.Head, now)
			if !prefilled {
				prefilled = true
				c.h.CacheIndex.MarkPrefilled(affinity.Shared(c.parts), target.Hash, now)
			}
			c.writeEvents(response.Head, events)
			if perEvent, ok := pace.add(countEvents(events), now); ok {
				c.recordPace(target, perEvent, now)
			}
		}
		if c.writer.WriteFailed() {
			c.h.Pool.Discard(response)
			c.reason = "caller-gone"
			c.progress.PossibleExecutions++
			c.progress.Outcome = Responded
			return
		}
		if invalid != nil {
			c.logIncomplete(target, invalid)
			c.stream.reset()
			c.h.Pool.Discard(response)
			c.recordFailure(ctx, target, false, invalidReason(invalid))
			return
		}
		if err == nil {
			continue
		}
		if err = checkWhole(response.Head, err, c.stream.end()); err != nil {
			c.logIncomplete(target, err)
			c.stream.reset()
			c.h.Pool.Discard(response)
			c.recordCut(ctx, target)
			c.recordFailure(ctx, target, false, "stream-cut")
			return
		}
		c.writeEvents(response.Head, c.stream.pending) // Empty lines.
		c.finishStream(target, response)
		c.recordComplete(ctx, target, response.Head)
		return
	}
}

// invalidReason returns the reason of a call whose stream holds invalid events.
func invalidReason(err error) string {
	switch {
	case errors.Is(err, errEventsRepeated):
		return "stream-repeats"
	case errors.Is(err, errEventsMissing):
		return "stream-skips"
	case errors.Is(err, errForeignEvent):
		return "foreign-event"
	case errors.Is(err, errNotAnEvent):
		return "not-an-event"
	}
	return "event-too-large"
}

// writeEvents sends complete events to the caller, with the response head first if needed.
func (c *call) writeEvents(head *http1.Response, data []byte) {
	if len(data) == 0 {
		return
	}
	c.writeHead(head)
	c.writer.WriteChunk(data)
}

// writeHead sends the response head unless one was sent. The head of the first
// target's response is kept when a stream is resumed on another target.
func (c *call) writeHead(head *http1.Response) {
	if !c.writer.Started() {
		c.begun.Store(true)
		c.status, c.streamType, c.firstEvent = head.Status, mediaType(head), time.Now()
		c.writer.StartChunked(head.Status, head.Reason, endToEndFields(head))
	}
}

func (c *call) finishStream(target *state.Target, response *http1client.Response) {
	c.writeHead(response.Head)
	c.writer.EndChunked()
	c.h.Pool.Release(response)
	c.progress.PossibleExecutions++
	c.progress.Outcome = Responded
	c.h.TargetHealth.RecordSuccess(target.Hash, time.Now())
}
