package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/eligibility"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/internal/target/http1client"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
)

const (
	reasonSilent       = "target-silent"
	reasonTimeout      = "timeout"
	reasonTargetFailed = "target-failed"

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
	target := c.selectTarget(ctx)
	if target == nil {
		c.progress.Outcome = NotExecuted
		return
	}
	c.buffered = nil // The response of the attempt before is not used.
	c.tried[target.Hash] = true
	c.sentTo = append(c.sentTo, target.ID)
	c.progress.Attempts++
	tracked := c.h.TargetHealth.Begin(target.Hash, c.placement.PrefillTokens, time.Now())
	defer tracked.End()
	if c.isPlain() {
		c.h.LoadFigures.Sent(target.Hash, time.Now())
	}
	overdue := time.AfterFunc(overdueAfter(c.route.LatencyObjective, c.placement), func() { tracked.Overdue(time.Now()) })
	defer overdue.Stop()

	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.memory.Release()
	c.memory, c.headBytes = c.h.answerMemory.Begin(target.Hash, func() { c.endForMemory(cancel) }), 0
	c.beginSlowCaller(attemptCtx, target.Hash, tracked, cancel)
	c.lastProgress.Store(0)
	c.attemptStart = time.Now()
	c.hasLoad, c.targetStatus = false, 0
	stop := c.watchSilence(target, cancel)
	defer stop()
	end := c.exchange(attemptCtx, target, tracked)
	c.recordEnd(attemptCtx, target, end)
	c.releaseSlot(end)
}

// selectTarget returns the target of the next attempt: the one at which the coordinator of the
// service has granted a slot, or else the one that this router chooses. It returns nil and sets
// the reason if there is none.
func (c *call) selectTarget(ctx context.Context) *state.Target {
	if c.usesSlots() {
		if target, isDecided := c.acquireSlot(ctx); isDecided {
			return target
		}
	}
	target := c.choose()
	if target == nil {
		refusal := c.refusal(time.Now())
		c.reason, c.retryAfter = refusal.Reason.String(), refusal.Wait
	}
	return target
}

// exchange sends the call to a target and relays the response.
func (c *call) exchange(ctx context.Context, target *state.Target, tracked *targetstats.Call) attemptEnd {
	remaining := time.Until(c.deadline)
	fields := platform.TargetRequestFields(c.request, platform.TargetRequest{
		Target: target, CacheSource: c.cacheSource, Workspace: c.workspace.Name,
		ForwardKey: c.view.Configuration.Workspaces == nil, Remaining: remaining, LastEventID: c.stream.lastID,
		Priority: c.priority(), HasPriority: c.h.HasPressure && c.hasEngines(),
	})
	response, failure := c.h.Pool.Do(ctx, endpoint(target), http1client.Call{
		Method: c.request.Method, Target: c.request.Target, Fields: fields, Body: c.body, Match: c.matchResponse,
		NewConnection: c.headers.ID == "", ReserveHead: c.holdHead,
	})
	if failure != nil {
		c.headAt = time.Since(c.attemptStart)
		return failureEnd(failure)
	}
	return c.relay(target, tracked, response)
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
	c.h.updatePace(c.service, targets, summaries, now)
	candidates := make([]affinity.Candidate, len(targets))
	for i, t := range targets {
		candidates[i] = affinity.Candidate{
			Target: t.Hash, Calls: summaries[i].Calls, PendingTokens: summaries[i].PendingTokens, Slowness: summaries[i].Slowness,
			ExpectedTime: c.expectedTime(t, now),
			Ejected:      summaries[i].Ejected || c.h.TargetHealth.SilentFor(t.Hash, now) > limit,
			Tried:        c.tried[t.Hash], Draining: t.Draining || t.Evacuated, Exhausted: !c.h.maySupplyCache(t, now),
			FailureDomain: t.FailureDomain, SameDomain: t.FailureDomain == c.h.FailureDomain,
		}
	}
	request := affinity.Request{
		Parts: c.parts, Seed: xxhash.Sum64String(c.headers.ID), Factor: c.h.LoadFactor,
		Fetch: c.view.Configuration.Services[c.service].CacheTransfer, StaleCounts: c.hasStaleCounts(),
	}
	choice := c.assign(request, targets, candidates, now)
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

// assign chooses one of the candidates, which describe the targets in the same order, and begins
// the paces of the choice. The cache index records only this choice, not one that a pace forbids.
func (c *call) assign(r affinity.Request, targets []*state.Target, candidates []affinity.Candidate, now time.Time) affinity.Choice {
	if len(r.Parts) > 0 {
		c.h.assigning.Lock()
		defer c.h.assigning.Unlock()
	}
	for {
		choice := c.h.CacheIndex.Choose(r, candidates, now)
		if choice.Index < 0 {
			return choice
		}
		if taken := c.beginPaces(targets, choice, now); taken >= 0 {
			candidates[taken].Exhausted = true // Another call has used its pace meanwhile.
			continue
		}
		c.h.CacheIndex.Assign(affinity.Shared(r.Parts), targets[choice.Index].Hash, choice.PrefillTokens, now)
		return choice
	}
}

// maySupplyCache reports whether requests may reach a target, at least fetches by other targets from
// its cache. In an evacuated failure domain they may only for the first part of the time in
// which calls may still arrive there.
func (h *Handler) maySupplyCache(t *state.Target, now time.Time) bool {
	if t.Leaving || (t.Evacuated && now.Sub(t.EvacuatedAt) >= h.EvacuatedFetchTime) {
		return false
	}
	return h.eligibility.CheckRules(t, now).Reason == eligibility.Eligible
}

// relay handles a target's response: it relays a stream, and buffers any other
// response for the decision that follows.
func (c *call) relay(target *state.Target, tracked *targetstats.Call, response *http1client.Response) attemptEnd {
	headers := platform.DecodeResponseHeaders(response.Head.Status, response.Head.Fields)
	// An answer with 421 is from another server, whose load says nothing of this service.
	if headers.HasLoad && response.Head.Status != http.StatusMisdirectedRequest {
		c.load, c.hasLoad = headers.Load, true
	}
	c.observeTarget(target, response.Head.Status, headers)
	c.recordProgress(tracked, time.Now())
	c.framing, c.targetStatus = framingName(response.Head), response.Head.Status
	c.headAt = time.Since(c.attemptStart)
	if reason := c.doubt(response.Head.Status, headers); reason != "" {
		c.h.Pool.Discard(response)
		return unusableEnd(stageBody, reason)
	}
	if headers.NotExecuted {
		// The head is the proof: its body may be slow and must not delay a retry.
		c.h.Pool.Drain(response)
		return notExecutedEnd(response.Head.Status)
	}
	if c.writer.Started() && !c.continuesStream(response.Head) {
		c.h.Pool.Drain(response)
		return unusableEnd(stageBody, "no-stream")
	}
	if c.isStream(response.Head) {
		return c.relayStream(target, tracked, response)
	}
	body, err := c.readBody(response)
	if err = checkWholeBody(response.Head, body, err); err != nil {
		c.h.Pool.Discard(response)
		if !errors.Is(err, errResponseMemory) {
			c.logIncomplete(target, err)
		}
		return bodyEnd(err)
	}
	c.h.Pool.Release(response)
	if c.isUnprovenRefusal(response.Head.Status, headers) {
		return failedEnd(reasonUnprovenRefusal)
	}
	c.buffered = &bufferedResponse{head: response.Head, body: body}
	if response.Head.Status >= 500 {
		return failedEnd(reasonTargetFailed)
	}
	if now := time.Now(); response.Head.Status/100 == 2 && !c.route.Streaming {
		c.recordPace(target, now.Sub(c.attemptStart), now)
	}
	return wholeEnd(stageBody, response.Head)
}

// relayStream relays events as they arrive, complete ones only, so that a stream
// can be resumed after the last one. Only a complete event counts as progress.
func (c *call) relayStream(target *state.Target, tracked *targetstats.Call, response *http1client.Response) attemptEnd {
	buffer := make([]byte, streamReadBytes)
	prefilled := false
	c.stream.beginAttempt(c.writer.Started(), c.holdBody)
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
			if perEvent, ok := pace.add(countEvents(events), now); ok && !c.isBehind() {
				c.recordPace(target, perEvent, now)
			}
		}
		if c.writer.WriteFailed() {
			c.h.Pool.Discard(response)
			return attemptEnd{outcome: Responded, stage: stageEvents, reason: reasonCallerGone}
		}
		if invalid != nil {
			c.logIncomplete(target, invalid)
			c.stream.reset()
			c.h.Pool.Discard(response)
			return unusableEnd(stageEvents, invalidReason(invalid))
		}
		if err == nil {
			continue
		}
		if err = checkWhole(response.Head, err, c.stream.end()); err != nil {
			c.logIncomplete(target, err)
			c.stream.reset()
			c.h.Pool.Discard(response)
			return attemptEnd{outcome: Unknown, stage: stageEvents, reason: "stream-cut", isCut: true, blame: blameFailure}
		}
		c.writeEvents(response.Head, c.stream.pending) // Empty lines.
		c.writeHead(response.Head)
		c.writer.EndChunked()
		c.h.Pool.Release(response)
		return wholeEnd(stageEvents, response.Head)
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
	case errors.Is(err, errResponseMemory):
		return http1client.ReasonNoMemory
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
	c.resumeReading()
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
