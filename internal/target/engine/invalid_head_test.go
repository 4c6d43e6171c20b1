package engine

import (
	"context"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/standin/rawserver"
)

// Guards against a chat or a load report that counts as whole, or as a refusal, although the status of the
// answer is invalid, such as 000, or a field name in its head is (issue 51).
func TestAnswerWithInvalidHead(t *testing.T) {
	chat := `data: {"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 Trouble\r\n" + HeaderNotRun + ": false",
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 9",
		"blank in a refusal":     "HTTP/1.1 503 Busy\r\nX Y: z\r\n" + HeaderNotRun + ": true",
		"control byte":           "HTTP/1.1 200 OK\r\nX\x01: z",
	} {
		for answer, body := range map[string]string{"chat": chat, "load": `{"name":"e"}`} {
			t.Run(name+" "+answer, func(t *testing.T) {
				c := qt.New(t)
				server, stop, err := rawserver.New(func(conn net.Conn, _ rawserver.Request) bool {
					_, _ = io.WriteString(conn, head+"\r\n\r\n"+body)
					return false
				})
				c.Assert(err, qt.IsNil)
				c.Cleanup(stop)
				client := newTestClient(c)
				var f *outcome.Failure
				if answer == "chat" {
					_, f = client.Chat(context.Background(), Request{Address: server.Address(), ID: "r", Body: []byte("{}")})
				} else {
					_, f = client.Load(context.Background(), server.Address())
				}
				c.Assert(f != nil, qt.IsTrue)
				c.Assert(f.Status, qt.Equals, outcome.Unknown, qt.Commentf("%v", f))
			})
		}
	}
}
