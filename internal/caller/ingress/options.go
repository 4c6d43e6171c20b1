package ingress

import "golang.org/x/sync/semaphore"

// Option changes a server's settings.
type Option func(*Server)

// WithBodyMemory bounds the memory, in bytes, that the bodies of all calls take
// up together; zero keeps the default.
func WithBodyMemory(bytes int64) Option {
	return func(s *Server) {
		if bytes > 0 {
			s.bodies = semaphore.NewWeighted(bytes)
		}
	}
}
