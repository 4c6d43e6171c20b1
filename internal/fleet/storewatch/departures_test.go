package storewatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a target that is called again some minutes after it has said that it leaves.
func TestAnnouncedDeparturesAreKeptWhileListed(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	const listed, gone, drained = 1, 2, 3
	isListed := func(target uint64) bool { return target != gone }
	d := make(departures)
	d.record(Departure{Target: listed, Drained: true, Announced: true, At: now})
	d.record(Departure{Target: gone, Drained: true, Announced: true, At: now})
	d.record(Departure{Target: drained, Drained: true, At: now})
	for range 5 {
		now = now.Add(departureMemory + time.Second)
		d.prune(now, isListed)
	}
	c.Assert(d, qt.HasLen, 1)
	c.Assert(d.isAnnounced(listed), qt.IsTrue)
	for target := range uint64(maxDepartures + 10) {
		d.record(Departure{Target: 100 + target, At: now.Add(time.Hour)})
	}
	c.Assert(d, qt.HasLen, maxDepartures)
	c.Assert(d.isAnnounced(listed), qt.IsTrue, qt.Commentf("dropped for others that left"))
}
