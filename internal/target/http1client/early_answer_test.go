package http1client_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/target/http1client"
)

const (
	// longUpload exceeds what the kernel buffers for a server that reads nothing.
	longUpload = 8 << 20
	// earlyAnswerRepeats is how often a race between the end of an answer and the upload is tried.
	earlyAnswerRepeats = 20
	// maxEarlyAnswer bounds a call that is answered at once.
	maxEarlyAnswer = 2 * time.Second
)

func newEarlyFixture(t *testing.T, answer string, end rawserver.End) fixture {
	c := qt.New(t)
	server, stop, err := rawserver.NewEarly(func(rawserver.Request) string { return answer }, end)
	c.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	pool, closePool := http1client.New()
	t.Cleanup(closePool)
	return fixture{C: c, pool: pool, server: server}
}

// Guards against an answer without a length that was reset during the upload and reads as complete
// (issue 51): the write of the upload may be told of the reset in place of the read of the answer.
func TestAnswerThatIsResetDuringUploadIsNotComplete(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found", "503 Service Unavailable"} {
		for _, bodyBytes := range []int{0, 100, 20_000} {
			t.Run(fmt.Sprintf("%s %d bytes", status, bodyBytes), func(t *testing.T) {
				f := newEarlyFixture(t, "HTTP/1.1 "+status+"\r\nCall: 1\r\n\r\n"+strings.Repeat("x", bodyBytes), rawserver.EndReset)
				complete := 0
				for range earlyAnswerRepeats {
					if _, failure := f.do(context.Background(), newCall("1", "POST", make([]byte, longUpload))); failure == nil {
						complete++
					}
				}
				f.Assert(complete, qt.Equals, 0, qt.Commentf("complete answers of %d", earlyAnswerRepeats))
			})
		}
	}
}

// Guards against a sound answer that is taken for broken, or waited for, because the upload is not
// finished when the answer ends with a FIN.
func TestAnswerThatEndsWithFINDuringUploadIsWhole(t *testing.T) {
	const body = "sound answer"
	for _, end := range []rawserver.End{rawserver.EndReadOn, rawserver.EndReadNothing, rawserver.EndResetAfterFIN} {
		t.Run(string(end), func(t *testing.T) {
			f := newEarlyFixture(t, "HTTP/1.1 200 OK\r\nCall: 1\r\n\r\n"+body, end)
			for range earlyAnswerRepeats {
				began := time.Now()
				got, failure := f.do(context.Background(), newCall("1", "POST", make([]byte, longUpload)))
				f.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				f.Assert(got, qt.Equals, body)
				f.Assert(time.Since(began) < maxEarlyAnswer, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			}
		})
	}
}

// Guards against an answer with a length or chunks that is reset during the upload and reads as complete.
func TestFramedAnswerThatIsResetDuringUploadIsNotComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 9\r\n\r\nabc",
		"chunks": "HTTP/1.1 200 OK\r\nCall: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newEarlyFixture(t, answer, rawserver.EndReset)
			for range earlyAnswerRepeats {
				_, failure := f.do(context.Background(), newCall("1", "POST", make([]byte, longUpload)))
				f.Assert(failure != nil, qt.IsTrue)
				f.Assert(failure.Status, qt.Equals, http1client.Unknown)
			}
		})
	}
}
