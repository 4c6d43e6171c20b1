package freshness_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/freshness"
)

type fixture struct {
	*qt.C
	*freshness.Guard
	now      atomic.Int64
	confirms atomic.Int64
	// result is sent to each confirmation; a confirmation ends without one at its timeout.
	result chan bool
}

func newFixture(t *testing.T, opts ...freshness.Option) *fixture {
	f := &fixture{C: qt.New(t), result: make(chan bool, 10)}
	f.Guard = freshness.New(func(ctx context.Context) bool {
		f.confirms.Add(1)
		select {
		case ok := <-f.result:
			return ok
		case <-ctx.Done():
			return false
		}
	}, zerolog.Nop(), append(opts, freshness.WithClock(func() time.Duration { return time.Duration(f.now.Load()) }))...)
	return f
}

func (f *fixture) advance(d time.Duration) { f.now.Add(int64(d)) }

// assertHeld checks that a call waits until release is called.
func (f *fixture) assertHeld(release func()) {
	f.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Await(context.Background())
	}()
	select {
	case <-done:
		f.Fatal("the call was not held")
	case <-time.After(30 * time.Millisecond):
	}
	release()
	<-done
}

func (f *fixture) assertNotHeld(confirms int64) {
	f.Helper()
	f.Await(context.Background())
	f.Assert(f.confirms.Load(), qt.Equals, confirms)
}

// A router that was paused for seconds must not use a key or a target that was
// withdrawn in the meantime: its first call waits until the view is confirmed.
func TestCallsAfterPauseWaitForConfirmation(t *testing.T) {
	t.Run("the first call after a pause", func(t *testing.T) {
		f := newFixture(t)
		f.assertNotHeld(0)
		f.advance(3 * time.Second)
		f.assertHeld(func() { f.result <- true })
		f.assertNotHeld(1)
		f.Assert(f.Confirmed(), qt.IsTrue)
	})
	t.Run("all calls during one confirmation", func(t *testing.T) {
		f := newFixture(t)
		f.advance(3 * time.Second)
		f.assertHeld(func() { f.assertHeld(func() { f.result <- true }) })
		f.Assert(f.confirms.Load(), qt.Equals, int64(1))
	})
	t.Run("not without a pause", func(t *testing.T) {
		f := newFixture(t)
		for range 10 {
			f.advance(900 * time.Millisecond)
			f.assertNotHeld(0)
		}
	})
	t.Run("each pause anew", func(t *testing.T) {
		f := newFixture(t)
		for i := range 3 {
			f.advance(2 * time.Second)
			f.assertHeld(func() { f.result <- true })
			f.assertNotHeld(int64(i + 1))
		}
	})
}

func TestStart(t *testing.T) {
	f := newFixture(t, freshness.WithUnconfirmedStart())
	f.Assert(f.Confirmed(), qt.IsFalse)
	f.assertHeld(func() {
		f.Started(context.Background())
		f.result <- true
	})
	f.Assert(f.Confirmed(), qt.IsTrue)
}

// An unavailable store must not stop a router: calls are held for a bounded time.
func TestConfirmationTimeout(t *testing.T) {
	f := newFixture(t)
	f.advance(3 * time.Second)
	begun := time.Now()
	f.Await(context.Background())
	f.Assert(time.Since(begun) < time.Second, qt.IsTrue)
	f.Assert(f.Confirmed(), qt.IsFalse)
	f.assertNotHeld(1)
}

func TestCallerThatLeavesIsNotHeld(t *testing.T) {
	f := newFixture(t)
	f.advance(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.Await(ctx)
	f.result <- true
}

// Guards against a failure under load: the process resumes, one goroutine notices the
// pause, and a call passes before that goroutine has begun the confirmation.
func TestNoCallPassesBetweenPauseAndConfirmation(t *testing.T) {
	const (
		pauses = 3000
		calls  = 8
	)
	var now, confirmed, early atomic.Int64
	guard := freshness.New(func(context.Context) bool {
		confirmed.Add(1)
		return true
	}, zerolog.Nop(), freshness.WithClock(func() time.Duration { return time.Duration(now.Load()) }))
	for pause := range int64(pauses) {
		now.Add(int64(3 * time.Second))
		var group sync.WaitGroup
		for range calls {
			group.Go(func() {
				guard.Await(context.Background())
				if confirmed.Load() <= pause {
					early.Add(1)
				}
			})
		}
		group.Wait()
	}
	qt.Assert(t, early.Load(), qt.Equals, int64(0))
}
