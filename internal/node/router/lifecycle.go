package router

import (
	"sync/atomic"
	"time"

	"hickoryrock/internal/caller/outcome"
)

const (
	phaseStarting phase = iota
	phaseReady
	phaseLeaving
	phaseRefusing
)

const (
	retryWhenStarting = time.Second
	retryWhenIsolated = time.Second
)

type (
	// phase is a stage of a router's life, from start to shutdown.
	phase int32

	// lifecycle tracks whether a router accepts new work. It is safe for concurrent use.
	lifecycle struct {
		current  atomic.Int32
		isolated atomic.Bool
	}
)

// advance moves to a later phase; it never moves back.
func (l *lifecycle) advance(to phase) {
	for {
		current := l.current.Load()
		if current >= int32(to) || l.current.CompareAndSwap(current, int32(to)) {
			return
		}
	}
}

func (l *lifecycle) phase() phase {
	return phase(l.current.Load())
}

// accepts returns nil if new work is accepted, or why it is not. A leaving router accepts
// new work until the last address that callers may have cached has expired.
func (l *lifecycle) accepts() *outcome.Failure {
	switch {
	case l.phase() == phaseStarting:
		return outcome.NewNotRun(outcome.ReasonNotReady, "the router has no configuration in force yet").WithRetryAfter(retryWhenStarting)
	case l.phase() == phaseRefusing:
		return outcome.NewNotRun(outcome.ReasonLeaving, "the router is shutting down")
	case l.isolated.Load():
		return outcome.NewNotRun(outcome.ReasonIsolated, "the router reaches neither the platform nor another router").WithRetryAfter(retryWhenIsolated)
	default:
		return nil
	}
}

// ready reports whether callers should be sent to this router.
func (l *lifecycle) ready() bool {
	return l.phase() == phaseReady && !l.isolated.Load()
}
