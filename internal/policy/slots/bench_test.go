package slots_test

import (
	"fmt"
	"testing"
	"time"

	"hickoryrock/internal/policy/slots"
)

// BenchmarkCall measures what a call costs its coordinator: a request, a release and a part
// of the periodic Expire, with a number of requests that wait.
func BenchmarkCall(b *testing.B) {
	for _, waiting := range []int{0, 16, 255} {
		b.Run(fmt.Sprint("waiting-", waiting), func(b *testing.B) {
			var targets []slots.Target
			for hash := range uint64(6) {
				targets = append(targets, target(hash+1, 6))
			}
			p, now, serial := newPool(targets...), start, uint64(0)
			var held []slots.Key
			ask := func() {
				serial++
				r := slots.Request{
					Key: key(serial), Workspace: serial % 40, Priority: int(serial % 3),
					Objective: now.Add(time.Minute), Deadline: now.Add(time.Hour),
				}
				if p.Request(r, now).Kind == slots.Granted {
					held = append(held, r.Key)
				}
			}
			calls := 42 + waiting
			if waiting == 0 {
				calls = 20
			}
			for range calls {
				ask()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * time.Millisecond)
				replies := p.Release(held[0], slots.Result{Took: 60 * time.Millisecond, Succeeded: true, HasLoad: true, Running: 6}, now)
				held = held[1:]
				for _, r := range replies {
					held = append(held, r.Key)
				}
				ask()
				if serial%5 == 0 {
					p.Expire(now)
				}
			}
			if got := p.Summary(now).Waiting; got != waiting {
				b.Fatalf("%d requests wait, want %d", got, waiting)
			}
		})
	}
}
