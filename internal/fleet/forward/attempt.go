package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/standing"
	"hickoryrock/internal/target/exchange"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
)

const (
	reasonNoTarget = "no-target"
	reasonSilent   = "target-silent"
	reasonTimeout  = "timeout"

	// silentShare of its objective is how long a target with calls in flight may
	// say nothing at all before it is taken to be gone; silentLeast is many steps of an engine.
	silentShare = 0.5
	silentLeast = 100 * time.Millisecond
	// pauseShare of the longest pause between a stream's events that the route
	// allows is no silence either.
	pauseShare = 1.2
	// repeatShare of its objective is how long a repeatable call waits for an
	// answer before it is sent to another target, which then still answers in time.
	repeatShare = 0.5
	// overdueLeast is the shortest time after which a call without a sign counts
	// against its target.
	overdueLeast = 100 * time.Millisecond
	// readPerMillisecond is a cautious number of tokens that an engine reads in a millisecond.
	readPerMillisecond = 20
	// watchEvery is how often a waiting attempt looks at its target's silence.
	watchEvery = 25 * time.Millisecond
	// readBytes is the size of one read of a stream.
	readBytes = 8 << 10
)

// attempt sends the call to one target and notes what became of it.
func (c *call) attempt(ctx context.Context) {
	target := c.choose()
	if target == nil {
		c.progress.Fate = NotRun
		c.reason = reasonNoTarget
		return
	}
	c.tried[target.Hash] = true
	c.sentTo = append(c.sentTo, target.ID)
	c.progress.Sends++
	ticket := c.h.Book.Begin(target.Hash, c.choice.Unread, time.Now())
	defer ticket.End()
	overdue := time.AfterFunc(overdueAfter(c.route.Objective, c.choice), func() { ticket.Overdue(time.Now()) })
	defer overdue.Stop()

	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := c.watch(target, cancel)
	defer stop()

	left := time.Until(c.deadline)
	fields := platform.TargetFields(c.request, platform.Sending{
		Target: target, Source: c.source, Workspace: c.workspace.Name,
		WithKey: c.view.Configuration.Workspaces == nil, Left: left, Resume: c.events.last,
	})
	answer, failure := c.h.Pool.Do(attemptCtx, endpoint(target), exchange.Call{
		Method: c.request.Method, Target: c.request.Target, Fields: fields, Body: c.body, Owns: c.owns,
	})
	if failure != nil {
		c.failed(attemptCtx, target, failure.Certainty == exchange.NotSent, failure.Reason)
		return
	}
	c.relay(attemptCtx, target, ticket, answer)
}

// overdueAfter returns when a call without a sign counts against its target.
// Prompts that the target has to read take their time on a sound one, too.
func overdueAfter(objective time.Duration, choice affinity.Choice) time.Duration {
	reading := time.Duration(choice.Ahead+choice.Unread) * time.Millisecond / readPerMillisecond
	return max(objective, overdueLeast) + reading
}

func (c *call) owns(fields []http1.Field) exchange.Ownership {
	switch platform.DecodeVerdict(0, fields).CallID {
	case c.info.ID:
		return exchange.Own
	case "":
		return exchange.Unnamed
	}
	return exchange.Earlier
}

func endpoint(t *state.Target) exchange.Endpoint {
	return exchange.Endpoint{Address: t.Address, Key: t.Address + "/" + strconv.FormatUint(t.Hash, 16)}
}

// choose picks the target of the next attempt, or nil.
func (c *call) choose() *state.Target {
	now := time.Now()
	// An earlier attempt may have taken long: its targets may have left since.
	c.targets = c.h.View().Targets
	targets := c.targets.ByService[c.service]
	limit := c.silentLimit()
	summaries := c.h.Book.Summaries(state.Hashes(targets), now)
	candidates := make([]affinity.Candidate, len(targets))
	for i, t := range targets {
		candidates[i] = affinity.Candidate{
			Target: t.Hash, Calls: summaries[i].Calls, Unread: summaries[i].Unread,
			Aside: summaries[i].Aside || c.h.Book.Silent(t.Hash, now) > limit,
			Tried: c.tried[t.Hash], Leaving: t.Leaving,
			FailureDomain: t.FailureDomain, Near: t.FailureDomain == c.h.FailureDomain,
		}
	}
	choice := c.h.Map.Choose(affinity.Request{
		Parts: c.parts, Seed: xxhash.Sum64String(c.info.ID), Factor: c.h.LoadFactor,
		Fetch: c.view.Configuration.Services[c.service].Fetch,
	}, candidates, now)
	if choice.Index < 0 {
		return nil
	}
	c.choice = choice
	c.source = nil
	if choice.Source >= 0 {
		c.source = targets[choice.Source]
	}
	return targets[choice.Index]
}

// silentLimit is how long a target may say nothing: a pause between events that
// the route allows is no silence.
func (c *call) silentLimit() time.Duration {
	limit := max(silentLeast, time.Duration(silentShare*float64(c.route.Objective)))
	return max(limit, time.Duration(pauseShare*float64(c.route.EventGap)))
}

// watch ends an attempt that may be repeated when its target has gone silent
// and another one can take the call.
func (c *call) watch(target *state.Target, cancel context.CancelCauseFunc) func() {
	if c.route.RunsOnce() || c.progress.Runs+1 >= c.route.MaxAttempts {
		return func() {}
	}
	silent := func(now time.Time) bool { return c.h.Book.Silent(target.Hash, now) > c.silentLimit() }
	if !c.route.Streaming {
		limit := time.Duration(repeatShare * float64(c.route.Objective))
		if limit <= 0 {
			return func() {}
		}
		begun := time.Now()
		silent = func(now time.Time) bool { return now.Sub(begun) >= limit }
	}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				if silent(now) && c.another(now) && c.reserve(now) {
					cancel(errSilent)
					return
				}
			}
		}
	}()
	return func() {
		close(done)
		<-ended // The next attempt changes what the watch goes by.
	}
}

// another reports whether a target that has not had the call can take it.
func (c *call) another(now time.Time) bool {
	targets := c.h.View().Targets.ByService[c.service]
	summaries := c.h.Book.Summaries(state.Hashes(targets), now)
	for i, t := range targets {
		if !t.Leaving && !c.tried[t.Hash] && !summaries[i].Aside {
			return true
		}
	}
	return false
}

// failed notes an attempt without a usable answer.
func (c *call) failed(ctx context.Context, target *state.Target, notRun bool, reason string) {
	c.reason = reason
	c.progress.Fate = Unknown
	if notRun {
		c.progress.Fate = NotRun
	} else {
		c.progress.Runs++
	}
	now := time.Now()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ingress.ErrGone):
		return
	case errors.Is(cause, errSilent):
		c.reason = reasonSilent
	case errors.Is(cause, errTimeout):
		c.reason = reasonTimeout
	}
	if reason == exchange.ReasonRefused || reason == exchange.ReasonNoConnection {
		c.h.Book.Unreachable(target.Hash, now)
		c.h.Pool.Forget(endpoint(target))
		c.h.Log.Warn().Str("call", c.info.ID).Str("target", target.ID).Str("reason", reason).Msg("target set aside")
		return
	}
	c.h.Book.Failed(target.Hash, now)
}

// relay passes a target's answer on.
func (c *call) relay(ctx context.Context, target *state.Target, ticket *standing.Ticket, a *exchange.Answer) {
	verdict := platform.DecodeVerdict(a.Head.Status, a.Head.Fields)
	if verdict.HasLoad {
		c.load, c.hasLoad = verdict.Load, true
	}
	ticket.Sign(time.Now())
	if verdict.NotRun {
		c.drain(a)
		c.notRun(target, a.Head.Status)
		return
	}
	if a.Head.Status/100 == 2 && !verdict.Sealed {
		c.h.Pool.Drop(a)
		c.progress.Runs++
		c.answerless(target, "unsealed-answer")
		return
	}
	if c.route.Streaming && a.Head.Status == http.StatusOK {
		c.relayStream(ctx, target, ticket, a)
		return
	}
	body, err := exchange.ReadWhole(a, wholeAnswerBytes)
	if err != nil {
		c.h.Pool.Drop(a)
		c.failed(ctx, target, false, "answer-cut")
		return
	}
	c.h.Pool.Done(a)
	c.progress.Runs++
	c.whole = &wholeAnswer{head: a.Head, body: body}
	if c.answer.Begun() {
		// A resumed stream cannot end in another kind of answer.
		c.answerless(target, "no-stream")
		return
	}
	if a.Head.Status >= 500 {
		c.progress.Fate = FailedAtTarget
		c.reason = "target-failed"
		c.h.Book.Failed(target.Hash, time.Now())
		return
	}
	c.progress.Fate = Answered
	c.h.Book.Succeeded(target.Hash, time.Now())
}

// answerless notes an answer that cannot be passed on.
func (c *call) answerless(target *state.Target, reason string) {
	c.whole = nil
	c.progress.Fate = Unknown
	c.reason = reason
	c.h.Book.Failed(target.Hash, time.Now())
}

// notRun notes a target's proof that it has not run the call.
func (c *call) notRun(target *state.Target, status int) {
	c.progress.Fate = NotRun
	c.reason = "target-refused"
	now := time.Now()
	if status == http.StatusMisdirectedRequest {
		// Another server has the address now.
		c.reason = "target-replaced"
		c.h.Book.Unreachable(target.Hash, now)
		return
	}
	c.h.Book.Failed(target.Hash, now)
}

// drain reads an answer that is not needed so that its connection can be kept.
func (c *call) drain(a *exchange.Answer) {
	if a.Head.Length == http1.UntilClose {
		c.h.Pool.Drop(a)
		return
	}
	if _, err := exchange.ReadWhole(a, wholeAnswerBytes); err != nil {
		c.h.Pool.Drop(a)
		return
	}
	c.h.Pool.Done(a)
}

// relayStream passes events on as they arrive, whole ones only.
func (c *call) relayStream(ctx context.Context, target *state.Target, ticket *standing.Ticket, a *exchange.Answer) {
	buffer := make([]byte, readBytes)
	promptRead := false
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			now := time.Now()
			ticket.Sign(now)
			if !promptRead {
				promptRead = true
				c.h.Map.Read(affinity.Shared(c.parts), target.Hash, now)
			}
			c.pass(a.Head, c.events.add(buffer[:n]))
		}
		if c.answer.Failed() {
			c.h.Pool.Drop(a)
			c.reason = "caller-gone"
			c.progress.Runs++
			c.progress.Fate = Answered
			return
		}
		if errors.Is(err, io.EOF) {
			c.pass(a.Head, c.events.rest())
			c.finishStream(target, a)
			return
		}
		if err != nil {
			c.events.reset()
			c.h.Pool.Drop(a)
			c.failed(ctx, target, false, "stream-cut")
			return
		}
	}
}

func (c *call) pass(head *http1.Response, data []byte) {
	if len(data) == 0 {
		return
	}
	c.begin(head)
	c.answer.Chunk(data)
}

// begin sends the head of the first target's answer, which stays for the whole stream.
func (c *call) begin(head *http1.Response) {
	if !c.answer.Begun() {
		c.status, c.first = head.Status, time.Now()
		c.answer.Start(head.Status, head.Reason, passFields(head))
	}
}

func (c *call) finishStream(target *state.Target, a *exchange.Answer) {
	c.begin(a.Head)
	c.answer.End()
	c.h.Pool.Done(a)
	c.progress.Runs++
	c.progress.Fate = Answered
	c.h.Book.Succeeded(target.Hash, time.Now())
}
