package permit

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	defaultTimeout        = 100 * time.Millisecond
	defaultReleaseTimeout = time.Second
	defaultBatchInterval  = 50 * time.Millisecond
	defaultRetryFor       = 2 * time.Minute
)

type (
	// Option configures a Client.
	Option func(*options)

	options struct {
		timeout        time.Duration
		releaseTimeout time.Duration
		batchInterval  time.Duration
		retryFor       time.Duration
		metrics        *metrics.Set
		http           *http.Client
	}
)

func newOptions(opts ...Option) options {
	o := options{
		timeout:        defaultTimeout,
		releaseTimeout: defaultReleaseTimeout,
		batchInterval:  defaultBatchInterval,
		retryFor:       defaultRetryFor,
		metrics:        metrics.GetDefaultSet(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Timeout sets how long an acquire waits for the owner.
func Timeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

// BatchInterval sets the interval at which pending releases are sent or retried.
func BatchInterval(d time.Duration) Option {
	return func(o *options) { o.batchInterval = d }
}

// RetryFor sets how long a release is retried. An owner that is unreachable for
// longer has lost its targets to other owners, which learn of the held permits
// through Client.Announce.
func RetryFor(d time.Duration) Option {
	return func(o *options) { o.retryFor = d }
}

// Metrics sets the metrics set that counts calls, including retries, and dropped
// releases.
func Metrics(s *metrics.Set) Option {
	return func(o *options) { o.metrics = s }
}

// HTTPClient sets the HTTP client for calls to peers, such as one from package
// transport.
func HTTPClient(c *http.Client) Option {
	return func(o *options) { o.http = c }
}
