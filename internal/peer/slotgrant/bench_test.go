package slotgrant

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/slots"
)

// BenchmarkAcquire measures a grant and its release without waiting.
func BenchmarkAcquire(b *testing.B) {
	for _, isSelf := range []bool{true, false} {
		b.Run(map[bool]string{true: "own-coordinator", false: "loopback"}[isSelf], func(b *testing.B) {
			c := qt.New(b)
			f := newFleet()
			f.targets = []slots.Target{{Hash: 1, Slots: 6, IsEligible: true}, {Hash: 2, Slots: 6, IsEligible: true}}
			coordinator, _ := f.start(c, "127.0.0.1:0")
			client := coordinator
			f.setMembers(self(coordinator.Address()))
			if !isSelf {
				client, _ = f.start(c, "127.0.0.1:0")
				f.setMembers(member(coordinator.Address()))
			}
			b.ReportAllocs()
			for b.Loop() {
				grant, err := client.Acquire(context.Background(), f.newRequest())
				if err != nil {
					b.Fatal(err)
				}
				client.Release(grant, slots.Result{Took: time.Millisecond, Succeeded: true})
			}
		})
	}
}
