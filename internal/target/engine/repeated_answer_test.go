package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/target/orders"
)

const refusal = "HTTP/1.1 503 Busy\r\n" + HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n"

func answer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// newRepeatingEngine starts an engine that repeats the first answer on each kept connection
// before the answer to a later request.
func newRepeatingEngine(c *qt.C, first string, answerTo func(rawserver.Request) string) *rawserver.Server {
	server, stop, err := rawserver.New(func(conn net.Conn, r rawserver.Request) bool {
		raw := answerTo(r)
		if r.ConnSequence > 1 {
			raw = first + raw
		}
		_, err := io.WriteString(conn, raw)
		return err == nil
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	return server
}

func newTestClient(c *qt.C) *Client {
	client, stop := New(WithControlTimeout(time.Second), WithMetrics(metrics.NewSet()))
	c.Cleanup(stop)
	return client
}

// Guards against an earlier refusal, repeated by its engine, that is taken for the answer to
// an order which that engine carries out.
func TestRepeatedRefusalOfOrder(t *testing.T) {
	c := qt.New(t)
	server := newRepeatingEngine(c, refusal, func(r rawserver.Request) string {
		if r.Sequence == 1 {
			return refusal
		}
		return answer("{}")
	})
	client := NewOrderClient(newTestClient(c))
	c.Assert(client.Order(context.Background(), server.Address(), orders.Order{}), qt.ErrorIs, orders.ErrFenced)
	c.Assert(client.Order(context.Background(), server.Address(), orders.Order{}), qt.IsNil)
}

// Guards against the cache of one conversation, repeated by its engine, that is moved as the
// cache of another one.
func TestRepeatedCacheIsNotMoved(t *testing.T) {
	c := qt.New(t)
	source := newRepeatingEngine(c, answer("cache of a"), func(r rawserver.Request) string {
		return answer("cache of " + strings.TrimPrefix(r.Target, kvPath+"/"))
	})
	target := newRepeatingEngine(c, answer(""), func(rawserver.Request) string { return answer("") })
	client := newTestClient(c)
	for _, conversation := range []string{"a", "b"} {
		assertNoFailure(c, client.Move(context.Background(), source.Address(), target.Address(), conversation))
	}
	for i, want := range []string{"cache of a", "cache of b"} {
		c.Assert(string(target.Requests()[i].Body), qt.Equals, want)
	}
}
