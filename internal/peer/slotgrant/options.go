package slotgrant

import (
	"time"

	"hickoryrock/internal/policy/slots"
)

type (
	// Option changes a setting of a client.
	Option func(*options)

	options struct {
		answerTimeout, repeatInterval, ackTimeout time.Duration
		poolOptions                               []slots.Option
		now                                       func() time.Time
		// pauseGrace is the constant of that name, and timerNow the time that timers follow.
		pauseGrace time.Duration
		timerNow   func() time.Time
	}
)

// WithTimeouts sets the time without an answer after which a request is given up (25 ms), the
// time between repetitions of a waiting request (100 ms), and the time without an
// acknowledgement of a repetition after which the request is given up (50 ms).
func WithTimeouts(answer, repeat, acknowledgement time.Duration) Option {
	return func(o *options) { o.answerTimeout, o.repeatInterval, o.ackTimeout = answer, repeat, acknowledgement }
}

// WithPoolOptions sets the options of the pools that this router coordinates.
func WithPoolOptions(opts ...slots.Option) Option {
	return func(o *options) { o.poolOptions = opts }
}

// WithClock sets the source of the current time; the default is time.Now. Timers do not
// follow it.
func WithClock(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

func newOptions(opts []Option) options {
	o := options{
		answerTimeout: answerTimeout, repeatInterval: repeatInterval, ackTimeout: ackTimeout, now: time.Now,
		pauseGrace: pauseGrace, timerNow: time.Now,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
