package gossip

import (
	"math"
	"time"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/quarantine"
)

// sendQuarantine tells all peers what this router knows of prompt parts that crash
// targets, if there is anything to tell.
func (f *Fleet) sendQuarantine(full bool) {
	now := time.Now()
	r := f.opts.Quarantine.TakeReport(full, now)
	if len(r.Crashes)+len(r.Answers)+len(r.Records) == 0 {
		return
	}
	b := f.newBeacon()
	for _, c := range r.Crashes {
		b.Crashes = append(b.Crashes, &peerv1.TargetCrash{Target: c.Target, AgeMs: ageMS(c.At, now), Parts: c.Parts})
	}
	for _, a := range r.Answers {
		b.Answers = append(b.Answers, &peerv1.PartAnswer{Part: a.Part, AgeMs: ageMS(a.At, now)})
	}
	for _, q := range r.Records {
		b.Quarantined = append(b.Quarantined, &peerv1.QuarantinedPart{
			Part: q.Part, Crashes: uint32(q.Crashes), CrashAgeMs: ageMS(q.LastCrash, now), SeenAgeMs: ageMS(q.LastSeen, now),
		})
	}
	f.broadcast(b)
}

// mergeQuarantine takes over what another router knows of such parts.
func (f *Fleet) mergeQuarantine(b *peerv1.Beacon, now time.Time) {
	var r quarantine.Report
	for _, c := range b.GetCrashes() {
		r.Crashes = append(r.Crashes, quarantine.Crash{Target: c.GetTarget(), At: timeBefore(now, c.GetAgeMs()), Parts: c.GetParts()})
	}
	for _, a := range b.GetAnswers() {
		r.Answers = append(r.Answers, quarantine.Answer{Part: a.GetPart(), At: timeBefore(now, a.GetAgeMs())})
	}
	for _, q := range b.GetQuarantined() {
		r.Records = append(r.Records, quarantine.Record{
			Part: q.GetPart(), Crashes: int(q.GetCrashes()),
			LastCrash: timeBefore(now, q.GetCrashAgeMs()), LastSeen: timeBefore(now, q.GetSeenAgeMs()),
		})
	}
	if len(r.Crashes)+len(r.Answers)+len(r.Records) > 0 {
		f.opts.Quarantine.Merge(r, now)
	}
}

// ageMS returns the time since at in milliseconds, or the longest that a beacon can hold.
func ageMS(at, now time.Time) uint32 {
	return uint32(min(max(now.Sub(at), 0).Milliseconds(), math.MaxUint32))
}

func timeBefore(now time.Time, ageMS uint32) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
