package forward_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

// Guards against a success with an empty or short body that is framed as whole (MIXED, ORDER; a
// report of another operator, issue 36): the target stops within the head of its answer. Its
// connection is closed or reset, or bytes of another answer follow.
func TestAnswerThatStopsWithinItsHeadIsNoSuccess(t *testing.T) {
	heads := map[string]func(rawserver.Request) string{
		"length":      func(r rawserver.Request) string { return platformtest.ResponseHead(r, 5) },
		"no body":     func(r rawserver.Request) string { return platformtest.ResponseHead(r, 0) },
		"chunks":      platformtest.StreamHead,
		"until close": platformtest.UnframedStreamHead,
		"interim": func(r rawserver.Request) string {
			return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + platformtest.ResponseHead(r, 5)
		},
	}
	ends := map[string]func(c net.Conn, r rawserver.Request){
		"closed": func(net.Conn, rawserver.Request) {},
		"reset":  func(c net.Conn, _ rawserver.Request) { rawserver.Reset(c) },
		"followed by an answer to another call": func(c net.Conn, _ rawserver.Request) {
			_, _ = io.WriteString(c, platformtest.ResponseToOtherCall())
		},
		"followed by a refusal of another call": func(c net.Conn, _ rawserver.Request) {
			_, _ = io.WriteString(c, platformtest.ResponseTo("503 Busy", platformtest.NotExecutedLine, "c0"))
		},
	}
	for name, head := range heads {
		for end, finish := range ends {
			for _, path := range []string{"/once/a", "/safe/a", "/stream/a", "/resume/a"} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s/kept-%v", name, end, strings.Trim(path, "/"), kept), func(t *testing.T) {
						t.Parallel()
						assertCutHeads(t, path, kept, head, finish)
					})
				}
			}
		}
	}
}

// assertCutHeads makes a call for each byte after which the target stops; with kept, on a
// connection on which it has answered another call.
func assertCutHeads(t *testing.T, path string, kept bool, head func(rawserver.Request) string, finish func(net.Conn, rawserver.Request)) {
	cut := 0
	f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
		if kept && r.ConnSequence == 1 {
			_, err := io.WriteString(c, platformtest.Response(r, "200 OK", "", "x"))
			return err == nil
		}
		whole := head(r)
		_, _ = io.WriteString(c, whole[:min(cut, len(whole)-1)])
		finish(c, r)
		return false
	})
	length := len(head(rawserver.Request{Request: &http1.Request{}})) + len(presentCall)
	for cut = range length {
		if kept {
			_ = f.call("/once/a")
		}
		got := f.call(path)
		f.Assert(got.err == nil && got.Status/100 == 2, qt.IsFalse, qt.Commentf("cut after %d bytes: %+v", cut, got))
		f.Assert(got.err == nil && got.Status == 503, qt.IsFalse, qt.Commentf("cut after %d bytes: %+v", cut, got))
	}
}
