package tally

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of records that a failure domain's day is split into, to
// keep each below the platform's maximum value size.
const Shards = 8

type (
	// Delivery is one batch of counts that a router sends to the aggregator.
	Delivery struct {
		// Router consists of the router's name and start time; it is unique to one process.
		Router string `json:"router"`
		// Sequence numbers the router's deliveries from 1. A repeated delivery keeps
		// its number.
		Sequence uint64 `json:"sequence"`
		// Sent is the time at which the router closed the batch.
		Sent time.Time `json:"sent"`
		// Final is set on the last delivery of a graceful shutdown.
		Final bool   `json:"final,omitempty"`
		Days  []Item `json:"days,omitempty"`
	}

	// Item holds the counts of one workspace's day in a Delivery.
	Item struct {
		Key
		Day *Day `json:"day"`
	}

	// Source is the delivery state of one router process in a stored record.
	Source struct {
		// Sequence is that of the last counted delivery.
		Sequence uint64 `json:"sequence"`
		// Last is the time at which that delivery's batch was closed.
		Last time.Time `json:"last"`
		// Final is set when the router has delivered all its counts.
		Final bool `json:"final,omitempty"`
	}

	// Record is the stored form of one shard of a failure domain's day. It holds
	// the counts together with the last counted delivery of each router, so that
	// both are updated atomically and a repeated delivery is not counted twice.
	Record struct {
		Date       string            `json:"date"`
		Shard      int               `json:"shard"`
		Workspaces map[string]*Day   `json:"workspaces"`
		Sources    map[string]Source `json:"sources"`
	}
)

// Items returns the days of a batch, sorted by date and workspace.
func (b Batch) Items() []Item {
	items := make([]Item, 0, len(b))
	for k, d := range b {
		items = append(items, Item{Key: k, Day: d})
	}
	sort.Slice(items, func(i, j int) bool {
		if items[i].Date != items[j].Date {
			return items[i].Date < items[j].Date
		}
		return items[i].Workspace < items[j].Workspace
	})
	return items
}

// ShardOf returns the shard that holds a workspace's days.
func ShardOf(workspace string) int {
	return int(xxhash.Sum64String(workspace) % Shards)
}

// NewRecord returns an empty record of one shard of a day.
func NewRecord(date string, shard int) *Record {
	return &Record{Date: date, Shard: shard, Workspaces: map[string]*Day{}, Sources: map[string]Source{}}
}

// Apply adds the counts of a delivery that belong to the record. It returns false
// and changes nothing if the delivery is already counted.
func (r *Record) Apply(d Delivery) bool {
	s := r.Sources[d.Router]
	if d.Sequence <= s.Sequence {
		return false
	}
	r.Sources[d.Router] = Source{Sequence: d.Sequence, Last: d.Sent, Final: d.Final}
	for _, item := range d.Days {
		if item.Date != r.Date || ShardOf(item.Workspace) != r.Shard {
			continue
		}
		if r.Workspaces[item.Workspace] == nil {
			r.Workspaces[item.Workspace] = &Day{}
		}
		r.Workspaces[item.Workspace].Merge(item.Day)
	}
	return true
}

// Missing returns the routers that stopped without a final delivery, with the
// time of their last one. A router counts as stopped if it has not delivered for
// longer than missingAfter.
func (r *Record) Missing(now time.Time, missingAfter time.Duration) map[string]time.Time {
	missing := map[string]time.Time{}
	for name, s := range r.Sources {
		if !s.Final && now.Sub(s.Last) > missingAfter {
			missing[name] = s.Last
		}
	}
	return missing
}

// MergeSources updates the last deliveries of routers. own is false for sources of
// a later day's record; routers that occur only there are ignored.
func (r *Record) MergeSources(sources map[string]Source, own bool) {
	for name, s := range sources {
		current, ok := r.Sources[name]
		if !ok && !own {
			continue
		}
		if s.Sequence > current.Sequence {
			r.Sources[name] = s
		}
	}
}
