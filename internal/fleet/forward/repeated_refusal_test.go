package forward_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	earlierCall = "c0"
	presentCall = "c1"

	// copyDelay is well below the time after which a silent target counts as failed.
	copyDelay = 5 * time.Millisecond
)

type (
	// surplus is what a faulty target writes besides its answer to the present call.
	surplus struct {
		name   string
		before string
		// pause is the time between before and the answer.
		pause time.Duration
		after string
		// idle is written after the answer to the earlier call, while the connection is idle.
		idle string
	}

	// surplusCase is a call to targets that write surplus responses.
	surplusCase struct {
		surplus
		path string
		// kept is set when an earlier call has used the connection.
		kept bool
		want int
	}

	// surplusTargets are two targets that refuse the earlier call and execute all others.
	surplusTargets struct {
		*fixture
		executions atomic.Int32
	}
)

func newSurplusTargets(t *testing.T, s surplus) *surplusTargets {
	targets := new(surplusTargets)
	targets.fixture = newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
		if platformtest.DecodeForwarded(r).Call == earlierCall {
			_, _ = io.WriteString(c, platformtest.NotExecuted(r))
			time.Sleep(copyDelay)
			_, err := io.WriteString(c, s.idle)
			return err == nil
		}
		targets.executions.Add(1)
		answer := platformtest.Response(r, "200 OK", "", "own")
		if s.pause > 0 {
			_, _ = io.WriteString(c, s.before)
			time.Sleep(s.pause)
			_, err := io.WriteString(c, answer+s.after)
			return err == nil
		}
		_, err := io.WriteString(c, s.before+answer+s.after)
		return err == nil
	})
	return targets
}

func (f *surplusTargets) callAs(id, path string) response {
	return f.send(platformtest.Call(id, "POST", path, 1000, "hello"))
}

// assertTruthful checks that what the caller was told agrees with the executions.
func (f *surplusTargets) assertTruthful(got response, path string) {
	f.Helper()
	executions := int(f.executions.Load())
	f.Assert(got.err, qt.IsNil)
	if promises(got.Status) {
		f.Assert(executions, qt.Equals, 0, qt.Commentf("told %d, not executed", got.Status))
	}
	if strings.HasPrefix(path, "/once/") {
		f.Assert(executions <= 1, qt.IsTrue, qt.Commentf("%d executions", executions))
	}
	if got.Status/100 == 2 {
		f.Assert(got.body, qt.Equals, "own")
		f.Assert(executions > 0, qt.IsTrue)
	}
}

func (s surplusCase) run(t *testing.T) {
	t.Parallel()
	f := newSurplusTargets(t, s.surplus)
	wantSequence := 1
	if s.kept {
		f.assertResponse(f.callAs(earlierCall, s.path), 503, "")
		f.Assert(f.targetRequests(), qt.Equals, 2)
		time.Sleep(3 * copyDelay)
		if s.idle == "" {
			wantSequence = 2
		}
	}
	got := f.callAs(presentCall, s.path)
	f.assertTruthful(got, s.path)
	f.Assert(got.Status, qt.Equals, s.want)
	for _, target := range f.targets {
		for _, r := range target.Requests() {
			if platformtest.DecodeForwarded(r).Call == presentCall {
				f.Assert(r.ConnSequence, qt.Equals, wantSequence)
			}
		}
	}
}

// runSurplus plays a surplus on each kind of route, on the first and on a later use of a
// connection. first and kept are the statuses that the caller gets.
func runSurplus(t *testing.T, s surplus, first, kept int) {
	for _, path := range []string{"/once/a", "/safe/a"} {
		if s.idle == "" {
			t.Run(s.name+", first use, "+path, surplusCase{surplus: s, path: path, want: first}.run)
		}
		t.Run(s.name+", kept connection, "+path, surplusCase{surplus: s, path: path, kept: true, want: kept}.run)
	}
}

// Guards against an earlier refusal, repeated by its target, that is taken for the answer to
// a call which that target executes.
func TestRepeatedRefusalOfAnotherCall(t *testing.T) {
	for _, status := range []string{"503 Busy", "429 Busy", "421 Other", "400 Bad"} {
		refusal := platformtest.ResponseTo(status, platformtest.NotExecutedLine, earlierCall)
		runSurplus(t, surplus{name: status, before: refusal}, 200, 200)
	}
	refusal := platformtest.ResponseTo("503 Busy", platformtest.NotExecutedLine, earlierCall)
	cut := strings.Replace(refusal, "Content-Length: 0", "Content-Length: 9", 1)
	for _, s := range []surplus{
		{name: "some time before the answer", before: refusal, pause: copyDelay},
		{name: "twice", before: refusal + refusal},
		{name: "after an interim response", before: "HTTP/1.1 100 Continue\r\n\r\n" + refusal},
		{name: "without the header of the proof", before: platformtest.ResponseTo("421 Other", "", earlierCall)},
		{name: "after the answer", after: refusal},
		{name: "with an ID in another case", before: platformtest.ResponseTo("503 Busy", platformtest.NotExecutedLine, "C1")},
	} {
		runSurplus(t, s, 200, 200)
	}
	runSurplus(t, surplus{name: "while the connection is idle", idle: refusal}, 0, 200)
	// The rest of the answer is not a response.
	runSurplus(t, surplus{name: "with a length that includes a part of the answer", before: cut}, 502, 502)
}

// Guards against a refusal without a call ID that is taken for proof, although targets state
// the ID of the call that they answer.
func TestRepeatedRefusalWithoutID(t *testing.T) {
	for _, status := range []string{"503 Busy", "429 Busy", "421 Other", "400 Bad"} {
		runSurplus(t, surplus{name: status, before: platformtest.ResponseTo(status, platformtest.NotExecutedLine)}, 502, 200)
	}
	refusal := platformtest.ResponseTo("503 Busy", platformtest.NotExecutedLine)
	for _, s := range []surplus{
		{name: "some time before the answer", before: refusal, pause: copyDelay},
		{name: "without the header of the proof", before: platformtest.ResponseTo("421 Other", "")},
		{name: "with an empty ID", before: platformtest.ResponseTo("503 Busy", platformtest.NotExecutedLine, "")},
	} {
		runSurplus(t, s, 502, 200)
	}
	runSurplus(t, surplus{name: "after the answer", after: refusal}, 200, 200)
	runSurplus(t, surplus{name: "while the connection is idle", idle: refusal}, 0, 200)
}

// Guards against a response with the IDs of two calls that is taken for the answer to one.
func TestRepeatedRefusalWithSeveralIDs(t *testing.T) {
	for name, ids := range map[string][]string{
		"another one first":  {earlierCall, presentCall},
		"another one last":   {presentCall, earlierCall},
		"an empty one first": {"", presentCall},
		"an empty one last":  {presentCall, ""},
		"in one line":        {earlierCall + ", " + presentCall},
	} {
		runSurplus(t, surplus{name: name, before: platformtest.ResponseTo("503 Busy", platformtest.NotExecutedLine, ids...)}, 200, 200)
	}
}

// Guards against an earlier refusal that is taken for the answer to a call without an ID: only
// the connection tells whose answer it is.
func TestRepeatedRefusalOfCallWithoutID(t *testing.T) {
	for _, path := range []string{"/once/a", "/safe/a"} {
		t.Run(path, func(t *testing.T) {
			var executions atomic.Int32
			f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
				refusal := platformtest.ResponseTo("400 Bad", platformtest.NotExecutedLine)
				if r.ConnSequence > 1 {
					executions.Add(1)
					refusal += platformtest.Response(r, "200 OK", "", "own")
				}
				_, err := io.WriteString(c, refusal)
				return err == nil
			})
			for range 2 {
				// Both targets refuse the call, and keep their connections open.
				f.assertResponse(f.send(platformtest.Call("", "POST", path, 1000, "hello")), 503, "")
			}
			f.Assert(int(executions.Load()), qt.Equals, 0)
		})
	}
}

// A refusal with the call's ID is proof on any connection, and the call is sent to another target.
func TestSoundRefusalsAreRetried(t *testing.T) {
	for _, status := range []string{"503 Busy", "429 Busy", "421 Other", "400 Bad"} {
		for _, path := range []string{"/once/a", "/safe/a"} {
			t.Run(status+" "+path, func(t *testing.T) {
				refused := new(atomic.Bool)
				f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
					id := platformtest.DecodeForwarded(r).Call
					if id == earlierCall || refused.CompareAndSwap(false, true) {
						_, err := io.WriteString(c, platformtest.ResponseTo(status, platformtest.NotExecutedLine, id, id))
						return err == nil
					}
					return always("200 OK", "", "own")(c, r)
				})
				for _, id := range []string{presentCall, "c2"} {
					f.assertResponse(f.send(platformtest.Call(earlierCall, "POST", path, 1000, "hello")), 503, "")
					refused.Store(false)
					f.assertResponse(f.send(platformtest.Call(id, "POST", path, 1000, "hello")), 200, "own")
				}
				for _, target := range f.targets {
					f.Assert(target.Connections(), qt.Equals, 1)
				}
			})
		}
	}
}

// Guards against a status that promises that a call was not executed, relayed although
// nothing proves it.
func TestPromisesWithoutProof(t *testing.T) {
	for _, status := range []string{"503 Busy", "429 Busy", "408 Late"} {
		for name, answer := range map[string]string{
			"without the seal": platformtest.ResponseTo(status, "", presentCall),
			"without an ID":    platformtest.ResponseTo(status, platformtest.SealLine),
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				f := newFixture(t, 2, func(c net.Conn, _ rawserver.Request) bool {
					_, err := io.WriteString(c, answer)
					return err == nil
				})
				f.assertResponse(f.call("/once/a"), 502, "")
				f.Assert(f.targetRequests(), qt.Equals, 1)
				f.assertResponse(f.call("/safe/a"), 502, "")
				f.Assert(f.targetRequests(), qt.Equals, 3)
			})
		}
	}
}

// Guards against a successful response that claims that the call was not executed and is
// taken for proof.
func TestContradictoryResponseIsUnknownOutcome(t *testing.T) {
	f := newFixture(t, 2, always("200 OK", platformtest.NotExecutedLine, "x"))
	f.assertResponse(f.call("/once/a"), 502, "")
	f.Assert(f.targetRequests(), qt.Equals, 1)
	f.assertResponse(f.call("/safe/a"), 502, "")
	f.Assert(f.targetRequests(), qt.Equals, 3)
}
