package edge

import (
	"context"
	"time"

	"hickoryrock/internal/platform/objects"
)

const (
	// confirmRetryInterval is the pause between two attempts to confirm the view.
	confirmRetryInterval = 30 * time.Millisecond
	// confirmJoinTimeout is how long a confirmation waits until the router knows its
	// peers. A router without any then asks the store.
	confirmJoinTimeout = 150 * time.Millisecond
)

// guardView confirms the view that a restarted router read from a cached list, and then
// looks for pauses of the process. The first start of a fleet has nothing to confirm.
func (r *Router) guardView(ctx context.Context) {
	for r.watcher.View().Configuration == nil {
		if objects.Sleep(ctx, viewPollInterval) != nil {
			return
		}
	}
	r.guard.Started(ctx)
	r.guard.Run(ctx)
}

// confirmView brings the view up to date with a peer or, if this router is one of those
// that watch the store for the fleet, with the store. It reports whether it succeeded
// before ctx was done.
func (r *Router) confirmView(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.joined:
	case <-time.After(confirmJoinTimeout):
	}
	for {
		if r.fleet.Confirm(ctx) {
			return true
		}
		if r.fleet.WatchesStore() {
			err := r.watcher.Confirm(ctx)
			if err == nil {
				return true
			}
			r.log.Warn().Err(err).Msg("failed to confirm the view with the store")
		}
		if objects.Sleep(ctx, confirmRetryInterval) != nil {
			return false
		}
	}
}
