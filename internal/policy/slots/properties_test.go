package slots_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hickoryrock/internal/policy/slots"
)

// Guards against calls beyond the slots of a target: whatever is requested, released and
// cancelled, no target has more calls in flight than its slots and one.
func TestTargetsKeepTheirPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		p := newPool(plainTarget(1, 2), plainTarget(2, 1))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			k := slots.Key{Process: 1, Serial: rapid.Uint64Range(0, 30).Draw(t, "serial")}
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				p.Request(request(k.Serial, now), now)
			case 2:
				p.Release(k, slots.Result{Took: time.Millisecond, Succeeded: rapid.Bool().Draw(t, "succeeded")}, now)
			case 3:
				p.Cancel(k, now)
			}
			for _, s := range p.Summary(now).Targets {
				if s.InFlight > 4-int(s.Hash) {
					t.Fatalf("target %d has %d calls", s.Hash, s.InFlight)
				}
			}
		}
	})
}
