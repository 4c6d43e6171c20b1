// Package httptransport provides net/http transports for HTTP/1.1 whose answers are whole or fail.
package httptransport

import (
	"context"
	"net"
	"net/http"
	"time"

	"hickoryrock/internal/wire/tcp"
)

// New returns a transport without a proxy. dialTimeout bounds the time to establish a connection.
func New(dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return tcp.NewConn(c), nil
		},
		Protocols: protocols,
	}
}
