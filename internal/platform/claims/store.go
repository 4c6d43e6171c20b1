package claims

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/platform/objects"
)

// maxIdleCommitters is the number of committers of a shard at which idle ones are
// removed.
const maxIdleCommitters = 8

var (
	// errNotRecorded means that an outcome could not be committed in time. The key
	// stays claimed, so later calls with it get Unknown.
	errNotRecorded = errors.New("outcome was not recorded in time")
	// errClosed means that the claim store is closed.
	errClosed = errors.New("the router is shutting down")
	// errPlatformDown means that the platform could not be reached recently, so a new
	// claim is refused at once.
	errPlatformDown = errors.New("the platform cannot be reached")

	_ Store = (*platformStore)(nil)
)

// platformStore is the claim store that commits to the platform itself.
type platformStore struct {
	opts    Options
	objects objects.Store
	shards  []*shard
	// ctx is cancelled when the store is closed.
	ctx   context.Context
	tasks taskGroup
}

// NewStore returns a claim store that commits to s, and a function that closes it.
// Closing lets pending requests be committed for up to the close timeout.
func NewStore(s objects.Store, opts ...Option) (Store, func()) {
	o := newOptions(opts)
	ctx, cancel := context.WithCancel(context.Background())
	p := &platformStore{opts: o, objects: s, ctx: ctx, shards: make([]*shard, o.Shards)}
	for i := range p.shards {
		p.shards[i] = &shard{
			committers: make(map[objects.Key]*committer),
			limiter:    rate.NewLimiter(rate.Limit(o.WriteRate), o.WriteBurst),
		}
	}
	return p, func() { p.tasks.close(o.CloseTimeout, cancel) }
}

// Claim implements Store.
func (p *platformStore) Claim(ctx context.Context, c Call) Decision {
	start := time.Now()
	d := p.claim(ctx, c)
	countDecision(d, start)
	return d
}

func (p *platformStore) claim(ctx context.Context, c Call) Decision {
	ctx, cancel := context.WithTimeout(ctx, p.opts.ClaimTimeout)
	defer cancel()
	r := newClaimRequest(c)
	if age := p.opts.age(c.Key, p.opts.Now()); age != ageInWindow {
		return p.lookUp(ctx, r, age)
	}
	if err := p.enqueue(c.claim(), batch{claims: []*claimRequest{r}}); err != nil {
		return r.refusal(refusalReason(err), err.Error(), p.opts.RetryAfter)
	}
	select {
	case d := <-r.decided:
		return d
	case <-ctx.Done():
	}
	if !r.giveUp() {
		return <-r.decided
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return r.refusal(outcome.ReasonCancelled, "the caller cancelled the call", 0)
	}
	return r.refusal(outcome.ReasonPlatformUnavailable, "the claim could not be committed in time", p.opts.RetryAfter)
}

// Finish implements Store.
func (p *platformStore) Finish(ctx context.Context, c Claim, rec Record) error {
	countFinish(rec)
	f := newFinishRequest(c, rec, p.finishDeadline())
	if err := p.enqueue(c, batch{finishes: []*finishRequest{f}}); err != nil {
		return err
	}
	select {
	case err := <-f.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *platformStore) finishDeadline() time.Time {
	return p.opts.Now().Add(p.opts.FinishTimeout)
}

// enqueue adds requests to the queue of their committer and starts the committer if it
// is idle. It refuses claims while the platform is down.
func (p *platformStore) enqueue(c Claim, b batch) error {
	return p.tasks.ifOpen(func() error {
		shardIndex := p.opts.ShardOf(c.Workspace, c.Key)
		s := p.shards[shardIndex]
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(b.claims) > 0 && p.opts.Now().Before(s.downUntil) {
			return errPlatformDown
		}
		cm := p.committerFor(s, shardIndex, p.opts.bucketOf(KeyTime(c.Key)))
		cm.queue.add(b)
		if !cm.running {
			cm.running = true
			p.tasks.running.Go(func() { cm.run(p.ctx) })
		}
		return nil
	})
}

func refusalReason(err error) outcome.Reason {
	if errors.Is(err, errClosed) {
		return outcome.ReasonLeaving
	}
	return outcome.ReasonPlatformUnavailable
}

// committerFor returns the committer of a claims object. The shard's lock must be held.
func (p *platformStore) committerFor(s *shard, shardIndex uint32, b bucket) *committer {
	key := objectKey(b, shardIndex)
	if c := s.committers[key]; c != nil {
		return c
	}
	if len(s.committers) >= maxIdleCommitters {
		for k, c := range s.committers {
			if !c.running {
				delete(s.committers, k)
			}
		}
	}
	c := &committer{claimStore: p, shard: s, key: key, bucket: b, abandoned: make(map[string]bool)}
	s.committers[key] = c
	return c
}

// lookUp returns the decision for a call whose key is too old or too far in the future to
// be claimed, from what is recorded for the key.
func (p *platformStore) lookUp(ctx context.Context, r *claimRequest, age keyAge) Decision {
	reason, detail := outcome.ReasonKeyExpired, "the key is older than the retention window"
	if age == ageFuture {
		reason, detail = outcome.ReasonInvalidRequest, "the key's timestamp is in the future"
	}
	c := r.call
	b := p.opts.bucketOf(KeyTime(c.Key))
	obj, err := p.objects.Get(ctx, objectKey(b, p.opts.ShardOf(c.Workspace, c.Key)))
	if errors.Is(err, objects.ErrNotFound) {
		return p.refuseAbsent(ctx, r, b, reason, detail)
	}
	if err != nil {
		return r.refusal(reason, detail, 0)
	}
	doc, err := decodeDocument(obj.Data)
	if err != nil {
		return r.refusal(outcome.ReasonInternal, "the claims object cannot be decoded", 0)
	}
	e, ok := doc.Entries[entryID(c.Workspace, c.Key)]
	if ok && e.State != stateReleased && e.Fingerprint == c.Fingerprint {
		return e.decision(p.opts.Now(), p.opts.InProgressTimeout)
	}
	return p.refuseAbsent(ctx, r, b, reason, detail)
}

// refuseAbsent refuses a call whose key has no entry. The key has not run unless its
// claims object was deleted. Because the watermark is raised before objects are
// deleted, reading it after the object shows whether the object may have been deleted.
func (p *platformStore) refuseAbsent(ctx context.Context, r *claimRequest, b bucket, reason outcome.Reason, detail string) Decision {
	w, _, err := readWatermark(ctx, p.objects)
	if err == nil && w.Expired < b {
		r.observedFree.Store(true)
	}
	return r.refusal(reason, detail, 0)
}
