// Package collect stores the daily counts of the routers on the platform and
// reads them back. Each delivery is counted exactly once, and a router that is
// lost with undelivered counts is reported as missing.
package collect

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/report/tally"
)

// Day holds the stored counts of one workspace on one day.
type Day struct {
	Counts *tally.Day
	// Missing maps the routers that stopped without a final delivery to the time
	// of their last one.
	Missing map[string]time.Time
}

// ReadDay reads a workspace's day from the records of all failure domains. Routers
// whose last delivery on that day or the next was not final and is more than
// missingAfter before now count as missing. The next day is included, so that a
// router that kept delivering after the end of the day does not count as missing.
// Later days are not read: for days before yesterday, routers that are still running
// count as missing, too.
func ReadDay(ctx context.Context, store objects.Store, workspace, date string, now time.Time, missingAfter time.Duration) (Day, error) {
	next, err := nextDate(date)
	if err != nil {
		return Day{}, err
	}
	keys := []recordKey{{date: date, shard: tally.ShardOf(workspace)}, {date: date}, {date: next}}
	counts := &tally.Day{}
	sources := tally.NewRecord(date, 0)
	for i, k := range keys {
		records, err := listRecords(ctx, store, k)
		if err != nil {
			return Day{}, err
		}
		for _, r := range records {
			if i == 0 && r.Workspaces[workspace] != nil {
				counts.Merge(r.Workspaces[workspace])
			}
			sources.MergeSources(r.Sources, i < len(keys)-1)
		}
	}
	return Day{Counts: counts, Missing: maps.Clone(sources.Missing(now, missingAfter))}, nil
}

func listRecords(ctx context.Context, store objects.Store, k recordKey) ([]*tally.Record, error) {
	l, err := store.List(ctx, recordKind(k.date, k.shard))
	if err != nil {
		return nil, eris.Wrapf(err, "read the counts of %s", k.date)
	}
	records := make([]*tally.Record, 0, len(l.Objects))
	for _, o := range l.Objects {
		r := tally.NewRecord(k.date, k.shard)
		if err := json.Unmarshal(o.Data, r); err != nil {
			return nil, eris.Wrapf(err, "decode the counts of %s", k.date)
		}
		records = append(records, r)
	}
	return records, nil
}

func nextDate(date string) (string, error) {
	day, err := time.Parse(tally.DateFormat, date)
	if err != nil {
		return "", eris.Wrapf(err, "invalid day %q", date)
	}
	return day.AddDate(0, 0, 1).Format(tally.DateFormat), nil
}
