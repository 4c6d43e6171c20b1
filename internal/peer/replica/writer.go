package replica

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

const (
	// statusInterval is the interval between checks of the status. It limits the rate
	// of status writes to the platform, independent of fleet size.
	statusInterval = 250 * time.Millisecond
	// standbyDelay is how long the standby writer waits for the first writer to write
	// an in-force version.
	standbyDelay = 2 * time.Second
	// vmListInterval is the interval between reads of the platform's VM list.
	vmListInterval = 2 * time.Second
)

// statusWriter caches the status object as last read or written.
type statusWriter struct {
	version  uint64
	lastRead status.Status
	// aheadSince is when a version was first in force that the status object lacks;
	// zero when there is none.
	aheadSince time.Time
	// latest is the router's own status as of a status revision.
	latest   status.Status
	revision uint64
}

// runStatusWriter writes the fleet's status while the router is a writer, until ctx
// ends.
func (r *Replica) runStatusWriter(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	var w statusWriter
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.writeStatus(ctx, &w); err != nil {
			r.log.Warn().Err(err).Msg("writing the configuration status failed")
			_ = objects.Sleep(ctx, backoff(1))
		}
	}
}

// writeStatus writes the status if it has changed. The standby writes only if the
// first writer has not written the in-force version.
func (r *Replica) writeStatus(ctx context.Context, w *statusWriter) error {
	r.mu.Lock()
	rank, ready := r.state.WriterRank(), r.state.ready
	if ready && rank >= 0 && w.revision != r.state.statusRevision {
		w.latest, w.revision = r.state.Status(), r.state.statusRevision
	}
	r.mu.Unlock()
	if !ready || rank < 0 {
		return nil
	}
	s, now := w.latest, time.Now()
	if rank > 0 {
		if !w.overdue(now, s.InForce) {
			return nil
		}
		// The first writer may have written since the last read.
		w.version = 0
	}
	if w.lastRead.Merge(s).EqualContent(w.lastRead) {
		return nil
	}
	s.Written = now.UTC()
	return w.write(ctx, r.store, s)
}

// overdue reports whether a version has been in force for standbyDelay without being
// written.
func (w *statusWriter) overdue(now time.Time, inForce uint64) bool {
	if inForce <= w.lastRead.InForce {
		w.aheadSince = time.Time{}
		return false
	}
	if w.aheadSince.IsZero() {
		w.aheadSince = now
	}
	return now.Sub(w.aheadSince) >= standbyDelay
}

// write merges a status into the cached status object and writes the result. After a
// conflict or a lost response the object is read again, and the next check decides
// whether to write.
func (w *statusWriter) write(ctx context.Context, store objects.Store, s status.Status) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if w.version == 0 {
		if err := w.read(ctx, store); err != nil {
			return err
		}
	}
	merged := w.lastRead.Merge(s)
	if merged.EqualContent(w.lastRead) {
		return nil
	}
	data, err := status.Encode(merged)
	if err != nil {
		return err
	}
	var o objects.Object
	if w.version == 0 {
		o, err = store.Create(ctx, status.Key(), data)
	} else {
		o, err = store.Update(ctx, status.Key(), w.version, data)
	}
	if err != nil {
		w.version = 0
		if errors.Is(err, objects.ErrConflict) {
			return w.read(ctx, store)
		}
		return eris.Wrap(err, "write status")
	}
	w.version, w.lastRead = o.Version, merged
	return nil
}

func (w *statusWriter) read(ctx context.Context, store objects.Store) error {
	o, err := store.Get(ctx, status.Key())
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read status")
	}
	current, err := status.Decode(o.Data)
	if err != nil {
		return err
	}
	w.version, w.lastRead = o.Version, current
	return nil
}

// runRegistrationCleanup periodically deletes the registrations of routers that the
// platform has removed.
func (r *Replica) runRegistrationCleanup(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.removeRegistrations(ctx); err != nil {
			r.log.Warn().Err(err).Msg("removing registrations of departed routers failed")
			_ = objects.Sleep(ctx, backoff(1))
		}
	}
}

func (r *Replica) removeRegistrations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	r.mu.Lock()
	rank, ready := r.state.WriterRank(), r.state.ready
	r.mu.Unlock()
	if rank < 0 || !ready {
		return nil
	}
	vms, err := r.store.VMs(ctx)
	if err != nil {
		return eris.Wrap(err, "list VMs")
	}
	r.mu.Lock()
	removable := r.state.RemovableRegistrations(time.Now(), vms)
	r.mu.Unlock()
	if rank > 0 {
		return nil
	}
	for _, o := range removable {
		r.log.Info().Str("router", o.Name).Msg("router is no longer in the platform's VM list; removing its registration, so changes no longer wait for it")
		// After a conflict or a lost response, the next check retries.
		if _, err := r.store.Delete(ctx, o.Key, o.Version); err != nil && !errors.Is(err, objects.ErrConflict) {
			return eris.Wrap(err, "delete registration")
		}
	}
	return nil
}
