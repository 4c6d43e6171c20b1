// Package freshness holds calls back while a router's view may be out of date: after
// its start, and after the process or its VM was paused. A key may have been withdrawn
// and a target drained in the meantime.
package freshness

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"hickoryrock/internal/platform/objects"
)

const (
	// tickInterval is how often the guard records that the process runs.
	tickInterval = 250 * time.Millisecond
	// pauseThreshold is the time between two ticks from which the process counts as
	// paused. It is above the delays of a busy VM.
	pauseThreshold = time.Second
	// confirmTimeout is how long calls are held back. Afterwards the router serves with
	// the view that it has: an unavailable store must not stop it.
	confirmTimeout = 400 * time.Millisecond
)

const (
	reasonStart = "start"
	reasonPause = "pause"
)

type (
	// Option configures a Guard.
	Option func(*Guard)

	// Guard tells whether a router's view is up to date. It is safe for concurrent use.
	Guard struct {
		confirm func(ctx context.Context) bool
		log     zerolog.Logger
		clock   func() time.Duration
		// lastTick is the clock's last reading in nanoseconds.
		lastTick atomic.Int64
		// pending is closed when the current confirmation ends; nil while the view is
		// confirmed.
		pending atomic.Pointer[chan struct{}]
		mu      sync.Mutex
		// unconfirmed is set while the last confirmation has failed.
		unconfirmed atomic.Bool
	}
)

// WithClock sets the clock, which must count the time in which the VM is suspended.
func WithClock(clock func() time.Duration) Option {
	return func(g *Guard) { g.clock = clock }
}

// WithUnconfirmedStart makes Await wait from the beginning, for a view that will be
// read from a cached list. Started must be called once the view has been read.
func WithUnconfirmedStart() Option {
	return func(g *Guard) {
		pending := make(chan struct{})
		g.pending.Store(&pending)
	}
}

// New returns a guard of a view that is confirmed already. Its confirm function brings
// the view up to date and reports whether it succeeded; its context ends after
// confirmTimeout.
func New(confirm func(ctx context.Context) bool, log zerolog.Logger, opts ...Option) *Guard {
	g := &Guard{confirm: confirm, log: log, clock: bootTime}
	for _, opt := range opts {
		opt(g)
	}
	g.lastTick.Store(int64(g.clock()))
	return g
}

// Started begins the confirmation of a view that was read from a cached list, which
// may be seconds out of date.
func (g *Guard) Started(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pending := g.pending.Load(); pending != nil {
		go g.run(ctx, pending, reasonStart, 0)
	}
}

// Run looks for pauses until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	for objects.Sleep(ctx, tickInterval) == nil {
		g.tick(ctx)
	}
}

// Await returns when the view is confirmed, confirmTimeout has passed or ctx is done. It
// returns at once unless the process was paused since the last confirmation.
func (g *Guard) Await(ctx context.Context) {
	g.tick(context.WithoutCancel(ctx))
	pending := g.pending.Load()
	if pending == nil {
		return
	}
	metrics.GetOrCreateCounter(`hickoryrock_calls_held_total{reason="view-not-confirmed"}`).Inc()
	select {
	case <-*pending:
	case <-ctx.Done():
	}
}

// Confirmed reports whether the view is up to date as far as the router can know.
func (g *Guard) Confirmed() bool { return g.pending.Load() == nil && !g.unconfirmed.Load() }

// tick records that the process runs, and begins a confirmation if it was paused. The
// confirmation is pending before the tick is recorded, so that no other caller of tick
// can take the view for confirmed in between.
func (g *Guard) tick(ctx context.Context) {
	now := g.clock()
	if now-g.last() <= pauseThreshold {
		g.lastTick.Store(int64(now))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if paused := now - g.last(); paused > pauseThreshold {
		if g.pending.Load() == nil {
			pending := make(chan struct{})
			g.pending.Store(&pending)
			go g.run(ctx, &pending, reasonPause, paused)
		}
		g.lastTick.Store(int64(now))
	}
}

func (g *Guard) last() time.Duration { return time.Duration(g.lastTick.Load()) }

func (g *Guard) run(ctx context.Context, pending *chan struct{}, reason string, paused time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	started := time.Now()
	confirmed := g.confirm(ctx)
	g.unconfirmed.Store(!confirmed)
	g.pending.Store(nil)
	close(*pending)
	g.log.Info().Str("reason", reason).Dur("paused-ms", paused).Dur("took-ms", time.Since(started)).
		Bool("confirmed", confirmed).Msg("view checked after a start or a pause")
}

// bootTime returns the time since the VM's boot, in which suspended time counts.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // Linux always has this clock.
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
