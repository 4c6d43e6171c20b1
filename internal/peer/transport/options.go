package transport

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/peer/traffic"
)

const (
	defaultSendPingTimeout = time.Second
	defaultPingTimeout     = time.Second
)

type (
	// Option sets one option of a client or server.
	Option func(*options)

	options struct {
		sendPingTimeout time.Duration
		pingTimeout     time.Duration
		counter         traffic.Counter
	}
)

func newOptions(opts ...Option) options {
	o := options{
		sendPingTimeout: defaultSendPingTimeout,
		pingTimeout:     defaultPingTimeout,
		counter:         traffic.NewCounter(metrics.GetDefaultSet(), traffic.Permits),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// SendPingTimeout sets how long nothing may be received on a connection before it is
// pinged; the default is 1 s.
func SendPingTimeout(d time.Duration) Option {
	return func(o *options) { o.sendPingTimeout = d }
}

// PingTimeout sets how long a ping may go without a response, and a write may make
// no progress, before the connection is closed; the default is 1 s.
func PingTimeout(d time.Duration) Option {
	return func(o *options) { o.pingTimeout = d }
}

// Counter sets the counter of the connections' bytes; the default counts them as
// traffic.Permits.
func Counter(c traffic.Counter) Option {
	return func(o *options) { o.counter = c }
}
