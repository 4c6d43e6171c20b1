package replica

import "github.com/rs/zerolog"

type (
	// Option configures a Replica.
	Option func(*options)

	options struct {
		log            zerolog.Logger
		timing         Timing
		transport      Transport
		onChange       func([]Change)
		requireConfirm bool
	}
)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithTiming sets the timeouts and intervals.
func WithTiming(t Timing) Option {
	return func(o *options) { o.timing = t }
}

// WithTransport sets the transport for calls to peers.
func WithTransport(t Transport) Option {
	return func(o *options) { o.transport = t }
}

// WithOnChange sets the function that applies changes. Calls are made in order, with
// the replica locked, so fn must not call the replica.
func WithOnChange(fn func([]Change)) Option {
	return func(o *options) { o.onChange = fn }
}

// WithConfirmation makes changes count as applied only after Confirm is called with a
// snapshot that contains them. Without this option they count as applied when the
// WithOnChange function returns.
func WithConfirmation() Option {
	return func(o *options) { o.requireConfirm = true }
}
