package objects

import (
	"context"
	"errors"

	"github.com/rs/zerolog"
)

type (
	// Sink receives the objects that a Follower lists and watches.
	Sink interface {
		// Replace takes a complete snapshot of a kind: objects that are not in it no
		// longer exist.
		Replace(kind string, l List)
		// Apply takes one change. Changes of one object arrive in version order, but
		// after a snapshot a change that is already part of it may be repeated.
		Apply(obj Object)
	}

	// Follower keeps a Sink up to date with objects of some kinds: it lists, watches,
	// resumes an interrupted watch, and lists again when the platform no longer has the
	// events to resume from.
	Follower struct {
		store   Store
		kinds   []string
		sink    Sink
		backoff Backoff
		logger  zerolog.Logger
		// resumeVersion is the version up to which the sink has received every change.
		resumeVersion uint64
		listed        bool
	}
)

// NewFollower returns a Follower. Only the backoff and logger options apply to it.
func NewFollower(s Store, kinds []string, sink Sink, opts ...Option) *Follower {
	o := newOptions(opts)
	return &Follower{store: s, kinds: kinds, sink: sink, backoff: o.backoff(), logger: o.Logger}
}

// Run keeps the sink up to date until ctx ends and returns the error of ctx.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		before := f.resumeVersion
		err := f.listAndWatch(ctx)
		if f.resumeVersion > before {
			failures = 0
		}
		failures++
		if errors.Is(err, ErrTooOld) {
			f.listed = false
		}
		if ctx.Err() != nil {
			break
		}
		countRetry("follow", err)
		f.logger.Warn().Err(err).Strs("kinds", f.kinds).Uint64("version", f.resumeVersion).Msg("watch ended, retrying")
		_ = Sleep(ctx, max(f.backoff.Delay(failures), retryAfter(err)))
	}
	return ctx.Err()
}

// listAndWatch lists if necessary and then watches until the watch ends.
func (f *Follower) listAndWatch(ctx context.Context) error {
	if !f.listed {
		if err := f.list(ctx); err != nil {
			return err
		}
	}
	return f.store.Watch(ctx, f.kinds, f.resumeVersion, func(ev Event) error {
		if ev.Object.Version <= f.resumeVersion && !ev.Bookmark {
			return nil
		}
		if !ev.Bookmark {
			f.sink.Apply(ev.Object)
		}
		f.resumeVersion = max(f.resumeVersion, ev.Object.Version)
		return nil
	})
}

// list passes a snapshot of each kind to the sink. The watch then resumes from the
// oldest of their versions, so that no kind misses a change.
func (f *Follower) list(ctx context.Context) error {
	var oldest uint64
	for i, kind := range f.kinds {
		l, err := f.store.List(ctx, kind)
		if err != nil {
			return err
		}
		f.sink.Replace(kind, l)
		if i == 0 || l.Version < oldest {
			oldest = l.Version
		}
	}
	f.resumeVersion = oldest
	f.listed = true
	return nil
}
