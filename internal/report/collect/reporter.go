package collect

import (
	"context"
	"time"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/report/tally"
)

type (
	// DeliverFunc sends a delivery to the aggregator of the router's failure domain
	// and returns nil once it is stored on the platform.
	DeliverFunc func(ctx context.Context, d tally.Delivery) error

	// Reporter sends the counts of one router, one delivery at a time.
	Reporter struct {
		router       string
		counts       *tally.Counter
		deliver      DeliverFunc
		opts         Options
		pending      *tally.Delivery
		lastSequence uint64
	}
)

// NewReporter returns the reporter of one router process. router must be unique to the
// process.
func NewReporter(router string, counts *tally.Counter, deliver DeliverFunc, opts ...Option) *Reporter {
	return &Reporter{router: router, counts: counts, deliver: deliver, opts: newOptions(opts...)}
}

// Run delivers once per interval until ctx is done. The interval is measured from
// the start of a delivery, so the time that a delivery takes does not add to it.
// The first delivery is sent immediately, so that a router that crashes later can
// be reported as missing.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		r.DeliverOnce(ctx, false)
		_ = objects.Sleep(ctx, max(0, r.opts.Interval-time.Since(started)))
	}
}

// Flush delivers the remaining counts on shutdown. If that does not succeed before
// ctx is done, the router is reported as missing.
func (r *Reporter) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		final := r.pending == nil
		if r.DeliverOnce(ctx, final) && final {
			return
		}
	}
}

// DeliverOnce makes one attempt to deliver and reports whether it succeeded. A
// delivery that fails, or whose reply is lost, stays pending and is repeated
// unchanged by the next attempt.
func (r *Reporter) DeliverOnce(ctx context.Context, final bool) bool {
	if r.pending == nil {
		r.pending = &tally.Delivery{
			Router:   r.router,
			Sequence: r.lastSequence + 1,
			Sent:     r.opts.Now(),
			Final:    final,
			Days:     r.counts.Take().Items(),
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	if err := r.deliver(ctx, *r.pending); err != nil {
		r.opts.Log.Debug().Err(err).Msg("failed to deliver counts, will retry")
		return false
	}
	r.lastSequence = r.pending.Sequence
	r.pending = nil
	return true
}

// MissingAfter returns the time without a delivery after which a router counts as
// missing.
func MissingAfter(opts ...Option) time.Duration {
	o := newOptions(opts...)
	return 2 * (o.Interval + o.Timeout)
}
