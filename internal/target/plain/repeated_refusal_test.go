package plain

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/standin/rawserver"
)

// Guards against an earlier refusal, repeated by its target, that is taken for the answer to
// a call which that target runs.
func TestRepeatedRefusalOfAnotherCall(t *testing.T) {
	for _, atMostOnce := range []bool{true, false} {
		t.Run(fmt.Sprintf("at most once: %t", atMostOnce), func(t *testing.T) {
			c := qt.New(t)
			refusal := "HTTP/1.1 503 Busy\r\n" + HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n"
			server, stop, err := rawserver.New(func(conn net.Conn, r rawserver.Request) bool {
				raw := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
				switch {
				case r.Sequence == 1:
					raw = refusal
				case r.ConnSequence > 1:
					raw = refusal + raw
				}
				_, err := io.WriteString(conn, raw)
				return err == nil
			})
			c.Assert(err, qt.IsNil)
			defer stop()
			client, closeClient := New(WithMetrics(metrics.NewSet()))
			defer closeClient()
			call := Call{Address: server.Address(), Method: "book", Key: key, Body: []byte("{}"), AtMostOnce: atMostOnce}
			_, f := client.Call(context.Background(), call)
			c.Assert(f != nil && f.Status == outcome.NotRun, qt.IsTrue, qt.Commentf("%v", f))
			result, f := client.Call(context.Background(), call)
			if f != nil {
				c.Assert(f.Status, qt.Equals, outcome.Unknown, qt.Commentf("%v", f))
				return
			}
			c.Assert(string(result.Body), qt.Equals, "own")
		})
	}
}
