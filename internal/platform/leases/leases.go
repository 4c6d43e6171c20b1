// Package leases implements leases on objects of the platform: at most one holder at a
// time, each with a higher fencing token than the holders before it.
package leases

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/platform/objects"
)

// Kind is the kind of the objects that hold leases.
const Kind = "leases"

var (
	// errHeld means that another holder has the lease or may still have it.
	errHeld = errors.New("the lease is held by another holder")
	// errClosed means that this Keeper was closed and no longer acquires the lease.
	errClosed = errors.New("the lease was released")
)

type (
	// Lease is the right to act until a deadline.
	Lease struct {
		// Token is the fencing token.
		Token    uint64
		deadline time.Time
		now      func() time.Time
	}

	// Keeper acquires a lease and renews it. It does not rely on wall clocks: it takes
	// over a lease only after it has seen the record unchanged for longer than the
	// holder may act after writing that record.
	Keeper struct {
		store objects.Store
		key   objects.Key
		opts  Options
		// nonce identifies this Keeper in the records that it writes.
		nonce string
		// sem admits one attempt or the release at a time.
		sem chan struct{}

		mu    sync.Mutex
		lease Lease
		held  bool
		// observedVersion is the version of another holder's record that was read last,
		// and observedSince is when it was first read.
		observedVersion uint64
		observedSince   time.Time
		closed          bool
	}

	// record is the value of a lease's object.
	record struct {
		Holder string `json:"holder,omitempty"`
		// Nonce distinguishes Keepers that use the same holder name, such as a process
		// before and after a restart.
		Nonce         string  `json:"nonce,omitempty"`
		LengthSeconds float64 `json:"length-seconds"`
	}
)

// New returns a Keeper of the named lease, and a function that releases the lease.
func New(s objects.Store, name string, opts ...Option) (*Keeper, func()) {
	o := newOptions(opts)
	k := &Keeper{
		store: s, opts: o, key: objects.Key{Kind: Kind, Name: name},
		nonce: o.Holder + "-" + strconv.FormatUint(rand.Uint64(), 36),
		sem:   make(chan struct{}, 1),
	}
	return k, k.release
}

// Valid reports whether the holder may still act. Check it immediately before each
// action.
func (l Lease) Valid() bool {
	return l.now != nil && l.now().Before(l.deadline)
}

// Lease returns the lease and whether it is held.
func (k *Keeper) Lease() (Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease, k.held && !k.closed && k.lease.Valid()
}

// Run acquires and renews the lease until ctx ends. The pause between two attempts is
// random, between a sixth and a third of the lease's length.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := k.TryAcquireOrRenew(ctx)
		countAttempt(err)
		period := k.opts.Length / 3
		_ = objects.Sleep(ctx, period/2+time.Duration(k.opts.Random()*float64(period/2)))
	}
	return ctx.Err()
}

// TryAcquireOrRenew makes one attempt to acquire or renew the lease.
func (k *Keeper) TryAcquireOrRenew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.opts.Length)
	defer cancel()
	select {
	case k.sem <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.sem }()
	if k.isClosed() {
		return errClosed
	}
	obj, err := k.store.Get(ctx, k.key)
	if errors.Is(err, objects.ErrNotFound) {
		return k.writeRecord(ctx, 0, true)
	}
	if err != nil {
		return err
	}
	var r record
	if err := json.Unmarshal(obj.Data, &r); err != nil {
		return eris.Wrapf(objects.ErrInvalid, "lease %s: %v", k.key.Name, err)
	}
	if r.Nonce == k.nonce {
		return k.writeRecord(ctx, obj.Version, !k.isHeld())
	}
	k.markLost()
	if r.Holder == "" || k.expired(obj.Version, r.length()) {
		return k.writeRecord(ctx, obj.Version, true)
	}
	return errHeld
}

func (r record) length() time.Duration {
	return time.Duration(r.LengthSeconds * float64(time.Second))
}

// expired reports whether another holder's record was seen unchanged for its length
// plus the margin. The holder's own deadline counts from before it sent the record,
// which was before the record could be seen here.
func (k *Keeper) expired(version uint64, length time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	if version != k.observedVersion {
		k.observedVersion, k.observedSince = version, now
		return false
	}
	return now.Sub(k.observedSince) >= length+k.opts.Margin
}

// writeRecord writes this holder's record. A new term gets the version of the write as
// its fencing token.
func (k *Keeper) writeRecord(ctx context.Context, version uint64, newTerm bool) error {
	data, err := json.Marshal(record{Holder: k.opts.Holder, Nonce: k.nonce, LengthSeconds: k.opts.Length.Seconds()})
	if err != nil {
		return eris.Wrap(err, "encode lease")
	}
	// The deadline counts from before the write is sent, since no other router can have
	// seen the record earlier.
	deadline := k.opts.Now().Add(k.opts.Length)
	obj, err := k.createOrUpdate(ctx, version, data)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if newTerm {
		k.lease = Lease{Token: obj.Version, now: k.opts.Now}
	}
	k.lease.deadline = deadline
	k.held = true
	return nil
}

func (k *Keeper) createOrUpdate(ctx context.Context, version uint64, data json.RawMessage) (objects.Object, error) {
	if version == 0 {
		return k.store.Create(ctx, k.key, data)
	}
	return k.store.Update(ctx, k.key, version, data)
}

func (k *Keeper) isHeld() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held
}

func (k *Keeper) markLost() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = false
}

func (k *Keeper) isClosed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed
}

// release closes the Keeper and clears the record, so that another holder can take the
// lease at once. The caller must no longer act under the lease.
func (k *Keeper) release() {
	k.mu.Lock()
	k.closed, k.held = true, false
	k.mu.Unlock()
	k.sem <- struct{}{}
	defer func() { <-k.sem }()
	k.markLost()
	ctx, cancel := context.WithTimeout(context.Background(), k.opts.Length)
	defer cancel()
	obj, err := k.store.Get(ctx, k.key)
	if err != nil {
		return
	}
	var r record
	if json.Unmarshal(obj.Data, &r) != nil || r.Nonce != k.nonce {
		return
	}
	data, err := json.Marshal(record{})
	if err != nil {
		return
	}
	_, _ = k.store.Update(ctx, k.key, obj.Version, data)
}
