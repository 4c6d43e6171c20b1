package http1client_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/target/http1client"
)

// Guards against a copy of an earlier response that arrives between the check for surplus bytes
// and the call's own response. Copies state the earlier call's ID or none.
func TestLateCopyIsNotTheResponseToNextCall(t *testing.T) {
	const calls = 300
	for name, line := range map[string]func(earlier string) string{
		"with its ID": func(earlier string) string { return "Call: " + earlier + "\r\n" },
		"without ID":  func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(c net.Conn, r rawserver.Request) bool {
				id := r.HeaderField("call")
				if _, err := io.WriteString(c, response(id, "own "+id)); err != nil {
					return false
				}
				time.Sleep(rand.N(200 * time.Microsecond))
				_, err := io.WriteString(c, fmt.Sprintf("HTTP/1.1 503 Busy\r\n%sContent-Length: 6\r\n\r\nothers", line(id)))
				return err == nil
			})
			answered := 0
			for i := range calls {
				id := fmt.Sprint("c", i)
				got, failure := f.do(context.Background(), newCall(id, "POST", nil))
				if failure != nil {
					f.Assert(failure.Status, qt.Equals, http1client.Unknown)
					continue
				}
				f.Assert(got, qt.Equals, "own "+id)
				answered++
				time.Sleep(rand.N(200 * time.Microsecond))
			}
			f.Assert(answered > calls/2, qt.IsTrue, qt.Commentf("%d", answered))
			t.Logf("%d of %d calls answered on %d connections", answered, calls, f.server.Connections())
		})
	}
}
