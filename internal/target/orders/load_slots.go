package orders

import (
	"context"
	"time"

	"hickoryrock/internal/platform/objects"
)

// KindWeightLoads is the kind of the object that limits concurrent loads from the weight store.
const KindWeightLoads = "weight-loads"

var loadSlotsKey = objects.Key{Kind: KindWeightLoads, Name: "fleet"}

// loadSlots holds the loads in progress in the whole fleet, by deployment and target,
// with the expiry of each slot in milliseconds since the epoch. Slots only bound
// concurrent loads; safety does not depend on the controllers' clocks.
type loadSlots struct {
	Until map[string]int64 `json:"until"`
}

// acquire assigns a slot to a target until the given time and reports whether one was free.
func (s *loadSlots) acquire(target string, now, until time.Time, limit int) bool {
	for t, ms := range s.Until {
		if !now.Before(time.UnixMilli(ms)) {
			delete(s.Until, t)
		}
	}
	if _, ok := s.Until[target]; !ok && len(s.Until) >= limit {
		return false
	}
	if s.Until == nil {
		s.Until = make(map[string]int64)
	}
	s.Until[target] = until.UnixMilli()
	return true
}

// acquireLoadSlot stores a slot for a target and reports whether one was free. After a conflict
// with another controller the next reconciliation retries.
func (c *Controller) acquireLoadSlot(ctx context.Context, target string) (bool, error) {
	var slots loadSlots
	version, err := readValue(ctx, c.store, loadSlotsKey, &slots)
	if err != nil {
		return false, err
	}
	now := c.opts.Now()
	if !slots.acquire(target, now, now.Add(c.opts.LoadTimeout), c.opts.MaxFleetLoads) {
		countNoLoadSlot()
		return false, nil
	}
	return true, writeValue(ctx, c.store, loadSlotsKey, version, slots)
}

func (c *Controller) releaseLoadSlot(ctx context.Context, target string) error {
	var slots loadSlots
	version, err := readValue(ctx, c.store, loadSlotsKey, &slots)
	if err != nil {
		return err
	}
	if _, ok := slots.Until[target]; !ok {
		return nil
	}
	delete(slots.Until, target)
	return writeValue(ctx, c.store, loadSlotsKey, version, slots)
}
