package page_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/report/page"
	"hickoryrock/internal/report/tally"
)

var evening = time.Date(2026, 12, 4, 18, 0, 0, 0, time.UTC)

func assertVerdict(c *qt.C, h tally.Hour, missing map[string]time.Time, want string, good bool) {
	c.Helper()
	p := page.New(page.Input{
		Workspace: "shop", Date: "2026-12-04", Zone: time.UTC, LateAfter: 2 * time.Second,
		Day: &tally.Day{Hours: map[int]*tally.Hour{9: &h}}, Missing: missing, Written: evening,
	})
	c.Assert(p.Verdict, qt.Equals, want)
	c.Assert(p.Good, qt.Equals, good)
}

func TestVerdict(t *testing.T) {
	c := qt.New(t)

	c.Run("all well", func(c *qt.C) {
		assertVerdict(c, tally.Hour{Asked: 3, Arrived: 3, Booked: 1}, nil, "All well today.", true)
	})
	c.Run("an unknown booking comes first", func(c *qt.C) {
		assertVerdict(c, tally.Hour{Asked: 3, Arrived: 1, NotRun: 1, Unknown: 1}, nil,
			"Please look at 1 call below: we cannot say whether it was done.", false)
	})
	c.Run("turned away", func(c *qt.C) {
		assertVerdict(c, tally.Hour{Asked: 3, Arrived: 1, NotRun: 2}, nil,
			"Mostly well: nothing was done twice, but 2 calls were turned away.", false)
	})
	c.Run("missing counts are never all well", func(c *qt.C) {
		assertVerdict(c, tally.Hour{Asked: 1, Arrived: 1}, map[string]time.Time{"r/1": evening},
			"All well as far as we can see; some counts are missing.", false)
	})
}

func TestWrite(t *testing.T) {
	c := qt.New(t)
	day := &tally.Day{
		Hours: map[int]*tally.Hour{9: {Asked: 2, Arrived: 1, Unknown: 1}},
		UnknownCalls: []tally.UnknownCall{{
			Key: "01a23f50-<key>", Service: "bookings", Method: "book-batch", Time: evening, Reason: outcome.ReasonConnectionLost,
		}},
	}
	p := page.New(page.Input{Workspace: "shop", Date: "2026-12-04", Zone: time.UTC, Day: day, Written: evening})

	c.Run("text lists the key with what to do", func(c *qt.C) {
		var b strings.Builder
		c.Assert(p.WriteText(&b), qt.IsNil)
		c.Assert(b.String(), qt.Contains, "01a23f50-<key>")
		c.Assert(b.String(), qt.Contains, "Look for this key in your order book.")
	})

	c.Run("HTML escapes caller input and loads no external resources", func(c *qt.C) {
		var b strings.Builder
		c.Assert(p.WriteHTML(&b), qt.IsNil)
		c.Assert(b.String(), qt.Contains, "01a23f50-&lt;key&gt;")
		c.Assert(b.String(), qt.Not(qt.Contains), "http")
	})
}
