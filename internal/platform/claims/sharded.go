package claims

import (
	"context"
	"slices"

	"hickoryrock/internal/caller/outcome"
)

// uncertainReasons are the failure reasons after which a write of the claim may still
// take effect.
var uncertainReasons = []outcome.Reason{
	outcome.ReasonPlatformUnavailable, outcome.ReasonCancelled, outcome.ReasonInternal, outcome.ReasonLeaving,
}

var _ Store = (*Sharded)(nil)

type (
	// Remote is the claim store of another router. An error means that the router could
	// not be reached or that its response was lost; the claim may or may not have been
	// committed.
	Remote interface {
		// Claim forwards Claim to the other router. The call carries a nonce.
		Claim(ctx context.Context, c Call) (Decision, error)
		// Finish forwards Finish to the other router.
		Finish(ctx context.Context, c Claim, r Record) error
	}

	// OwnerFunc returns the claim store of the router that owns a shard, or nil if this
	// router owns it. Routers may disagree about the owner: the platform's conditional
	// writes keep claims safe, and disagreement only costs more write conflicts.
	OwnerFunc func(shard uint32) Remote

	// Sharded is a claim store that forwards the claims of each shard to one owning
	// router, which commits them in batches. Otherwise every router would commit its
	// own small batches, and these would conflict on the same objects.
	Sharded struct {
		opts  Options
		local Store
		owner OwnerFunc
		// ctx is cancelled when the store is closed.
		ctx   context.Context
		tasks taskGroup
	}
)

// NewSharded returns a claim store that falls back to local if an owner cannot be
// reached, and a function that closes it. Close it before closing local.
func NewSharded(local Store, owner OwnerFunc, opts ...Option) (*Sharded, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sharded{opts: newOptions(opts), local: local, owner: owner, ctx: ctx}
	return s, func() { s.tasks.close(s.opts.CloseTimeout, cancel) }
}

// Claim implements Store. It chooses the nonce here, so that a claim that the owner
// may have committed before its response was lost belongs to this router, and no other
// router releases it.
func (s *Sharded) Claim(ctx context.Context, c Call) Decision {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ClaimTimeout)
	defer cancel()
	c.Nonce = newNonce()
	d := s.claim(ctx, c)
	if d.Failure != nil && slices.Contains(uncertainReasons, d.Failure.Reason) {
		s.release(c.claim())
	}
	return d
}

func (s *Sharded) claim(ctx context.Context, c Call) Decision {
	remote := s.owner(s.opts.ShardOf(c.Workspace, c.Key))
	if remote == nil {
		return s.local.Claim(ctx, c)
	}
	// Half of the timeout is reserved for the local claim store.
	rctx, cancel := context.WithTimeout(ctx, s.opts.ClaimTimeout/2)
	defer cancel()
	d, err := remote.Claim(rctx, c)
	if err == nil {
		return d
	}
	countForwardFailure("claim")
	return s.local.Claim(ctx, c)
}

// Finish implements Store.
func (s *Sharded) Finish(ctx context.Context, c Claim, r Record) error {
	done := make(chan error, 1)
	if err := s.startFinish(c, r, done); err != nil {
		return s.local.Finish(ctx, c, r)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startFinish records an outcome in the background, so that it is committed even if the
// caller stops waiting.
func (s *Sharded) startFinish(c Claim, r Record, done chan<- error) error {
	return s.tasks.ifOpen(func() error {
		s.tasks.running.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, s.opts.FinishTimeout)
			defer cancel()
			done <- s.finish(ctx, c, r)
		})
		return nil
	})
}

func (s *Sharded) finish(ctx context.Context, c Claim, r Record) error {
	if remote := s.owner(s.opts.ShardOf(c.Workspace, c.Key)); remote != nil {
		rctx, cancel := context.WithTimeout(ctx, s.opts.ClaimTimeout)
		defer cancel()
		if remote.Finish(rctx, c, r) == nil {
			return nil
		}
		countForwardFailure("finish")
	}
	return s.local.Finish(ctx, c, r)
}

// release releases a claim that will never be dispatched, so that its key can be
// claimed again.
func (s *Sharded) release(c Claim) {
	_ = s.startFinish(c, Record{Status: outcome.NotRun}, make(chan error, 1))
}
