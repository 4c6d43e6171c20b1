package plain

import (
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/standin/rawserver"
)

// Guards against a target that closes the connection during the upload and counts as silent, which
// would keep later calls off the connections to it.
func TestConnectionThatEndsDuringUpload(t *testing.T) {
	c := qt.New(t)
	server, stop, err := rawserver.NewEarly(func(rawserver.Request) string { return "" }, rawserver.EndReadNothing)
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	client, closeClient := New(WithMetrics(metrics.NewSet()))
	c.Cleanup(closeClient)
	for range 20 {
		_, f := client.Call(context.Background(), Call{
			Address: server.Address(), Method: "book", Key: key, AtMostOnce: true, Body: make([]byte, 8<<20),
		})
		c.Assert(f != nil, qt.IsTrue)
		c.Assert(f.Status, qt.Equals, outcome.Unknown)
		c.Assert(f.Reason, qt.Equals, outcome.ReasonConnectionLost, qt.Commentf("%v", f))
	}
}

// Guards against a part of an answer that is taken for a whole one because the target reset the
// connection during the upload (issue 51).
func TestAnswerThatIsResetDuringUpload(t *testing.T) {
	const (
		longUpload = 8 << 20
		repeats    = 10
	)
	for status, want := range map[string]outcome.Reason{
		"200 OK": outcome.ReasonConnectionLost, "404 Not Found": outcome.ReasonTargetFailed,
		"503 Service Unavailable": outcome.ReasonTargetFailed,
	} {
		for name, atMostOnce := range map[string]bool{"at most once": true, "idempotent": false} {
			t.Run(status+" "+name, func(t *testing.T) {
				c := qt.New(t)
				server, stop, err := rawserver.NewEarly(func(rawserver.Request) string {
					return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n\r\n{}"
				}, rawserver.EndReset)
				c.Assert(err, qt.IsNil)
				c.Cleanup(stop)
				client, closeClient := New(WithMetrics(metrics.NewSet()))
				c.Cleanup(closeClient)
				for range repeats {
					_, f := client.Call(context.Background(), Call{
						Address: server.Address(), Method: "book", Key: key, AtMostOnce: atMostOnce, Body: make([]byte, longUpload),
					})
					c.Assert(f != nil, qt.IsTrue)
					c.Assert(f.Status, qt.Equals, outcome.Unknown)
					if f.Reason != outcome.ReasonConnectionLost {
						c.Assert(f.Reason, qt.Equals, want)
					}
				}
			})
		}
	}
}
