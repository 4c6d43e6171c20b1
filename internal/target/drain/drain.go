// Package drain drains an engine: its requests finish and its KV caches are copied to the engines
// at which their conversations continue.
package drain

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/target/engine"
)

type (
	// Engines is the engine client that draining needs.
	Engines interface {
		Drain(ctx context.Context, address string) *outcome.Failure
		Load(ctx context.Context, address string) (engine.Load, *outcome.Failure)
		Conversations(ctx context.Context, address string) (map[string]int, *outcome.Failure)
		Move(ctx context.Context, from, to, conversation string) *outcome.Failure
	}

	// DestinationFunc returns the address of the engine at which a conversation continues, and
	// whether there is one.
	DestinationFunc func(conversation string) (address string, ok bool)

	// Drainer drains engines that are leaving the fleet.
	Drainer struct {
		engines Engines
		opts    Options
	}

	// Report is the result of a drain.
	Report struct {
		// Moved counts the conversations whose KV cache was copied to their next engine.
		Moved int
		// Lost counts the conversations whose KV cache could not be copied, so that their next
		// request recomputes it.
		Lost int
		// Remaining is the number of requests in flight or queued when the drain was aborted.
		Remaining int
		// Failure is why the drain failed, nil if the engine is empty.
		Failure *outcome.Failure
	}

	// moveProgress holds the number of cached tokens of each conversation at its last move, and
	// the conversations whose last move failed.
	moveProgress struct {
		mu     sync.Mutex
		tokens map[string]int
		failed map[string]bool
	}
)

// New returns a drainer.
func New(engines Engines, opts ...Option) *Drainer {
	return &Drainer{engines: engines, opts: newOptions(opts...)}
}

// Run drains the engine at address until it is idle or ctx ends. Conversations whose cached
// tokens change during the drain are moved again.
func (d *Drainer) Run(ctx context.Context, address string, destination DestinationFunc) Report {
	r := Report{Failure: d.engines.Drain(ctx, address)}
	if r.Failure == nil {
		m := &moveProgress{tokens: map[string]int{}, failed: map[string]bool{}}
		d.moveChanged(ctx, address, destination, m)
		r.Remaining, r.Failure = d.waitIdle(ctx, address)
		d.moveChanged(ctx, address, destination, m)
		r.Lost = len(m.failed)
		r.Moved = len(m.tokens) - r.Lost
	}
	d.countReport(r)
	return r
}

// moveChanged moves the conversations that have changed since their last move.
func (d *Drainer) moveChanged(ctx context.Context, address string, destination DestinationFunc, m *moveProgress) {
	cached, f := d.engines.Conversations(ctx, address)
	if f != nil {
		return
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, d.opts.MaxParallelMoves)
	for name, tokens := range cached {
		if m.upToDate(name, tokens) {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			m.record(name, tokens, d.moveConversation(ctx, address, destination, name))
		})
	}
	group.Wait()
}

func (m *moveProgress) upToDate(name string, tokens int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tokens[name] == tokens
}

func (m *moveProgress) record(name string, tokens int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokens[name] = tokens
	delete(m.failed, name)
	if !ok {
		m.failed[name] = true
	}
}

func (d *Drainer) moveConversation(ctx context.Context, address string, destination DestinationFunc, name string) bool {
	to, ok := destination(name)
	if !ok || to == address || ctx.Err() != nil {
		return false
	}
	return d.engines.Move(ctx, address, to, name) == nil
}

// waitIdle polls the load until nothing is in flight or queued. Load reports lag, so several in a
// row must be idle.
func (d *Drainer) waitIdle(ctx context.Context, address string) (int, *outcome.Failure) {
	ticker := time.NewTicker(d.opts.PollInterval)
	defer ticker.Stop()
	remaining, idleReports := 0, 0
	for idleReports < d.opts.IdleReports {
		select {
		case <-ctx.Done():
			return remaining, outcome.NewUnknown(outcome.ReasonTargetSilent, "drain aborted with %d requests in flight or queued", remaining)
		case <-ticker.C:
		}
		l, f := d.engines.Load(ctx, address)
		if f != nil {
			continue
		}
		remaining = l.InFlight + l.Queued
		idleReports++
		if remaining > 0 {
			idleReports = 0
		}
	}
	return 0, nil
}

func (d *Drainer) countReport(r Report) {
	reason := outcome.ReasonNone
	if r.Failure != nil {
		reason = r.Failure.Reason
	}
	set := d.opts.Metrics
	set.GetOrCreateCounter(fmt.Sprintf("hickoryrock_engine_drains_total{reason=%q}", reason)).Inc()
	set.GetOrCreateCounter(`hickoryrock_engine_drain_conversations_total{result="moved"}`).Add(r.Moved)
	set.GetOrCreateCounter(`hickoryrock_engine_drain_conversations_total{result="lost"}`).Add(r.Lost)
}
