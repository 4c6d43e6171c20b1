package forward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/policy/answermemory"
	"hickoryrock/internal/policy/targetstats"
)

const (
	// reasonSlowCaller is the reason of calls that end because their caller reads too slowly.
	reasonSlowCaller = "slow-caller"

	// maxBacklogBytes bounds what is held for one slow caller, as maxBufferedBodyBytes does for a
	// body, and maxBacklogFraction as a fraction of the memory for all answers, so that a few slow
	// callers do not use it up.
	maxBacklogBytes    = 1 << 20
	maxBacklogFraction = 0.125
	// unreadMemory is how long after a response was not read its end is attributed to the caller.
	// Targets cut off a response after it was not read for some seconds.
	unreadMemory = 10 * time.Second

	// slowMemory means that the memory for answers is used up.
	slowMemory slowEnd = "memory"
	// slowStalled means that the caller has taken nothing for a bounded time.
	slowStalled slowEnd = "stalled"
	// slowUnread means that the target's response was not read while the caller's backlog was full,
	// and ended meanwhile or reached the deadline.
	slowUnread slowEnd = "unread"
)

var errSlowCaller = errors.New("the caller reads too slowly")

type (
	// slowEnd is why an answer to a slow caller has ended, in kebab case.
	slowEnd string

	// slowCaller is what a call knows about a caller that does not keep up. All of it is unset for
	// one that does.
	slowCaller struct {
		// memory is what the caller has yet to take; nil if it has always kept up. It outlasts
		// attempts, since a stream may be resumed meanwhile.
		memory *answermemory.Answer
		// target and tracked are those of the present attempt. attemptCause returns why it must end,
		// or nil.
		target       uint64
		tracked      *targetstats.Call
		attemptCause func() error
		// waiting is set while the target's response is not read because the backlog is full.
		// waitedAt is when it was so last in the present attempt, or zero.
		waiting  atomic.Bool
		waitedAt time.Time
		// hasBody is set while a whole response is written to a slow caller.
		hasBody atomic.Bool
		// backlogBytes is what is held for the caller.
		backlogBytes atomic.Int64
		// ended is why the answer has ended because of its caller, or nil.
		ended atomic.Pointer[slowEnd]

		// mu guards cancel, which ends the attempt in progress.
		mu     sync.Mutex
		cancel context.CancelCauseFunc
	}

	// slowCallerHooks is the call as its response writer sees it.
	slowCallerHooks call
)

var _ ingress.SlowCaller = (*slowCallerHooks)(nil)

// beginSlowCaller prepares for an attempt during which the caller may read slowly. cancel ends it.
func (c *call) beginSlowCaller(ctx context.Context, target uint64, tracked *targetstats.Call, cancel context.CancelCauseFunc) {
	s := &c.slow
	s.target, s.tracked, s.waitedAt = target, tracked, time.Time{}
	s.attemptCause = func() error { return context.Cause(ctx) }
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
	if s.ended.Load() != nil {
		cancel(errSlowCaller)
	}
}

// HoldBacklog implements ingress.SlowCaller.
func (h *slowCallerHooks) HoldBacklog(bytes int) bool {
	s := &h.slow
	if s.memory == nil {
		metrics.GetOrCreateCounter(`hickoryrock_slow_callers_total`).Inc()
		s.memory = h.h.answerMemory.BeginBacklog(s.target, func() { (*call)(h).endSlow(slowMemory) })
	}
	if !s.memory.Add(bytes) {
		return false // The budget has called endSlow.
	}
	s.backlogBytes.Add(int64(bytes))
	return true
}

// ReleaseBacklog implements ingress.SlowCaller.
func (h *slowCallerHooks) ReleaseBacklog(bytes int) {
	h.slow.memory.Remove(bytes)
	h.slow.backlogBytes.Add(-int64(bytes))
}

// MaxBacklog implements ingress.SlowCaller.
func (h *slowCallerHooks) MaxBacklog() int {
	return min(maxBacklogBytes, int(maxBacklogFraction*float64(h.h.ResponseMemory)))
}

// AwaitRoom implements ingress.SlowCaller. The target must not seem silent while this router does not
// read what it sends.
func (h *slowCallerHooks) AwaitRoom() bool {
	s := &h.slow
	s.waiting.Store(true)
	s.waitedAt = time.Now()
	(*call)(h).recordProgress(s.tracked, s.waitedAt)
	cause := s.attemptCause()
	if cause != nil && !isEndOfConnection(cause) {
		(*call)(h).endSlow(slowUnread)
	}
	return cause == nil
}

// isEndOfConnection reports whether an attempt ends with the caller's connection or the router.
func isEndOfConnection(cause error) bool {
	return errors.Is(cause, ingress.ErrCallerClosed) || errors.Is(cause, ingress.ErrStopped)
}

// BeginSlowBody implements ingress.SlowCaller.
func (h *slowCallerHooks) BeginSlowBody() {
	metrics.GetOrCreateCounter(`hickoryrock_slow_callers_total`).Inc()
	h.slow.hasBody.Store(true)
	h.memory.SetSlow(true)
}

// CallerStalled implements ingress.SlowCaller.
func (h *slowCallerHooks) CallerStalled() { (*call)(h).endSlow(slowStalled) }

// endSlow ends the answer because its caller reads too slowly. It may be called with the lock of the
// memory's budget held.
func (c *call) endSlow(why slowEnd) {
	s := &c.slow
	if !s.ended.CompareAndSwap(nil, &why) {
		return
	}
	c.writer.Abandon()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(errSlowCaller)
	}
}

// resumeReading is called when the caller has taken what was written, or it is held.
func (c *call) resumeReading() {
	if c.slow.waiting.Load() {
		c.slow.waitedAt = time.Now()
		c.recordProgress(c.slow.tracked, c.slow.waitedAt)
		c.slow.waiting.Store(false)
	}
}

// isBehind reports whether the times at which events are relayed depend on the caller.
func (c *call) isBehind() bool { return c.wasUnread() || c.writer.IsBehind() }

// hasKeptUp reports whether how long the call took is independent of its caller.
func (c *call) hasKeptUp() bool { return c.slow.memory == nil && !c.slow.hasBody.Load() }

// wasUnread reports whether the target may have cut its response off because it was not read for a
// while. What it has sent before that may be read later.
func (c *call) wasUnread() bool {
	return !c.slow.waitedAt.IsZero() && (c.writer.IsBehind() || time.Since(c.slow.waitedAt) < unreadMemory)
}

// attributeToCaller changes an end that follows from a slow caller: it says nothing about the target,
// and nothing follows it. The end of a response that was not read for a while follows from its
// caller, since targets cut off such responses.
func (c *call) attributeToCaller(ctx context.Context, end *attemptEnd) {
	if isEndOfConnection(context.Cause(ctx)) {
		return
	}
	if end.isCut && c.wasUnread() {
		c.endSlow(slowUnread)
	}
	if c.slow.ended.Load() == nil || end.head != nil {
		return
	}
	*end = attemptEnd{outcome: Responded, stage: end.stage, reason: reasonSlowCaller}
	c.buffered = nil
}

// finishSlowCaller waits until a slow caller has taken the response, or ends it.
func (c *call) finishSlowCaller(ctx context.Context) {
	c.slow.mu.Lock()
	c.slow.cancel = nil
	c.slow.mu.Unlock()
	c.writer.Flush(ctx)
	defer c.slow.memory.Release()
	why := c.slow.ended.Load()
	if why == nil {
		return
	}
	c.reason = reasonSlowCaller
	metrics.GetOrCreateCounter(`hickoryrock_slow_callers_ended_total{why="` + string(*why) + `"}`).Inc()
	c.h.Log.Warn().Str("call", c.headers.ID).Str("why", string(*why)).Int("max-backlog-bytes", (*slowCallerHooks)(c).MaxBacklog()).
		Int64("used-bytes", c.h.answerMemory.Used()).Int64("limit-bytes", c.h.ResponseMemory).
		Int64("took-ms", time.Since(c.start).Milliseconds()).Msg("answer ended: its caller reads too slowly")
	c.writer.Abort()
}
