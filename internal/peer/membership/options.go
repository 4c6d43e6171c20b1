package membership

import (
	"math/rand/v2"
	"time"
)

const (
	defaultPeriod         = 500 * time.Millisecond
	defaultBytesPerSecond = 6000
	defaultForgetAfter    = 10 * time.Minute

	// MinBytesPerSecond is the smallest byte cap at which probes are still sent.
	MinBytesPerSecond = 1000
)

type (
	// Option sets one option of a detector.
	Option func(*options)

	options struct {
		period         time.Duration
		bytesPerSecond int
		forgetAfter    time.Duration
		incarnation    uint64
		random         *rand.Rand
	}
)

func newOptions(opts ...Option) options {
	o := options{
		period:         defaultPeriod,
		bytesPerSecond: defaultBytesPerSecond,
		forgetAfter:    defaultForgetAfter,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.random == nil {
		o.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}

// Period sets the time between two probes; the default is 500 ms.
func Period(d time.Duration) Option {
	return func(o *options) { o.period = d }
}

// BytesPerSecond caps the bytes sent within any second, UDP and IP headers
// included. The cap is at least MinBytesPerSecond.
func BytesPerSecond(n int) Option {
	return func(o *options) { o.bytesPerSecond = max(n, MinBytesPerSecond) }
}

// ForgetAfter sets how long a dead member that is not on the VM list is kept.
func ForgetAfter(d time.Duration) Option {
	return func(o *options) { o.forgetAfter = d }
}

// Incarnation sets the initial incarnation. With the start time of the process, a
// restarted router supersedes its predecessor; if the clock went back, the router
// raises its incarnation by refutation instead.
func Incarnation(n uint64) Option {
	return func(o *options) { o.incarnation = n }
}

// Random sets the source of randomness.
func Random(r *rand.Rand) Option {
	return func(o *options) { o.random = r }
}
