package claims

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/platform/objects"
)

// maxBucketsPerSweep bounds the number of buckets that one sweep deletes.
const maxBucketsPerSweep = 64

// Janitor deletes the claims objects of expired buckets. Several may run at once, but
// one is enough.
type Janitor struct {
	opts  Options
	store objects.Store
}

// NewJanitor returns a Janitor.
func NewJanitor(s objects.Store, opts ...Option) *Janitor {
	return &Janitor{opts: newOptions(opts), store: s}
}

// Run sweeps periodically until ctx ends.
func (j *Janitor) Run(ctx context.Context) error {
	for {
		period := j.opts.SweepPeriod
		if objects.Sleep(ctx, period/2+rand.N(period)) != nil {
			return ctx.Err()
		}
		n, err := j.Sweep(ctx)
		countSweep(n, err)
		if err != nil && ctx.Err() == nil {
			j.opts.Logger.Warn().Err(err).Int("deleted", n).Msg("claims sweep failed")
		}
	}
}

// Sweep raises the watermark and then deletes the buckets up to it. It returns the
// number of deleted objects.
func (j *Janitor) Sweep(ctx context.Context) (int, error) {
	w, version, err := readWatermark(ctx, j.store)
	if err != nil {
		return 0, err
	}
	lastExpired := j.opts.lastExpiredBucket(j.opts.Now())
	if version == 0 {
		// No claims older than the first watermark were ever recorded.
		_, err := j.writeWatermark(ctx, watermark{Expired: lastExpired, Deleted: lastExpired}, 0)
		return 0, err
	}
	if lastExpired > w.Expired {
		w.Expired = lastExpired
		if version, err = j.writeWatermark(ctx, w, version); err != nil {
			return 0, err
		}
	}
	lastToDelete := min(w.Expired, w.Deleted+maxBucketsPerSweep)
	if lastToDelete <= w.Deleted {
		return 0, nil
	}
	deleted := 0
	for b := w.Deleted + 1; b <= lastToDelete; b++ {
		n, err := j.deleteBucket(ctx, b)
		deleted += n
		if err != nil {
			return deleted, err
		}
	}
	w.Deleted = lastToDelete
	_, err = j.writeWatermark(ctx, w, version)
	return deleted, err
}

func (j *Janitor) deleteBucket(ctx context.Context, b bucket) (int, error) {
	deleted := 0
	for shard := range j.opts.Shards {
		key := objectKey(b, shard)
		for {
			obj, err := j.store.Get(ctx, key)
			if errors.Is(err, objects.ErrNotFound) {
				break
			}
			if err != nil {
				return deleted, err
			}
			_, err = j.store.Delete(ctx, key, obj.Version)
			if err == nil {
				deleted++
				break
			}
			if !errors.Is(err, objects.ErrConflict) {
				return deleted, err
			}
		}
	}
	return deleted, nil
}

func (j *Janitor) writeWatermark(ctx context.Context, w watermark, version uint64) (uint64, error) {
	data, err := json.Marshal(w)
	if err != nil {
		return 0, eris.Wrap(err, "encode watermark")
	}
	if version == 0 {
		obj, err := j.store.Create(ctx, watermarkKey, data)
		return obj.Version, err
	}
	obj, err := j.store.Update(ctx, watermarkKey, version, data)
	return obj.Version, err
}

// readWatermark returns the watermark and the version of its object, which is zero if
// it does not exist yet.
func readWatermark(ctx context.Context, s objects.Store) (watermark, uint64, error) {
	obj, err := s.Get(ctx, watermarkKey)
	if errors.Is(err, objects.ErrNotFound) {
		return watermark{Expired: -1, Deleted: -1}, 0, nil
	}
	if err != nil {
		return watermark{}, 0, err
	}
	var w watermark
	if err := json.Unmarshal(obj.Data, &w); err != nil {
		return watermark{}, 0, eris.Wrapf(objects.ErrInvalid, "decode watermark: %v", err)
	}
	return w, obj.Version, nil
}
