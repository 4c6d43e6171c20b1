package forward_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// assertInvalidHead checks that no route relays an answer with a head, or a line of it.
func assertInvalidHead(t *testing.T, head func(rawserver.Request) string) {
	f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
		_, _ = io.WriteString(c, head(r)+wholeStream(2))
		return false
	})
	for _, path := range allRoutes {
		f.tracker.Prune(nil) // Failures must not eject the targets.
		got := f.call(path)
		f.assertResponse(got, 502, "")
	}
}

// Guards against an answer with an invalid status, such as 000, that reaches the caller (MIXED; issue 51).
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-20", "20", "2000", "2 0", "2e2", "0x2", ""} {
		t.Run(status, func(t *testing.T) {
			assertInvalidHead(t, func(r rawserver.Request) string {
				return strings.Replace(platformtest.UnframedStreamHead(r), "200 OK", status+" OK", 1)
			})
			assertInvalidHead(t, func(r rawserver.Request) string {
				return strings.Replace(platformtest.ResponseHead(r, len(wholeStream(2))), "200 OK", status+" OK", 1)
			})
		})
	}
}

// Guards against an answer that reaches the caller with an invalid field name in its head, or with a body
// that is not the target's because such a field states its length (MIXED; issue 51).
func TestInvalidFieldNames(t *testing.T) {
	for _, line := range []string{
		"X Y: z", "X : z", " X: z", "\tX: z", "X\t: z", "X\x01: z", "X\x00: z", "X\r: z", "X\x7f: z", "X\x80: z", "X\xff: z", "X@: z", ": z", "X",
		"Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked", "X: z\r\n Content-Length: 2", "X: z\x00", "X: z\x01",
	} {
		t.Run(line, func(t *testing.T) {
			for _, head := range []func(rawserver.Request) string{
				platformtest.UnframedStreamHead,
				func(r rawserver.Request) string { return platformtest.ResponseHead(r, len(wholeStream(2))) },
			} {
				assertInvalidHead(t, func(r rawserver.Request) string {
					return strings.Replace(head(r), "\r\n\r\n", "\r\n"+line+"\r\n\r\n", 1)
				})
				assertInvalidHead(t, func(r rawserver.Request) string {
					return strings.Replace(head(r), "\r\n", "\r\n"+line+"\r\n", 1)
				})
			}
		})
	}
}
