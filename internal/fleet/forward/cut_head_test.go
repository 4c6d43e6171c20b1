package forward_test

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

const (
	// wholeAnswerPath is the path of calls that the target answers whole.
	wholeAnswerPath = "/once/whole"
	// maxCutTries bounds the calls until the target cuts an answer, with kept on a connection that it
	// has used before: the router answers a call before it keeps the connection, so that the next call
	// may need another one.
	maxCutTries = 50
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
	var cut, fresh atomic.Int64
	f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
		if strings.HasPrefix(r.Target, wholeAnswerPath) {
			_, err := io.WriteString(c, platformtest.Response(r, "200 OK", "", "x"))
			return err == nil
		}
		if r.ConnSequence == 1 {
			fresh.Add(1)
		}
		whole := head(r)
		_, _ = io.WriteString(c, whole[:min(int(cut.Load()), len(whole)-1)])
		finish(c, r)
		return false
	})
	length := len(head(rawserver.Request{Request: &http1.Request{}})) + len(presentCall)
	calls := 0
	var refused []string
	for at := range length {
		cut.Store(int64(at))
		isTried := false
		for try := 0; try < maxCutTries && !isTried; try++ {
			fresh.Store(0)
			before := f.targetRequests()
			if kept {
				_ = f.call(wholeAnswerPath)
				before++
			}
			calls++
			unique := fmt.Sprint(path, "/", calls)
			got := f.call(unique)
			f.Assert(got.err == nil && got.Status/100 == 2, qt.IsFalse, qt.Commentf("cut after %d bytes: %+v", at, got))
			if got.err == nil && got.Status == 503 {
				refused = append(refused, unique)
				f.assertNotSent(refused)
				continue
			}
			isTried = f.targetRequests()-before > int(fresh.Load()) || (!kept && fresh.Load() > 0)
		}
		f.Assert(isTried, qt.IsTrue, qt.Commentf("cut after %d bytes: no answer to cut in %d tries", at, maxCutTries))
	}
	f.assertNotSent(refused)
}

// assertNotSent fails if a target has received a call that was refused as not executed. A busy machine
// may delay a call until the router refuses it before it is sent.
func (f *fixture) assertNotSent(refused []string) {
	f.Helper()
	for _, r := range f.targets[0].Requests() {
		f.Assert(slices.Contains(refused, r.Target), qt.IsFalse, qt.Commentf("%s was refused as not executed, but sent", r.Target))
	}
}
