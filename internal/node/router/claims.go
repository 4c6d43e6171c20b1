package router

import (
	"context"
	"strconv"
	"time"

	"hickoryrock/internal/peer/claim"
	"hickoryrock/internal/platform/claims"
	"hickoryrock/internal/platform/objects"
)

const sweepInterval = 10 * time.Second

// sweepClaims deletes expired claims. Only the owner of "claims/janitor" does so, which
// is one router of the fleet at a time.
func (r *Router) sweepClaims(ctx context.Context) {
	janitor := claims.NewJanitor(r.store, r.claimOptions()...)
	for objects.Sleep(ctx, sweepInterval) == nil {
		owner, _, ok := r.owner.Of("claims/janitor", "")
		if !ok || owner != r.settings.Name {
			continue
		}
		if n, err := janitor.Sweep(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Int("deleted", n).Msg("failed to delete expired claims")
		}
	}
}

// buildClaims creates the claim stores of at-most-once calls. The claims of each shard are
// committed by the router that owns the shard, which may be this one.
func (r *Router) buildClaims() {
	local, stopLocal := claims.NewStore(r.store, r.claimOptions()...)
	r.addCleanup(stopLocal)
	sharded, stopSharded := claims.NewSharded(local, r.shardOwner, r.claimOptions()...)
	r.addCleanup(stopSharded)
	r.localClaims, r.claims = local, sharded
}

// shardOwner returns a client of the router that commits the claims of a shard, or nil if
// this router does.
func (r *Router) shardOwner(shard uint32) claims.Remote {
	address, self, ok := r.ownerOf("claims/" + strconv.FormatUint(uint64(shard), 10))
	if !ok || self {
		return nil
	}
	return claim.NewRemote(r.peerHTTP, address)
}

func (r *Router) claimOptions() []claims.Option {
	return []claims.Option{claims.WithWindow(r.settings.Claims.Window), claims.WithLogger(r.log)}
}
