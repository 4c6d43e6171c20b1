package plain

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/standin/rawserver"
)

// Guards against an answer that counts as a success, or as a refusal, although its status is invalid, such
// as 000, or a field name in its head is (issue 51).
func TestAnswerWithInvalidHead(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 Trouble\r\n" + HeaderNotRun + ": true\r\nContent-Length: 2",
		"status 099":             "HTTP/1.1 099 Trouble\r\nContent-Length: 2",
		"status +20":             "HTTP/1.1 +20 Trouble\r\nContent-Length: 2",
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 2",
		"blank in a name":        "HTTP/1.1 200 OK\r\nContent Length: 2",
		"blank in a refusal":     "HTTP/1.1 503 Busy\r\nX Y: z\r\n" + HeaderNotRun + ": true\r\nContent-Length: 2",
		"control byte":           "HTTP/1.1 200 OK\r\nX\x01: z\r\nContent-Length: 2",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, stop, err := rawserver.New(func(conn net.Conn, _ rawserver.Request) bool {
				_, _ = io.WriteString(conn, head+"\r\n\r\n{} and more")
				return false
			})
			c.Assert(err, qt.IsNil)
			c.Cleanup(stop)
			client, closeClient := New(WithMetrics(metrics.NewSet()))
			c.Cleanup(closeClient)
			for _, atMostOnce := range []bool{true, false} {
				_, f := client.Call(context.Background(), Call{Address: server.Address(), Method: "book", Key: key, AtMostOnce: atMostOnce})
				c.Assert(f != nil, qt.IsTrue)
				c.Assert(f.Status, qt.Equals, outcome.Unknown, qt.Commentf("%v", f))
			}
		})
	}
}
