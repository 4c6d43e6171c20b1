package edge

import (
	"context"
	"time"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/platform"
)

const (
	// settleIntervals is the number of report intervals in which the answers that all
	// routers have completed are known to all; settleMargin covers relays and late timers.
	settleIntervals = 2
	settleMargin    = 100 * time.Millisecond
	// quarantineSyncInterval is how often the router that watches the store compares the
	// store's records of prompt parts that crash targets with its own.
	quarantineSyncInterval = time.Second
	// quarantineRereadAge is the age of a process at which it reads the store's records
	// again, if it watches the store: the first, cached list may have been seconds old.
	quarantineRereadAge = 5 * time.Second
	// quarantineRefreshAge is the age at which the last use in a stored record is renewed.
	quarantineRefreshAge = 3 * time.Minute
)

// settleTime returns the time after which a crash that was learned of counts.
func (r *Router) settleTime() time.Duration {
	return settleMargin + settleIntervals*r.fleet.ReportInterval()
}

// keepQuarantine reads the records of prompt parts that crash targets from the store, so
// that they survive a loss of all routers, and writes them there. Other routers tell of
// them in beacons, so only one router does so after the start.
func (r *Router) keepQuarantine(ctx context.Context) {
	started := time.Now()
	stored := make(map[uint64]quarantine.Record)
	isRead, isReread := r.restoreQuarantine(ctx, stored), false
	era := r.storeEra()
	for objects.Sleep(ctx, quarantineSyncInterval) == nil {
		if !r.watchesStore() {
			continue
		}
		if current := r.storeEra(); current > era {
			// The store may lack records, and have others that were deleted.
			if !r.rereadQuarantine(ctx, stored) {
				continue
			}
			era, isRead, isReread = current, true, true
		}
		if !isReread && time.Since(started) > quarantineRereadAge {
			isReread = r.restoreQuarantine(ctx, stored)
			isRead = isRead || isReread
		}
		if isRead {
			r.storeQuarantine(ctx, stored)
		}
	}
}

// restoreQuarantine reads the store's records into the tracker and into stored.
func (r *Router) restoreQuarantine(ctx context.Context, stored map[uint64]quarantine.Record) bool {
	records, ok := r.readQuarantine(ctx, r.store.ListCached)
	for _, record := range records {
		stored[record.Part] = record
	}
	r.quarantine.Restore(records, time.Now())
	return ok
}

// rereadQuarantine replaces stored by the records that the store has now.
func (r *Router) rereadQuarantine(ctx context.Context, stored map[uint64]quarantine.Record) bool {
	records, ok := r.readQuarantine(ctx, r.store.List)
	if !ok {
		return false
	}
	clear(stored)
	for _, record := range records {
		stored[record.Part] = record
	}
	return true
}

func (r *Router) readQuarantine(
	ctx context.Context, list func(context.Context, string) (platform.Page, error),
) ([]quarantine.Record, bool) {
	page, err := list(ctx, platform.KindQuarantine)
	if err != nil {
		r.log.Warn().Err(err).Msg("failed to read the records of quarantined prompt parts")
		return nil, false
	}
	records := make([]quarantine.Record, 0, len(page.Objects))
	for _, o := range page.Objects {
		record, err := platform.DecodeQuarantine(o)
		if err != nil {
			r.log.Warn().Err(err).Msg("skipping invalid quarantine record")
			continue
		}
		records = append(records, record)
	}
	return records, true
}

// storeQuarantine writes the records that the store does not have yet, and deletes those
// that no longer exist. A failed call is repeated at the next comparison.
func (r *Router) storeQuarantine(ctx context.Context, stored map[uint64]quarantine.Record) {
	current := make(map[uint64]bool)
	for _, record := range r.quarantine.Records(time.Now()) {
		current[record.Part] = true
		if old, ok := stored[record.Part]; ok && record.LastSeen.Sub(old.LastSeen) < quarantineRefreshAge {
			continue
		}
		name := quarantine.PartName(record.Part)
		if err := r.store.Put(ctx, platform.KindQuarantine, name, platform.EncodeQuarantine(record)); err != nil {
			r.log.Warn().Err(err).Str("part", name).Msg("failed to store the record of a quarantined prompt part")
			return
		}
		stored[record.Part] = record
	}
	for part := range stored {
		if current[part] {
			continue
		}
		name := quarantine.PartName(part)
		if err := r.store.Delete(ctx, platform.KindQuarantine, name); err != nil {
			r.log.Warn().Err(err).Str("part", name).Msg("failed to delete the record of a released prompt part")
			return
		}
		delete(stored, part)
	}
}

func (r *Router) logQuarantine(c quarantine.Change) {
	message := "prompt part quarantined: it crashes targets"
	if c.Released {
		message = "prompt part released: it was answered completely"
	}
	now := time.Now()
	r.log.Warn().Str("part", quarantine.PartName(c.Part)).Int("crashes", c.Crashes).Bool("reported", c.Reported).
		Dur("last-crash-ago-ms", now.Sub(c.LastCrash)).Dur("last-seen-ago-ms", now.Sub(c.LastSeen)).Msg(message)
}

func (r *Router) countQuarantined() float64 {
	n, now := 0, time.Now()
	for _, record := range r.quarantine.Records(now) {
		if record.IsActive(now) {
			n++
		}
	}
	return float64(n)
}

func (r *Router) quarantineViews() []quarantineView {
	now := time.Now()
	var out []quarantineView
	for _, record := range r.quarantine.Records(now) {
		out = append(out, quarantineView{
			Part: quarantine.PartName(record.Part), Crashes: record.Crashes, Refused: record.IsActive(now),
			LastCrashAgeMS: now.Sub(record.LastCrash).Milliseconds(), LastSeenAgeMS: now.Sub(record.LastSeen).Milliseconds(),
		})
	}
	return out
}
