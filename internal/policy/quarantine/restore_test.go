package quarantine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/quarantine"
)

// Guards against a record of another writer that condemns a part for good: complete answers
// only count if they are later than the last crash.
func TestRecordsFromTheFuture(t *testing.T) {
	const part = 7
	now := after(time.Second)
	for name, r := range map[string]quarantine.Record{
		"last crash": {LastCrash: after(1000 * time.Hour), LastSeen: now},
		"last seen":  {LastCrash: after(-time.Hour), LastSeen: after(1000 * time.Hour)},
		"both":       {LastCrash: time.UnixMilli(1 << 62), LastSeen: time.UnixMilli(1 << 62)},
	} {
		t.Run("are ignored: "+name, func(t *testing.T) {
			tr := quarantine.NewTracker()
			r.Part, r.Crashes = part, 5
			tr.Restore([]quarantine.Record{r}, now)
			qt.Assert(t, standing(tr, time.Second, part), qt.Equals, quarantine.Clear)
		})
	}
	t.Run("by a clock that is ahead are taken as of now", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		ahead := after(10 * time.Minute)
		tr.Restore([]quarantine.Record{{Part: part, Crashes: 5, LastCrash: ahead, LastSeen: ahead}}, now)
		c.Assert(standing(tr, time.Second, part), qt.Equals, quarantine.Quarantined)
		tr.RecordAnswer([]uint64{part}, after(2*time.Second))
		c.Assert(standing(tr, 2*time.Second, part), qt.Equals, quarantine.Clear)
	})
}

// Guards against a part that is refused again because a router that restarted read its record from
// an old page of a cached list (issue 55), after the part was released by a complete answer.
func TestReleasedPartsStayReleasedBesideOldRecords(t *testing.T) {
	const part = 7
	c := qt.New(t)
	old := []quarantine.Record{{Part: part, Crashes: 5, LastCrash: after(time.Second), LastSeen: after(time.Second)}}
	undisturbed, restarted := quarantine.NewTracker(), quarantine.NewTracker()
	undisturbed.Restore(old, after(time.Second))
	undisturbed.RecordAnswer([]uint64{part}, after(2*time.Second))
	restarted.Restore(old, after(4*time.Second))
	undisturbed.Merge(restarted.TakeReport(true, after(4*time.Second)), after(4*time.Second))
	c.Assert(standing(undisturbed, 4*time.Second, part), qt.Equals, quarantine.Clear)
	restarted.Merge(undisturbed.TakeReport(true, after(5*time.Second)), after(5*time.Second))
	c.Assert(standing(restarted, 5*time.Second, part), qt.Equals, quarantine.Clear)
}
