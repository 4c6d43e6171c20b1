package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/wire/http1"
)

// acceptingHandler answers each call at once.
type acceptingHandler struct{}

func (acceptingHandler) ServeCall(_ context.Context, w *ingress.ResponseWriter, _ *http1.Request, _ []byte) {
	w.Respond(200, "OK", nil, nil)
}

// Guards against proper requests that are refused (DENIED, issue 36): their bytes arrive in pieces,
// on new connections and behind another call.
func TestProperRequestsInPiecesAreNotRefused(t *testing.T) {
	const before = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, request := range map[string]string{
		"no body": "GET /a?b=c HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", "sized": sizedRequest(20), "chunked": chunkedRequest(20),
	} {
		for kind, first := range map[string]string{"new connection": "", "behind a call": before} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				f := newFixture(t)
				f.serveWith(acceptingHandler{})
				raw := first + request
				for cut := 1; cut < len(raw); cut++ {
					assertAccepted(f, first != "", raw[:cut], raw[cut:])
				}
				pieces := make([]string, len(raw))
				for i := range raw {
					pieces[i] = raw[i : i+1]
				}
				assertAccepted(f, first != "", pieces...)
			})
		}
	}
}

// assertAccepted sends the pieces of a request, or of two, and fails unless each is accepted.
func assertAccepted(f *fixture, two bool, pieces ...string) {
	f.Helper()
	c, err := net.Dial("tcp4", f.address)
	f.Assert(err, qt.IsNil)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	for _, piece := range pieces {
		_, err = io.WriteString(c, piece)
		f.Assert(err, qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	r := bufio.NewReader(c)
	f.assertStatus(r, 200)
	if two {
		f.assertStatus(r, 200)
	}
}
