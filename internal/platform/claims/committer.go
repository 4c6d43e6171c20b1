package claims

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/platform/objects"
)

// errStale means that a decision was made on a cached document and has to be repeated
// on a newly read one.
var errStale = errors.New("cached claims may be stale")

type (
	// shard holds the committers of one shard, with its own lock and its own rate limit
	// of commits.
	shard struct {
		mu         sync.Mutex
		committers map[objects.Key]*committer
		// downUntil is when new claims are accepted again after the platform could not
		// be reached.
		downUntil time.Time
		limiter   *rate.Limiter
	}

	// committer commits the requests for one claims object in batches: requests that
	// arrive during a commit are queued for the next one, and an idle committer commits
	// at once.
	committer struct {
		claimStore *platformStore
		shard      *shard
		key        objects.Key
		bucket     bucket
		// queue and running are guarded by the shard's lock.
		queue   batch
		running bool

		// The fields below are only used by the goroutine that runs the committer.

		// doc is the document at version, or nil if it has to be read.
		doc     *document
		version uint64
		// existenceChecked is set once the object was read or its creation was
		// attempted.
		existenceChecked bool
		// freshlyRead means that doc was read during the current commit.
		freshlyRead bool
		// verifiedIncarnation is the incarnation that is known to be the first one
		// under the object's name.
		verifiedIncarnation string
		// abandoned holds the nonces with which no call will be dispatched.
		abandoned map[string]bool
	}

	// pendingDecision is a decision that takes effect once its batch is committed.
	pendingDecision struct {
		request  *claimRequest
		decision Decision
	}
)

// run commits batches until the queue is empty.
func (c *committer) run(ctx context.Context) {
	for {
		b, more := c.nextBatch()
		if !more {
			return
		}
		c.commit(ctx, &b)
	}
}

// nextBatch takes the queued requests. If there are none, the committer becomes idle.
func (c *committer) nextBatch() (batch, bool) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	b := c.queue
	c.queue = batch{}
	c.running = !b.empty()
	return b, c.running
}

// mergeQueued adds the requests that were queued since to the batch of the next
// attempt.
func (c *committer) mergeQueued(b *batch) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	b.add(c.queue)
	c.queue = batch{}
}

// commit retries a batch until every claim is decided and every outcome is recorded or
// past its deadline.
func (c *committer) commit(ctx context.Context, b *batch) {
	for failures := 0; ; {
		// Under load, requests accumulate while this waits for the shard's rate limit.
		if c.shard.limiter.Wait(ctx) == nil {
			c.mergeQueued(b)
		}
		c.prune(b)
		if b.empty() {
			return
		}
		start := c.claimStore.opts.Now()
		err := c.tryCommit(ctx, b)
		if errors.Is(err, errStale) {
			err = c.tryCommit(ctx, b)
		}
		timedOut := c.claimStore.opts.Now().Sub(start) >= c.claimStore.opts.ClaimTimeout
		switch {
		case err == nil:
			return
		case ctx.Err() != nil:
			c.refuseAll(b, outcome.ReasonLeaving, "the router is shutting down")
			c.failAll(b, err)
			return
		case errors.Is(err, objects.ErrUnavailable) || timedOut:
			c.handlePlatformDown(b)
		case errors.Is(err, objects.ErrInvalid):
			c.claimStore.opts.Logger.Error().Err(err).Str("object", c.key.Name).Msg("platform rejected claims commit")
			c.refuseAll(b, outcome.ReasonInternal, "the platform rejected the claim")
		}
		failures++
		countCommitRetry(err)
		_ = objects.Sleep(ctx, max(c.claimStore.opts.Backoff.Delay(failures), rateLimitDelay(err)))
	}
}

// tryCommit makes the decisions of a batch on the current document and writes it. Every
// step can be repeated: a claim that is found with its own nonce is held.
func (c *committer) tryCommit(ctx context.Context, b *batch) error {
	ctx, cancel := context.WithTimeout(ctx, c.claimStore.opts.ClaimTimeout)
	defer cancel()
	if err := c.loadDocument(ctx); err != nil {
		return err
	}
	next := c.doc.clone()
	results, changed, conclusive := c.apply(next, b)
	if !c.freshlyRead && !conclusive {
		c.doc = nil
		return errStale
	}
	if changed {
		if err := c.writeDocument(ctx, next, results); err != nil {
			return err
		}
	}
	c.freshlyRead = false
	firstIncarnation, err := c.verifyFirstIncarnation(ctx, changed || c.version != 0)
	if err != nil {
		return err
	}
	countBatch(b)
	for _, r := range results {
		if !firstIncarnation && r.decision.Verdict != Recorded {
			r.decision = unknownDecision(outcome.ReasonKeyExpired, "the key's time bucket has expired")
			c.abandon(r.request)
		}
		if !r.request.decide(r.decision) {
			c.abandon(r.request)
		}
	}
	for _, f := range b.finishes {
		f.done <- nil
	}
	return nil
}

// loadDocument reads the document unless a cached copy exists.
func (c *committer) loadDocument(ctx context.Context) error {
	if c.doc != nil {
		return nil
	}
	if o := c.claimStore.opts; !c.existenceChecked && c.bucket >= o.bucketOf(o.Now())-1 {
		// The object of a recent bucket usually does not exist yet. Trying to create it
		// finds out and saves a read.
		c.existenceChecked = true
		c.doc, c.version = newDocument(), 0
		return nil
	}
	obj, err := c.claimStore.objects.Get(ctx, c.key)
	switch {
	case errors.Is(err, objects.ErrNotFound):
		c.doc, c.version = newDocument(), 0
	case err != nil:
		return err
	default:
		doc, err := decodeDocument(obj.Data)
		if err != nil {
			return eris.Wrapf(objects.ErrInvalid, "%s: %v", c.key.Name, err)
		}
		c.doc, c.version = doc, obj.Version
	}
	c.freshlyRead = true
	return nil
}

// apply makes all decisions and records all outcomes of a batch on a document. It
// reports whether that changed the document, and whether it is conclusive: whether no
// newer version of the document could turn a failure into a success. Outcomes are
// applied first, so that a key that they release can be claimed in the same batch.
func (c *committer) apply(d *document, b *batch) (results []pendingDecision, changed, conclusive bool) {
	conclusive = true
	for _, f := range b.finishes {
		if f.record.Status == outcome.NotRun {
			c.abandoned[f.claim.Nonce] = true
		}
		recorded := d.finish(f.claim, f.record)
		changed = changed || recorded
		conclusive = conclusive && recorded
	}
	results = make([]pendingDecision, 0, len(b.claims))
	o := c.claimStore.opts
	for _, r := range b.claims {
		decision, claimed := d.claim(r.call, o.Now(), o.InProgressTimeout, c.abandoned)
		changed = changed || claimed
		conclusive = conclusive && decision.Failure == nil
		if decision.Verdict == Run && c.freshlyRead && c.verifiedIncarnation == d.Incarnation {
			r.observedFree.Store(true)
		}
		results = append(results, pendingDecision{request: r, decision: decision})
	}
	return results, changed, conclusive
}

// writeDocument writes the next document on condition that the object is still at the
// current version.
func (c *committer) writeDocument(ctx context.Context, next *document, results []pendingDecision) error {
	data, err := next.encode()
	if err != nil {
		return eris.Wrapf(objects.ErrInvalid, "%v", err)
	}
	for _, r := range results {
		r.request.writeAttempted = true
	}
	obj, err := c.createOrUpdate(ctx, data)
	if err != nil {
		// After a conflict or an unknown outcome, the cached document is invalid: the
		// decisions are made again on the platform's copy.
		c.doc = nil
		return err
	}
	c.doc, c.version = next, obj.Version
	return nil
}

func (c *committer) createOrUpdate(ctx context.Context, data json.RawMessage) (objects.Object, error) {
	if c.version == 0 {
		return c.claimStore.objects.Create(ctx, c.key, data)
	}
	return c.claimStore.objects.Update(ctx, c.key, c.version, data)
}

// verifyFirstIncarnation reports whether the object is the first one under its name. A
// router that was paused may recreate an object that the janitor has deleted, in which
// keys that ran would look free. The watermark is raised before objects are deleted. So
// if the watermark, read after the object, is below the object's bucket, no object of
// that name had been deleted before.
func (c *committer) verifyFirstIncarnation(ctx context.Context, exists bool) (bool, error) {
	if !exists || c.verifiedIncarnation == c.doc.Incarnation {
		return true, nil
	}
	w, _, err := readWatermark(ctx, c.claimStore.objects)
	if err != nil {
		c.doc = nil
		return false, err
	}
	if w.Expired >= c.bucket {
		c.doc = nil
		return false, nil
	}
	c.verifiedIncarnation = c.doc.Incarnation
	return true, nil
}
