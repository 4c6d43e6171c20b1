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
func (p *loadSlots) acquire(target string, now, until time.Time, limit int) bool {
	for t, ms := range p.Until {
		if !now.Before(time.UnixMilli(ms)) {
			delete(p.Until, t)
		}
	}
	if _, ok := p.Until[target]; !ok && len(p.Until) >= limit {
		return false
	}
	if p.Until == nil {
		p.Until = make(map[string]int64)
	}
	p.Until[target] = until.UnixMilli()
	return true
}

// acquireLoadSlot stores a slot for a target. After a conflict with another controller the next reconciliation retries.
func (c *Controller) acquireLoadSlot(ctx context.Context, target string) (bool, error) {
	var p loadSlots
	version, err := readValue(ctx, c.store, loadSlotsKey, &p)
	if err != nil {
		return false, err
	}
	now := c.opts.Now()
	if !p.acquire(target, now, now.Add(c.opts.LoadTimeout), c.opts.MaxFleetLoads) {
		countNoLoadSlot()
		return false, nil
	}
	return true, writeValue(ctx, c.store, loadSlotsKey, version, p)
}

func (c *Controller) releaseLoadSlot(ctx context.Context, target string) error {
	var p loadSlots
	version, err := readValue(ctx, c.store, loadSlotsKey, &p)
	if err != nil {
		return err
	}
	if _, ok := p.Until[target]; !ok {
		return nil
	}
	delete(p.Until, target)
	return writeValue(ctx, c.store, loadSlotsKey, version, p)
}
