package edge

import (
	"testing"
	"time"

	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// Guards against records of the fleet that are lost for good when the store comes back from an
// earlier state, and against deleted ones that come back with it.
func TestOwnRecordsSurviveARestoredStore(t *testing.T) {
	now := time.Now()
	lost := quarantine.Record{Part: 0xc0ffee, Crashes: 5, LastCrash: now, LastSeen: now}
	released := quarantine.Record{Part: 0xdecaf, Crashes: 5, LastCrash: now, LastSeen: now}
	store := platformtest.NewStore()
	store.Save()
	f := newFixtureWithStore(t, store)
	f.configure()
	records := func(kind string, n int) func() bool {
		return func() bool { return len(store.Names(kind)) == n }
	}
	f.router.quarantine.Restore([]quarantine.Record{released}, now)
	f.eventually("the router is registered", records(platform.KindRouters, 1))
	f.eventually("the first part is recorded", records(platform.KindQuarantine, 1))

	store.Restore()
	f.eventually("the router is registered again", records(platform.KindRouters, 1))
	f.eventually("the part is recorded again", records(platform.KindQuarantine, 1))

	store.Save()
	f.router.quarantine.Restore([]quarantine.Record{lost}, now)
	f.router.quarantine.RecordAnswer([]uint64{released.Part}, time.Now())
	isCurrent := func() bool {
		names := store.Names(platform.KindQuarantine)
		return len(names) == 1 && names[0] == quarantine.PartName(lost.Part)
	}
	f.eventually("only the second part is recorded", isCurrent)
	store.Restore()
	f.eventually("only the second part is recorded again", isCurrent)
}
