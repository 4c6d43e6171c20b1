package tally_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/report/tally"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func atMostOnceCall(key string, f *outcome.Failure) tally.Call {
	return tally.Call{
		Workspace: "shop", TimeZone: time.UTC, Ended: noon, AtMostOnce: true,
		Service: "bookings", Method: "book-batch", Key: key, Failure: f,
	}
}

func TestTally(t *testing.T) {
	c := qt.New(t)

	c.Run("days follow the workspace's time zone", func(c *qt.C) {
		counts := tally.New()
		jakarta := time.FixedZone("WIB", 7*60*60)
		counts.Add(tally.Call{Workspace: "group", TimeZone: jakarta, Ended: noon.Add(6 * time.Hour)})
		day := counts.Take()[tally.Key{Workspace: "group", Date: "2026-12-05"}]
		c.Assert(day, qt.IsNotNil)
		c.Assert(day.Hours[1].Asked, qt.Equals, 1)
	})

	c.Run("unknown at-most-once call is listed by key", func(c *qt.C) {
		counts := tally.New()
		counts.Add(atMostOnceCall("k1", outcome.NewUnknown(outcome.ReasonConnectionLost, "lost")))
		counts.Add(atMostOnceCall("k2", outcome.NewNotRun(outcome.ReasonOverloaded, "full")))
		day := counts.Take()[tally.Key{Workspace: "shop", Date: "2026-12-04"}]
		c.Assert(day.UnknownCalls, qt.HasLen, 1)
		c.Assert(day.UnknownCalls[0].Key, qt.Equals, "k1")
		c.Assert(day.Total().NotRun, qt.Equals, 1)
	})

	c.Run("resumed response counts as one call", func(c *qt.C) {
		counts := tally.New()
		chat := tally.Call{Workspace: "shop", TimeZone: time.UTC, Ended: noon}
		cut := chat
		cut.Failure = outcome.NewUnknown(outcome.ReasonCancelled, "gone")
		resumed := chat
		resumed.Resumed = true
		counts.Add(cut)
		counts.Add(resumed)
		total := counts.Take()[tally.Key{Workspace: "shop", Date: "2026-12-04"}].Total()
		c.Assert(total, qt.Equals, tally.Hour{Asked: 1, Arrived: 1})
	})
}

// TestRecord applies deliveries of two routers repeatedly and late. Each must be
// counted exactly once.
func TestRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shard := tally.ShardOf("shop")
		record := tally.NewRecord("2026-12-04", shard)
		pending := map[string]tally.Delivery{}
		added := 0
		t.Repeat(map[string]func(*rapid.T){
			"call and close a batch": func(t *rapid.T) {
				router := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "router")
				last, waiting := pending[router]
				if waiting && last.Sequence > record.Sources[router].Sequence {
					t.Skip("one delivery at a time")
				}
				counts := tally.New()
				counts.Add(atMostOnceCall("k", nil))
				added++
				pending[router] = tally.Delivery{Router: router, Sequence: last.Sequence + 1, Sent: noon, Days: counts.Take().Items()}
				record.Apply(pending[router])
			},
			"deliver again": func(t *rapid.T) {
				router := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "router")
				if d, ok := pending[router]; ok {
					record.Apply(d)
				}
			},
			"": func(t *rapid.T) {
				counted := 0
				if day := record.Workspaces["shop"]; day != nil {
					counted = day.Total().Booked
				}
				if counted != added {
					t.Fatalf("counted %d of %d calls", counted, added)
				}
			},
		})
	})
}

func TestMerge(t *testing.T) {
	c := qt.New(t)
	day := &tally.Day{}
	for range 3 {
		counts := tally.New()
		for range tally.MaxUnknown {
			counts.Add(atMostOnceCall("k", outcome.NewUnknown(outcome.ReasonConnectionLost, "lost")))
		}
		day.Merge(counts.Take()[tally.Key{Workspace: "shop", Date: "2026-12-04"}])
	}
	c.Assert(day.UnknownCalls, qt.HasLen, tally.MaxUnknown)
	c.Assert(day.Total().Unknown, qt.Equals, 3*tally.MaxUnknown)
}
