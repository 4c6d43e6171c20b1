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

// NewReporter returns the sender of one router process. router must be unique to the process.
func NewReporter(router string, counts *tally.Counter, deliver DeliverFunc, opts ...Option) *Reporter {
	return &Reporter{router: router, counts: counts, deliver: deliver, opts: newOptions(opts...)}
}

// Run delivers once per interval until ctx is done. The interval is measured from
// the start of a delivery, so the time that a delivery takes does not add to it.
// The first delivery is sent immediately, so that a router that crashes later can
// be reported as missing.
func (c *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		c.DeliverOnce(ctx, false)
		_ = objects.Sleep(ctx, max(0, c.opts.Interval-time.Since(started)))
	}
}

// Flush delivers the remaining counts on shutdown. If that does not succeed before
// ctx is done, the router is reported as missing.
func (c *Reporter) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		final := c.pending == nil
		if c.DeliverOnce(ctx, final) && final {
			return
		}
	}
}

// DeliverOnce makes one attempt to deliver and reports whether it succeeded. A
// delivery that fails, or whose reply is lost, stays pending and is repeated
// unchanged by the next attempt.
func (c *Reporter) DeliverOnce(ctx context.Context, final bool) bool {
	if c.pending == nil {
		c.pending = &tally.Delivery{
			Router:   c.router,
			Sequence: c.lastSequence + 1,
			Sent:     c.opts.Now(),
			Final:    final,
			Days:     c.counts.Take().Items(),
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	if err := c.deliver(ctx, *c.pending); err != nil {
		c.opts.Log.Debug().Err(err).Msg("failed to deliver counts, will retry")
		return false
	}
	c.lastSequence = c.pending.Sequence
	c.pending = nil
	return true
}

// MissingAfter returns the time without a delivery after which a router counts as
// missing.
func MissingAfter(opts ...Option) time.Duration {
	o := newOptions(opts...)
	return 2 * (o.Interval + o.Timeout)
}
