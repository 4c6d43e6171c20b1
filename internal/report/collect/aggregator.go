package collect

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/report/tally"
)

const (
	kindPrefix = "report-"
	// maxWriteAttempts bounds the attempts to write one record in one flush.
	maxWriteAttempts = 5
)

type (
	// Aggregator batches the deliveries of many routers and writes them to the
	// platform at a rate that does not depend on the number of routers.
	Aggregator struct {
		store objects.Store
		opts  Options
		// wake is signalled when a delivery becomes pending.
		wake chan struct{}

		mu      sync.Mutex
		pending []*pendingDelivery
	}

	// pendingDelivery is a delivery that is not stored on the platform yet.
	pendingDelivery struct {
		domain   string
		delivery tally.Delivery
		done     chan struct{}
	}

	// recordKey identifies one stored record.
	recordKey struct {
		date   string
		shard  int
		domain string
	}
)

// NewAggregator returns an aggregator that writes to store. Run or Flush must be
// called to write.
func NewAggregator(store objects.Store, opts ...Option) *Aggregator {
	return &Aggregator{store: store, opts: newOptions(opts...), wake: make(chan struct{}, 1)}
}

// Deliver returns nil once a delivery is stored on the platform, or an error when
// ctx is done. A delivery may be repeated, to this or another aggregator; it is
// counted once.
func (a *Aggregator) Deliver(ctx context.Context, domain string, d tally.Delivery) error {
	p := &pendingDelivery{domain: domain, delivery: d, done: make(chan struct{})}
	a.mu.Lock()
	a.pending = append(a.pending, p)
	a.mu.Unlock()
	a.notify()
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "delivery not stored yet")
	}
}

// Run writes pending deliveries until ctx is done, at most once per interval. A
// delivery that arrives later than an interval after the last write is written
// immediately.
func (a *Aggregator) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		a.Flush(ctx)
		if objects.Sleep(ctx, a.opts.Interval) != nil {
			return
		}
		if a.hasPending() {
			a.notify()
		}
	}
}

func (a *Aggregator) hasPending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending) > 0
}

func (a *Aggregator) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Flush writes all pending deliveries once. Those that cannot be written stay
// pending.
func (a *Aggregator) Flush(ctx context.Context) {
	a.mu.Lock()
	batch := a.pending
	a.pending = nil
	a.mu.Unlock()
	failed := map[*pendingDelivery]bool{}
	for k, list := range groupByRecord(batch) {
		if err := a.write(ctx, k, list); err != nil {
			a.opts.Log.Warn().Err(err).Str("date", k.date).Msg("failed to store counts, will retry")
			for _, p := range list {
				failed[p] = true
			}
		}
	}
	a.acknowledge(batch, failed)
}

func (a *Aggregator) acknowledge(batch []*pendingDelivery, failed map[*pendingDelivery]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		if failed[p] {
			a.pending = append(a.pending, p)
			continue
		}
		close(p.done)
	}
}

// groupByRecord groups deliveries by the records that they affect. Every delivery
// also goes to shard 0 of the day it was sent, which thereby contains the time of
// the last delivery of each router.
func groupByRecord(batch []*pendingDelivery) map[recordKey][]*pendingDelivery {
	records := map[recordKey][]*pendingDelivery{}
	for _, p := range batch {
		touched := map[recordKey]bool{
			{date: p.delivery.Sent.UTC().Format(tally.DateFormat), domain: p.domain}: true,
		}
		for _, item := range p.delivery.Days {
			touched[recordKey{date: item.Date, domain: p.domain}] = true
			touched[recordKey{date: item.Date, shard: tally.ShardOf(item.Workspace), domain: p.domain}] = true
		}
		for k := range touched {
			records[k] = append(records[k], p)
		}
	}
	return records
}

// write applies deliveries to one record. After a conflict or a lost reply it
// reads the record again, so that no delivery is applied twice.
func (a *Aggregator) write(ctx context.Context, k recordKey, list []*pendingDelivery) error {
	var err error
	for range maxWriteAttempts {
		if err = a.writeOnce(ctx, k, list); err == nil {
			return nil
		}
		if !errors.Is(err, objects.ErrConflict) && !errors.Is(err, objects.ErrUnknownOutcome) {
			return err
		}
	}
	return err
}

func (a *Aggregator) writeOnce(ctx context.Context, k recordKey, list []*pendingDelivery) error {
	record, version, err := a.read(ctx, k)
	if err != nil {
		return err
	}
	changed := false
	for _, p := range list {
		changed = record.Apply(p.delivery) || changed
	}
	if !changed {
		return nil
	}
	data, err := json.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode the record")
	}
	if version == 0 {
		_, err = a.store.Create(ctx, k.objectKey(), data)
	} else {
		_, err = a.store.Update(ctx, k.objectKey(), version, data)
	}
	return err
}

func (a *Aggregator) read(ctx context.Context, k recordKey) (*tally.Record, uint64, error) {
	o, err := a.store.Get(ctx, k.objectKey())
	if errors.Is(err, objects.ErrNotFound) {
		return tally.NewRecord(k.date, k.shard), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	record := tally.NewRecord(k.date, k.shard)
	if err := json.Unmarshal(o.Data, record); err != nil {
		return nil, 0, eris.Wrap(err, "decode the record")
	}
	return record, o.Version, nil
}

func (k recordKey) objectKey() objects.Key {
	return objects.Key{Kind: recordKind(k.date, k.shard), Name: k.domain}
}

// recordKind returns the object kind of one shard of a day, so that one List call
// returns its records of all failure domains.
func recordKind(date string, shard int) string {
	return kindPrefix + date + "-" + strconv.Itoa(shard)
}
