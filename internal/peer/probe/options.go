package probe

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hickoryrock/internal/peer/membership"
)

type (
	// Option sets one option of a node.
	Option func(*options)

	options struct {
		listenAddress   string
		detectorOptions []membership.Option
		metrics         *metrics.Set
		log             zerolog.Logger
		onChange        func(membership.View)
	}
)

func newOptions(self membership.Member, opts ...Option) options {
	o := options{
		listenAddress: self.PeerAddress,
		metrics:       metrics.GetDefaultSet(),
		log:           zerolog.Nop(),
		onChange:      func(membership.View) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Listen sets the local UDP address; the default is the member's peer address.
func Listen(address string) Option {
	return func(o *options) { o.listenAddress = address }
}

// Period sets the time between two probes.
func Period(d time.Duration) Option {
	return func(o *options) { o.detectorOptions = append(o.detectorOptions, membership.Period(d)) }
}

// BytesPerSecond caps the bytes sent within any second, UDP and IP headers included.
func BytesPerSecond(n int) Option {
	return func(o *options) { o.detectorOptions = append(o.detectorOptions, membership.BytesPerSecond(n)) }
}

// ForgetAfter sets how long a dead member that is not on the VM list is kept.
func ForgetAfter(d time.Duration) Option {
	return func(o *options) { o.detectorOptions = append(o.detectorOptions, membership.ForgetAfter(d)) }
}

// Metrics sets the metrics set of the node's counters; the default is the global set.
func Metrics(s *metrics.Set) Option {
	return func(o *options) { o.metrics = s }
}

// Logger sets the logger; the default discards everything.
func Logger(l zerolog.Logger) Option {
	return func(o *options) { o.log = l }
}

// OnChange sets a function that is called with each new view. It is called with the
// node locked, so it must not block.
func OnChange(fn func(membership.View)) Option {
	return func(o *options) { o.onChange = fn }
}
