package objects

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes delays for exponential backoff with jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	// Random returns a number in [0, 1); nil selects math/rand/v2.
	Random func() float64
}

// Delay returns the delay after a number of consecutive failures: a random time between
// half of the exponential step and the whole step, which Max bounds.
func (b Backoff) Delay(failures int) time.Duration {
	d := b.Base
	for i := 1; i < failures && d < b.Max; i++ {
		d *= 2
	}
	d = min(d, b.Max)
	random := b.Random
	if random == nil {
		random = rand.Float64
	}
	return d/2 + time.Duration(random()*float64(d/2))
}

// Sleep waits for d, or until ctx ends and then returns its error.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
