package ingress

import "time"

// Option changes a server's settings.
type Option func(*Server)

// WithBodyMemory limits the memory of all request bodies together, in bytes;
// zero keeps the default.
func WithBodyMemory(bytes int64) Option {
	return func(s *Server) {
		if bytes > 0 {
			s.bodyMemory.limit = bytes
		}
	}
}

// WithCloseDelay sets the time in which CloseIdle still waits for a request on an idle
// connection.
func WithCloseDelay(d time.Duration) Option {
	return func(s *Server) { s.closeDelay = d }
}
