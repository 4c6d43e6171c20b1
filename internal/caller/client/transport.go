package client

import (
	"net/http"

	"hickoryrock/internal/wire/httptransport"
)

// noReplayTransport sends each request at most once. net/http replays a request with an
// Idempotency-Key when a reused connection breaks; the replay would carry the same attempt number,
// although the first attempt may have run.
type noReplayTransport struct {
	next httptransport.Transport
}

// RoundTrip implements http.RoundTripper. It clears GetBody, because net/http does not replay a body
// that it cannot rewind.
func (t noReplayTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	clone := req.Clone(req.Context())
	clone.GetBody = nil
	return t.next.RoundTrip(clone)
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t noReplayTransport) CloseIdleConnections() {
	t.next.CloseIdleConnections()
}

// noRedirect prevents http.Client from following redirects, which would send a call a second time.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
