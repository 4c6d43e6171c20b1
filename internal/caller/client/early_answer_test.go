package client

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
)

// Guards against a call that counts as done because of an answer that was reset during the upload
// (issue 51).
func TestCallThatIsResetDuringUpload(t *testing.T) {
	const (
		longUpload = 8 << 20
		repeats    = 5
	)
	for _, status := range []string{"200 OK", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			router, stop, err := rawserver.NewEarly(func(r rawserver.Request) string {
				if r.Method == http.MethodGet {
					address := fmt.Sprintf(`{"address":%q,"keep-seconds":60,"alternatives":[]}`, r.Host)
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(address), address)
				}
				return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n\r\n" + `{"outcome":"done","result":{},"replayed":false}`
			}, rawserver.EndReset)
			c.Assert(err, qt.IsNil)
			c.Cleanup(stop)
			client, closeClient := New(WithRouters(router.Address()), WithToken("x"), WithMaxAttempts(1))
			c.Cleanup(closeClient)
			body := []byte(`"` + strings.Repeat("u", longUpload) + `"`)
			for range repeats {
				_, err := client.Call(context.Background(), "bookings", "book", "", body)
				c.Assert(err, qt.IsNotNil)
			}
		})
	}
}
