package forward_test

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

const (
	failureBody = "data: failed\n\n"
	// slowBodyTime is longer than the time in which the client reads a body only to keep the connection.
	slowBodyTime = 150 * time.Millisecond
)

type (
	// failureCase is a target's answer to a call, with a status that is no success.
	failureCase struct {
		status             int
		isProven, isSealed bool
		framing            failureFraming
		path               string
		isAtMostOnce       bool
	}

	failureFraming string

	// expectation is what the caller must get.
	expectation struct {
		status   int
		body     string
		isSealed bool
		// maxRuns is how often the call may have run.
		maxRuns int
		// keepsConnection is set if the connection to the target must be used again.
		keepsConnection bool
	}
)

const (
	framedByLength failureFraming = "length"
	withoutBody    failureFraming = "no body"
	inChunks       failureFraming = "chunks"
	asEventStream  failureFraming = "event stream in chunks"
	untilClose     failureFraming = "until close"
	withSlowBody   failureFraming = "slow body"
)

// failureCases returns all combinations of a failure's properties on a route.
func failureCases(path string, isAtMostOnce bool) []failureCase {
	var cases []failureCase
	for _, status := range []int{400, 404, 408, 421, 429, 500, 502, 503, 504} {
		for _, framing := range []failureFraming{framedByLength, withoutBody, inChunks, asEventStream, untilClose, withSlowBody} {
			for _, isProven := range []bool{false, true} {
				for _, isSealed := range []bool{false, true} {
					cases = append(cases, failureCase{
						status: status, isProven: isProven, isSealed: isSealed, framing: framing, path: path, isAtMostOnce: isAtMostOnce,
					})
				}
			}
		}
	}
	return cases
}

// promises reports whether a status tells a caller that its call has not run and never will.
func promises(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// want derives what the caller must get from the protocol: "Status codes 429 and 503 are a promise, and so
// are 408 and 421: each means that the request has not run and never will run", and "A response that has
// [the header of the proof] states that the server did not run the request [...]. No other response
// states this", except that a server other than the expected one "responds with 421 and does not run the
// request". Otherwise "the server's status, body and [seal] are returned unchanged".
func (c failureCase) want() expectation {
	hasProof := c.isProven || c.status == 421
	isFramed := c.framing != untilClose
	switch {
	case hasProof:
		return expectation{status: 503}
	case promises(c.status) && c.isAtMostOnce:
		return expectation{status: 502, maxRuns: 1, keepsConnection: isFramed}
	case promises(c.status) && !c.isSealed: // It may be the answer of something else than the target.
		return expectation{status: 502, maxRuns: 2}
	}
	e := expectation{status: c.status, body: failureBody, isSealed: c.isSealed, maxRuns: 2, keepsConnection: isFramed}
	if c.framing == withoutBody {
		e.body = ""
	}
	if c.isAtMostOnce {
		e.maxRuns = 1
	}
	return e
}

func (c failureCase) String() string {
	return fmt.Sprintf("%d, proof %t, seal %t, %s, %s", c.status, c.isProven, c.isSealed, c.framing, c.path)
}

// answer writes the failure and reports whether the connection stays open.
func (c failureCase) answer(conn net.Conn, r rawserver.Request) bool {
	lines, body := "", failureBody
	if c.isProven {
		lines += platformtest.NotExecutedLine
	}
	if c.framing == asEventStream {
		lines += "Content-Type: text/event-stream\r\n"
	}
	if c.framing == withoutBody {
		body = ""
	}
	if c.isSealed {
		lines += platformtest.SealLine
	}
	status := fmt.Sprint(c.status, " Failure")
	raw := platformtest.UnsealedResponse(r, status, lines, body)
	switch c.framing {
	case inChunks, asEventStream:
		raw = unsealedChunks(r, status, lines, body)
	case untilClose:
		raw = platformtest.Unframed(raw)
	case withSlowBody:
		raw = strings.TrimSuffix(raw, body)
		_, _ = io.WriteString(conn, raw)
		time.Sleep(slowBodyTime)
		raw = body
	case framedByLength, withoutBody:
	}
	_, err := io.WriteString(conn, raw)
	return err == nil && c.framing != untilClose
}

// Guards against callers who are told that a call that runs at most once has not run, although its target
// has not said so, and against other failures of targets that are not relayed as they are (REFUSED,
// MIXED; issue 61).
func TestFailuresWithAndWithoutProof(t *testing.T) {
	for path, isAtMostOnce := range map[string]bool{
		"/once/a": true, "/stream/a": true, "/chat/a": true, "/open/a": true,
		"/safe/a": false, "/resume/a": false, "/replay/a": false, "/talk/a": false,
	} {
		checkFailures(t, path, isAtMostOnce, 1)
		if !isAtMostOnce {
			checkFailures(t, path, isAtMostOnce, 2)
		}
	}
}

// checkFailures checks all failures on a route whose service has a number of targets.
func checkFailures(t *testing.T, path string, isAtMostOnce bool, targets int) {
	t.Helper()
	t.Run(fmt.Sprintf("%s, targets: %d", path, targets), func(t *testing.T) {
		t.Parallel()
		var present atomic.Pointer[failureCase]
		f := newFixture(t, targets, func(c net.Conn, r rawserver.Request) bool { return present.Load().answer(c, r) })
		f.cacheIndex.MarkRestored()
		for _, next := range failureCases(path, isAtMostOnce) {
			present.Store(&next)
			f.tracker.Prune(nil) // Failures must not eject targets.
			f.checkFailure(next)
		}
	})
}

// checkFailure makes a call that its target answers with a failure, and checks what the caller gets.
func (f *fixture) checkFailure(present failureCase) {
	f.Helper()
	comment, want := qt.Commentf("%s", present), present.want()
	before := f.targetRequests()
	got := f.call(present.path)
	f.Assert(got.err, qt.IsNil, comment)
	f.Check(got.Status, qt.Equals, want.status, comment)
	f.Check(got.body, qt.Equals, want.body, comment)
	f.Check(platform.DecodeResponseHeaders(got.Status, got.Fields).Sealed, qt.Equals, want.isSealed, comment)
	if want.maxRuns > 0 {
		f.Check(f.targetRequests()-before <= want.maxRuns, qt.IsTrue, comment)
	}
	if want.keepsConnection && len(f.targets) == 1 {
		connections := f.targets[0].Connections()
		_ = f.call(present.path)
		f.Check(f.targets[0].Connections(), qt.Equals, connections, comment)
	}
}

// Guards against calls that go on to a target which answers many of them with a promise but without proof,
// while another target serves them (issue 61).
func TestUnprovenRefusalsCountAsFailures(t *testing.T) {
	for _, status := range []string{"408 Late", "429 Busy", "503 Busy"} {
		t.Run(status, func(t *testing.T) {
			f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
				if platformtest.DecodeForwarded(r).ExpectedTarget == "i-0" {
					return always(status, "", "x")(c, r)
				}
				return always("200 OK", "", "x")(c, r)
			})
			isEjected := func() bool { return f.tracker.Summaries([]uint64{f.hash(0), f.hash(1)}, time.Now())[0].Ejected }
			for n := 0; n < 100 && !isEjected(); n++ {
				_ = f.send(platformtest.Call(fmt.Sprint("c", n), "POST", "/once/a", 1000, "hello"))
			}
			f.Assert(isEjected(), qt.IsTrue)
		})
	}
}
