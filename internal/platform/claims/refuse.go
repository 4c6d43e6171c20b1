package claims

import (
	"errors"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/platform/objects"
)

// prune removes claims that were given up and fails outcomes that are past their
// deadline.
func (c *committer) prune(b *batch) {
	claims := b.claims[:0]
	for _, r := range b.claims {
		if r.state.Load() == requestGivenUp {
			c.abandon(r)
			continue
		}
		claims = append(claims, r)
	}
	b.claims = claims

	now := c.claimStore.opts.Now()
	finishes := b.finishes[:0]
	for _, f := range b.finishes {
		if now.After(f.deadline) {
			f.done <- errNotRecorded
			continue
		}
		finishes = append(finishes, f)
	}
	b.finishes = finishes
}

// abandon records that no call will be dispatched with a request's nonce, and enqueues
// a release of the key in case the claim was committed. It only applies to nonces that
// this claim store chose: a caller that chose its own nonce may still dispatch.
func (c *committer) abandon(r *claimRequest) {
	if !r.writeAttempted || !r.ownNonce || c.abandoned[r.call.Nonce] {
		return
	}
	c.abandoned[r.call.Nonce] = true
	release := newFinishRequest(r.call.claim(), Record{Status: outcome.NotRun}, c.claimStore.finishDeadline())
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.queue.finishes = append(c.queue.finishes, release)
}

// handlePlatformDown refuses all waiting claims, and new ones for the RetryAfter
// period.
func (c *committer) handlePlatformDown(b *batch) {
	retryAfter := c.claimStore.opts.RetryAfter
	c.shard.mu.Lock()
	c.shard.downUntil = c.claimStore.opts.Now().Add(retryAfter)
	c.shard.mu.Unlock()
	c.mergeQueued(b)
	c.refuseAll(b, outcome.ReasonPlatformUnavailable, "the platform cannot be reached")
}

// refuseAll refuses the claims of a batch. Its outcomes remain in the batch.
func (c *committer) refuseAll(b *batch, reason outcome.Reason, detail string) {
	for _, r := range b.claims {
		r.decide(r.refusal(reason, detail, c.claimStore.opts.RetryAfter))
		c.abandon(r)
	}
	b.claims = nil
}

// failAll refuses the claims of a batch and of the queue, and fails their outcomes with
// err.
func (c *committer) failAll(b *batch, err error) {
	c.mergeQueued(b)
	c.refuseAll(b, outcome.ReasonLeaving, "the router is shutting down")
	for _, f := range b.finishes {
		f.done <- err
	}
	b.finishes = nil
}

// rateLimitDelay returns the delay that the platform asked for, or zero.
func rateLimitDelay(err error) time.Duration {
	var limited *objects.RateLimitedError
	if errors.As(err, &limited) {
		return limited.RetryAfter
	}
	return 0
}
