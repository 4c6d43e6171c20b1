package claims

import (
	"time"

	"github.com/rs/zerolog"

	"hickoryrock/internal/platform/objects"
)

const (
	defaultShards            = 32
	defaultBucketLength      = 2 * time.Second
	defaultWindow            = time.Hour
	defaultMaxClockSkew      = 30 * time.Second
	defaultClaimTimeout      = 2 * time.Second
	defaultFinishTimeout     = 30 * time.Second
	defaultCloseTimeout      = 5 * time.Second
	defaultInProgressTimeout = time.Minute
	defaultRetryAfter        = time.Second
	defaultWriteRate         = 5.0
	defaultWriteBurst        = 5
	defaultSweepPeriod       = 10 * time.Second
	defaultBackoffBase       = 20 * time.Millisecond
	defaultBackoffMax        = time.Second
)

type (
	// Option sets one of the Options.
	Option func(*Options)

	// Options are the settings of a claim store or a Janitor. Shards, BucketLength and
	// Window must be the same on every router.
	Options struct {
		// Shards is the number of objects over which the keys of one bucket are
		// distributed.
		Shards uint32
		// BucketLength is the time span of a bucket. Keys with timestamps in the same
		// bucket share the bucket's objects.
		BucketLength time.Duration
		// Window is the maximum age of a key that can be claimed.
		Window time.Duration
		// MaxClockSkew is how far the clocks of two routers may differ. Safety does not
		// depend on it.
		MaxClockSkew time.Duration
		// ClaimTimeout bounds Claim and each attempt of a commit.
		ClaimTimeout time.Duration
		// FinishTimeout is how long the commit of an outcome is retried.
		FinishTimeout time.Duration
		// CloseTimeout is how long closing waits for pending commits.
		CloseTimeout time.Duration
		// InProgressTimeout is the age after which a claim without an outcome is
		// reported as lost (claim-lost) instead of in-progress.
		InProgressTimeout time.Duration
		// RetryAfter is the retry delay given to callers while the platform is down,
		// and how long new claims are then refused without trying the platform.
		RetryAfter time.Duration
		// WriteRate is the maximum rate of commits per shard, in commits per second.
		WriteRate float64
		// WriteBurst is how many commits a shard may start at once after an idle
		// period.
		WriteBurst int
		// SweepPeriod is the mean time between sweeps of the janitor.
		SweepPeriod time.Duration
		// Backoff computes the delay between attempts of one commit.
		Backoff objects.Backoff
		// Now returns the current time.
		Now func() time.Time
		// Logger receives rejected commits and failed sweeps.
		Logger zerolog.Logger
	}
)

// WithShards sets the number of objects over which the keys of one bucket are
// distributed.
func WithShards(n uint32) Option {
	return func(o *Options) { o.Shards = n }
}

// WithBucketLength sets the time span of a bucket.
func WithBucketLength(d time.Duration) Option {
	return func(o *Options) { o.BucketLength = d }
}

// WithWindow sets the maximum age of a key that can be claimed.
func WithWindow(d time.Duration) Option {
	return func(o *Options) { o.Window = d }
}

// WithMaxClockSkew sets how far the clocks of two routers may differ.
func WithMaxClockSkew(d time.Duration) Option {
	return func(o *Options) { o.MaxClockSkew = d }
}

// WithClaimTimeout sets the bound of Claim and of each attempt of a commit.
func WithClaimTimeout(d time.Duration) Option {
	return func(o *Options) { o.ClaimTimeout = d }
}

// WithFinishTimeout sets how long the commit of an outcome is retried.
func WithFinishTimeout(d time.Duration) Option {
	return func(o *Options) { o.FinishTimeout = d }
}

// WithCloseTimeout sets how long closing waits for pending commits.
func WithCloseTimeout(d time.Duration) Option {
	return func(o *Options) { o.CloseTimeout = d }
}

// WithInProgressTimeout sets the age after which a claim without an outcome is reported
// as lost.
func WithInProgressTimeout(d time.Duration) Option {
	return func(o *Options) { o.InProgressTimeout = d }
}

// WithWriteRate sets the maximum rate and burst of commits per shard.
func WithWriteRate(perSecond float64, burst int) Option {
	return func(o *Options) { o.WriteRate, o.WriteBurst = perSecond, burst }
}

// WithSweepPeriod sets the mean time between sweeps of the janitor.
func WithSweepPeriod(d time.Duration) Option {
	return func(o *Options) { o.SweepPeriod = d }
}

// WithBackoff sets the delay between attempts of one commit.
func WithBackoff(b objects.Backoff) Option {
	return func(o *Options) { o.Backoff = b }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(o *Options) { o.Now = now }
}

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

func newOptions(opts []Option) Options {
	o := Options{
		Shards:            defaultShards,
		BucketLength:      defaultBucketLength,
		Window:            defaultWindow,
		MaxClockSkew:      defaultMaxClockSkew,
		ClaimTimeout:      defaultClaimTimeout,
		FinishTimeout:     defaultFinishTimeout,
		CloseTimeout:      defaultCloseTimeout,
		InProgressTimeout: defaultInProgressTimeout,
		RetryAfter:        defaultRetryAfter,
		WriteRate:         defaultWriteRate,
		WriteBurst:        defaultWriteBurst,
		SweepPeriod:       defaultSweepPeriod,
		Backoff:           objects.Backoff{Base: defaultBackoffBase, Max: defaultBackoffMax},
		Now:               time.Now,
		Logger:            zerolog.Nop(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
