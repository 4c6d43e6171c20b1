package quarantine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/quarantine"
)

const (
	system uint64 = iota + 1
	guilty
	subject
	other
)

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func crash(t *quarantine.Tracker, target uint64, at time.Duration, parts ...uint64) {
	t.RecordCrash(quarantine.Crash{Target: target, At: after(at), Parts: parts}, 0, after(at))
}

func standing(t *quarantine.Tracker, at time.Duration, parts ...uint64) quarantine.Standing {
	s, _ := t.Admit(parts, after(at))
	return s
}

// crashSeries records a crash of another target every 500 ms, and a complete answer with
// the system prompt after each.
func crashSeries(t *quarantine.Tracker, n int, parts ...uint64) {
	for i := range n {
		at := time.Duration(i) * 500 * time.Millisecond
		crash(t, uint64(i+1), at, append([]uint64{system}, parts...)...)
		t.RecordAnswer([]uint64{system}, after(at+100*time.Millisecond))
	}
}

func TestVerdict(t *testing.T) {
	t.Run("a part in each crash and in no complete answer is quarantined", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		crashSeries(tr, 4, guilty)
		c.Assert(standing(tr, 1600*time.Millisecond, system, guilty), qt.Equals, quarantine.Repeated)
		s, record := tr.Admit([]uint64{system, guilty}, after(1900*time.Millisecond))
		c.Assert(s, qt.Equals, quarantine.Quarantined)
		c.Assert(record.Part, qt.Equals, guilty)
		c.Assert(record.Crashes, qt.Equals, 4)
		c.Assert(record.LastCrash, qt.Equals, after(1500*time.Millisecond))
		c.Assert(standing(tr, 1900*time.Millisecond, system, subject), qt.Equals, quarantine.Clear)
	})
	t.Run("not before another router's answers can have arrived", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		crashSeries(tr, 4, guilty)
		tr.Merge(quarantine.Report{Answers: []quarantine.Answer{{Part: guilty, At: after(1550 * time.Millisecond)}}}, after(1700*time.Millisecond))
		c.Assert(standing(tr, 1900*time.Millisecond, guilty), qt.Equals, quarantine.Clear)
	})
	t.Run("also if the crashes were noticed late", func(t *testing.T) {
		// Guards against verdicts without the answers that others know (DENIED, issue 40).
		c := qt.New(t)
		tr := quarantine.NewTracker()
		for i := range 5 {
			tr.RecordCrash(quarantine.Crash{
				Target: uint64(i + 1), At: after(time.Duration(i) * 500 * time.Millisecond), Parts: []uint64{subject},
			}, 0, after(5*time.Second))
		}
		c.Assert(standing(tr, 5100*time.Millisecond, subject), qt.Equals, quarantine.Repeated)
		tr.Merge(quarantine.Report{Answers: []quarantine.Answer{{Part: subject, At: after(4 * time.Second)}}}, after(5200*time.Millisecond))
		c.Assert(standing(tr, 6*time.Second, subject), qt.Equals, quarantine.Clear)
	})
	t.Run("a target's crash counts once, however many routers report it", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		for i := range 9 {
			at := time.Duration(i) * 100 * time.Millisecond
			tr.Merge(quarantine.Report{Crashes: []quarantine.Crash{{Target: 1, At: after(at / 3), Parts: []uint64{guilty}}}}, after(at))
		}
		c.Assert(standing(tr, 5*time.Second, guilty), qt.Equals, quarantine.Suspected)
	})
	t.Run("also when a router notices it late", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		for i := range 4 {
			crash(tr, 1, time.Duration(i)*10*time.Second, guilty)
		}
		c.Assert(standing(tr, 40*time.Second, guilty), qt.Equals, quarantine.Suspected)
	})
	t.Run("the part is found among those of many calls that waited at the target", func(t *testing.T) {
		// Guards against a bound on the parts of a crash that keeps the guilty one out (issue 40).
		c := qt.New(t)
		tr, peer := quarantine.NewTracker(), quarantine.NewTracker()
		for i := range 4 {
			at := time.Duration(i) * 500 * time.Millisecond
			for sound := range uint64(100) {
				tr.RecordAnswer([]uint64{1000 + sound}, after(at-10*time.Millisecond))
				crash(tr, uint64(i+1), at, 1000+sound)
			}
			crash(tr, uint64(i+1), at, guilty)
			peer.Merge(tr.TakeReport(false, after(at)), after(at+50*time.Millisecond))
			for sound := range uint64(100) {
				tr.RecordAnswer([]uint64{1000 + sound}, after(at+100*time.Millisecond))
			}
		}
		c.Assert(standing(tr, 2*time.Second, guilty), qt.Equals, quarantine.Quarantined)
		c.Assert(standing(peer, 2*time.Second, guilty) >= quarantine.Repeated, qt.IsTrue)
	})
	t.Run("targets that end at the same moment count once", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		for i := range 9 {
			crash(tr, uint64(i+1), time.Duration(i)*5*time.Millisecond, subject)
		}
		c.Assert(standing(tr, 5*time.Second, subject), qt.Equals, quarantine.Suspected)
	})
	t.Run("a rare part beside the guilty one stays in use", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		crashSeries(tr, 2, guilty)
		crash(tr, 11, 1*time.Second, guilty, subject)
		crash(tr, 12, 2*time.Second, guilty, subject)
		crash(tr, 13, 3*time.Second, guilty, subject)
		crash(tr, 14, 3200*time.Millisecond, guilty, subject)
		c.Assert(standing(tr, 4*time.Second, subject), qt.Equals, quarantine.Clear)
		c.Assert(standing(tr, 4*time.Second, guilty), qt.Equals, quarantine.Quarantined)
	})
	t.Run("two guilty parts are both quarantined", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		for i := range 8 {
			crash(tr, uint64(i+1), time.Duration(i)*200*time.Millisecond, []uint64{guilty, other}[i%2])
		}
		c.Assert(standing(tr, 2*time.Second, guilty), qt.Equals, quarantine.Quarantined)
		c.Assert(standing(tr, 2*time.Second, other), qt.Equals, quarantine.Quarantined)
	})
	t.Run("crashes of other causes demand more evidence", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		for i := range 5 {
			crash(tr, uint64(i+1), time.Duration(i)*500*time.Millisecond, subject)
			crash(tr, uint64(i+101), time.Duration(i)*500*time.Millisecond+200*time.Millisecond, 100+uint64(i))
		}
		c.Assert(standing(tr, 4*time.Second, subject), qt.Equals, quarantine.Repeated)
	})
	t.Run("parts that are always answered together need more crashes", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		for i := range 6 {
			crash(tr, uint64(i+1), time.Duration(i)*200*time.Millisecond, guilty, subject)
		}
		c.Assert(standing(tr, 2*time.Second, guilty), qt.Equals, quarantine.Repeated)
		crash(tr, 7, 2*time.Second, guilty, subject)
		c.Assert(standing(tr, 3*time.Second, guilty), qt.Equals, quarantine.Quarantined)
	})
}

func TestRecordLifetime(t *testing.T) {
	t.Run("a complete answer ends the quarantine", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		crashSeries(tr, 4, guilty)
		c.Assert(standing(tr, 2*time.Second, guilty), qt.Equals, quarantine.Quarantined)
		tr.RecordAnswer([]uint64{guilty}, after(3*time.Second))
		c.Assert(standing(tr, 3*time.Second, guilty), qt.Equals, quarantine.Clear)
		c.Assert(tr.Records(after(3*time.Second)), qt.HasLen, 0)
	})
	t.Run("it lasts while such calls come and ends some time after the last", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		crashSeries(tr, 4, guilty)
		for i := range 10 {
			c.Assert(standing(tr, time.Duration(i+1)*5*time.Minute, guilty), qt.Equals, quarantine.Quarantined)
		}
		c.Assert(standing(tr, 2*time.Hour, guilty), qt.Equals, quarantine.Clear)
	})
	t.Run("afterwards one more crash is enough", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		crashSeries(tr, 4, guilty)
		c.Assert(standing(tr, 2*time.Second, guilty), qt.Equals, quarantine.Quarantined)
		crash(tr, 9, 2*time.Hour, guilty)
		c.Assert(standing(tr, 2*time.Hour+time.Second, guilty), qt.Equals, quarantine.Quarantined)
	})
	t.Run("a restarted router learns it from another one or from the store", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		crashSeries(tr, 4, guilty)
		records := tr.Records(after(2 * time.Second))
		c.Assert(records, qt.HasLen, 1)
		told, restored := quarantine.NewTracker(), quarantine.NewTracker()
		told.Merge(tr.TakeReport(true, after(2*time.Second)), after(2*time.Second))
		c.Assert(standing(told, 2*time.Second, guilty), qt.Equals, quarantine.Quarantined)
		restored.Restore(records, after(2*time.Second))
		c.Assert(standing(restored, 2*time.Second, guilty), qt.Equals, quarantine.Quarantined)
	})
	t.Run("a router that missed a release does not bring the record back", func(t *testing.T) {
		c := qt.New(t)
		tr, late := quarantine.NewTracker(), quarantine.NewTracker()
		crashSeries(tr, 4, guilty)
		late.Merge(tr.TakeReport(true, after(2*time.Second)), after(2*time.Second))
		tr.RecordAnswer([]uint64{guilty}, after(3*time.Second))
		_ = tr.TakeReport(false, after(3*time.Second))
		_ = tr.TakeReport(false, after(3*time.Second)) // Both are lost.
		tr.Merge(late.TakeReport(true, after(4*time.Second)), after(4*time.Second))
		c.Assert(standing(tr, 4*time.Second, guilty), qt.Equals, quarantine.Clear)
		late.Merge(tr.TakeReport(false, after(4*time.Second)), after(4*time.Second))
		c.Assert(standing(late, 4*time.Second, guilty), qt.Equals, quarantine.Clear)
	})
	t.Run("the number of records is bounded", func(t *testing.T) {
		c := qt.New(t)
		tr := quarantine.NewTracker()
		for part := range uint64(1000) {
			tr.Restore([]quarantine.Record{{
				Part: part, Crashes: 5, LastCrash: after(0), LastSeen: after(time.Duration(part) * time.Millisecond),
			}}, after(time.Second))
		}
		c.Assert(len(tr.Records(after(time.Second))) <= 64, qt.IsTrue)
		c.Assert(standing(tr, time.Second, 999), qt.Equals, quarantine.Quarantined)
	})
}
