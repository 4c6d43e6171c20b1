// Package httptransport provides net/http transports for HTTP/1.1 whose answers are whole or fail.
package httptransport

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/wire/http1"
	"hickoryrock/internal/wire/tcp"
)

// Transport is an http.Transport that rejects answers with an invalid status or field name.
type Transport struct {
	*http.Transport
}

// New returns a transport without a proxy. dialTimeout bounds the time to establish a connection.
func New(dialTimeout time.Duration) Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return Transport{&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return tcp.NewConn(c), nil
		},
		Protocols: protocols,
	}}
}

// RoundTrip implements http.RoundTripper. The error wraps http1.ErrMalformed if the head of the answer
// is invalid.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close() // The body may not be the server's.
		return nil, err
	}
	return resp, nil
}

// checkHead rejects what net/http accepts: statuses below 200, and field names with blanks, of which it
// ignores a Content-Length or Transfer-Encoding.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return eris.Wrapf(http1.ErrMalformed, "status %.80q", resp.Status)
	}
	for name := range resp.Header {
		if !http1.IsToken(name) {
			return eris.Wrapf(http1.ErrMalformed, "name of header field %.80q", name)
		}
	}
	return nil
}
