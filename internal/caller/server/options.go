package server

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"hickoryrock/internal/operator/catalog"
)

const (
	defaultMaxBodyBytes = 1 << 20
	defaultMaxInFlight  = 4096
	defaultBodyTimeout  = 30 * time.Second
)

type (
	// Options are the settings of a Server.
	Options struct {
		Log          zerolog.Logger
		MaxBodyBytes int64
		// MaxInFlight bounds the requests in flight.
		MaxInFlight int
		// BodyTimeout bounds the wait for a request body.
		BodyTimeout time.Duration
		// ReportHandler serves the daily report of a workspace; nil disables it.
		ReportHandler func(w http.ResponseWriter, r *http.Request, ws *catalog.Workspace)
	}

	// Option sets one of the Options.
	Option func(*Options)
)

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option {
	return func(o *Options) { o.Log = l }
}

// WithMaxBodyBytes bounds the size of request bodies.
func WithMaxBodyBytes(n int64) Option {
	return func(o *Options) { o.MaxBodyBytes = n }
}

// WithMaxInFlight bounds the requests in flight.
func WithMaxInFlight(n int) Option {
	return func(o *Options) { o.MaxInFlight = n }
}

// WithBodyTimeout bounds the wait for a request body.
func WithBodyTimeout(d time.Duration) Option {
	return func(o *Options) { o.BodyTimeout = d }
}

// WithReportHandler sets the handler of the daily report.
func WithReportHandler(f func(w http.ResponseWriter, r *http.Request, ws *catalog.Workspace)) Option {
	return func(o *Options) { o.ReportHandler = f }
}

func newOptions(opts ...Option) Options {
	o := Options{
		Log:          zerolog.Nop(),
		MaxBodyBytes: defaultMaxBodyBytes,
		MaxInFlight:  defaultMaxInFlight,
		BodyTimeout:  defaultBodyTimeout,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
