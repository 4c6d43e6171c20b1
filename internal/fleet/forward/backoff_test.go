package forward_test

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

func refusing(seconds string) rawserver.Handler {
	return write(func(r rawserver.Request) string {
		return platformtest.NotExecutedWith(r, platformtest.RetryAfterLine(seconds))
	})
}

// retryAfter returns the time after which a refused caller should return.
func (f *fixture) retryAfter(got response) time.Duration {
	f.Helper()
	seconds, err := strconv.ParseFloat(got.Field("retry-after"), 64)
	f.Assert(err, qt.IsNil)
	return time.Duration(seconds * float64(time.Second))
}

// Guards against calls to a target that has turned a call away and wants none for a time.
func TestTargetThatWantsNoCallsForATime(t *testing.T) {
	plain := always("200 OK", "", "x")
	line := platformtest.RetryAfterLine("0.6")
	unsealed := write(func(r rawserver.Request) string { return platformtest.UnsealedResponse(r, "503 Busy", line, "x") })
	for name, tc := range map[string]struct {
		answer rawserver.Handler
		// status is what the first caller gets.
		status int
	}{
		"refusal":                  {refusing("0.6"), 503},
		"sealed":                   {always("503 Busy", line, "x"), 502},
		"unsealed":                 {unsealed, 502},
		"twice, the longer counts": {always("503 Busy", platformtest.RetryAfterLine("0.1")+line+platformtest.RetryAfterLine("0"), "x"), 502},
		"beside an invalid one":    {always("503 Busy", line+platformtest.RetryAfterLine("soon"), "x"), 502},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, once(tc.answer, plain))
			f.Assert(f.call("/once/a").Status, qt.Equals, tc.status)
			refused := time.Now()
			for time.Since(refused) < 400*time.Millisecond {
				got := f.call("/once/a")
				f.assertResponse(got, 503, "")
				f.Assert(f.retryAfter(got) > 500*time.Millisecond-time.Since(refused), qt.IsTrue)
				f.Assert(f.retryAfter(got) < 1500*time.Millisecond, qt.IsTrue)
			}
			f.Assert(f.targetRequests(), qt.Equals, 1)
			time.Sleep(time.Until(refused.Add(700 * time.Millisecond)))
			f.assertResponse(f.call("/once/a"), 200, "x")
		})
	}
	for name, answer := range map[string]rawserver.Handler{
		"429":                   always("429 Many", line, "x"),
		"200":                   always("200 OK", line, "x"),
		"500":                   always("500 Error", line, "x"),
		"421 of another server": write(func(r rawserver.Request) string { return platformtest.UnsealedResponse(r, "421 Other", line, "") }),
	} {
		t.Run("not after "+name, func(t *testing.T) {
			f := newFixture(t, 1, once(answer, plain))
			_ = f.call("/once/a")
			f.assertResponse(f.call("/once/a"), 200, "x")
		})
	}
	for _, value := range []string{"0", "-1", "NaN", "inf", "", "soon", "Fri, 31 Dec 2027 23:59:59 GMT", "0x1p3", "1_0", "1 2"} {
		t.Run("not after an invalid time: "+value, func(t *testing.T) {
			f := newFixture(t, 1, once(refusing(value), plain))
			_ = f.call("/once/a")
			f.assertResponse(f.call("/once/a"), 200, "x")
		})
	}
	t.Run("a huge time is obeyed", func(t *testing.T) {
		f := newFixture(t, 1, once(refusing("1e300"), plain))
		_ = f.call("/once/a")
		f.assertResponse(f.call("/once/a"), 503, "")
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
}

// Guards against concurrent calls that are all sent to a target that refuses them.
func TestOtherTargetsTakeTheCallsOfOneThatWantsNone(t *testing.T) {
	var first sync.Once
	var refuses string // The address of the target that is called first.
	f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
		first.Do(func() { refuses = c.LocalAddr().String() })
		if refuses == c.LocalAddr().String() {
			return refusing("5")(c, r)
		}
		return always("200 OK", "", "x")(c, r)
	})
	f.assertResponse(f.call("/once/a"), 200, "x")
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() { f.Check(f.call("/once/a").Status, qt.Equals, 200) })
	}
	group.Wait()
	f.Assert(min(len(f.targets[0].Requests()), len(f.targets[1].Requests())), qt.Equals, 1)
}

// Guards against callers that are told to return before any target takes their calls, or long
// after one does.
func TestRetryAfterIsThatOfTheFirstTarget(t *testing.T) {
	var f *fixture
	f = newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
		if c.LocalAddr().String() == f.targets[0].Address() {
			return refusing("30")(c, r)
		}
		return refusing("2")(c, r)
	})
	first := f.call("/once/a") // Both refuse it.
	f.assertResponse(first, 503, "")
	f.Assert(f.targetRequests(), qt.Equals, 2)
	for range 10 {
		after := f.retryAfter(f.call("/once/a"))
		f.Assert(after > 1500*time.Millisecond && after < 4500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
	}
	f.Assert(f.retryAfter(first) > 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", f.retryAfter(first)))
	f.Assert(f.targetRequests(), qt.Equals, 2)
}

// Guards against a caller that is told to return at once because the retry budget is spent.
func TestRetryAfterWithoutARetry(t *testing.T) {
	f := newFixture(t, 1, refusing("2"))
	f.spendBudget()
	after := f.retryAfter(f.call("/once/a"))
	f.Assert(after > 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
	t.Run("another target takes the call", func(t *testing.T) {
		f := newFixture(t, 2, refusing("2"))
		f.spendBudget()
		after := f.retryAfter(f.call("/once/a"))
		f.Assert(after < time.Second, qt.IsTrue, qt.Commentf("%v", after))
		f.Assert(f.targetRequests(), qt.Equals, 1)
	})
}

// Guards against a stream that is cut because its target has refused another call.
func TestStreamOfATargetThatWantsNoCallsGoesOn(t *testing.T) {
	f := newFixture(t, 1, func(c net.Conn, r rawserver.Request) bool {
		if strings.HasPrefix(r.Target, "/once") {
			return refusing("5")(c, r)
		}
		return pausing(200*time.Millisecond)(c, r)
	})
	got := make(chan response)
	go func() { got <- f.call("/resume/a") }()
	f.awaitRequests(1)
	f.assertResponse(f.call("/once/a"), 503, "")
	f.assertResponse(<-got, 200, wholeStream(2))
}
