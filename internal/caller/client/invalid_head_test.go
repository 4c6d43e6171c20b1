package client

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a call that counts as done although the status of the answer is invalid, such as 000, or a
// field name in its head is (issue 51).
func TestAnswerWithInvalidHead(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 Trouble\r\n",
		"blank before the colon": "HTTP/1.1 200 OK\r\nX : z\r\n",
		"control byte":           "HTTP/1.1 200 OK\r\nX\x01: z\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFakeRouter(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				body := `{"outcome":"done","result":{},"replayed":false}`
				_, _ = io.WriteString(conn, fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body))
			})
			_, err := newTestClient(t, f, WithMaxAttempts(1)).Call(t.Context(), "bookings", "book", "", []byte("{}"))
			c.Assert(err, qt.IsNotNil)
		})
	}
}
