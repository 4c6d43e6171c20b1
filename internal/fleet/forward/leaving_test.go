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

// once returns a script that runs first for the first request and then for all others.
func once(first, then rawserver.Handler) rawserver.Handler {
	var calls atomic.Int64
	return func(c net.Conn, r rawserver.Request) bool {
		if calls.Add(1) == 1 {
			return first(c, r)
		}
		return then(c, r)
	}
}

func write(answer func(r rawserver.Request) string) rawserver.Handler {
	return func(c net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(c, answer(r))
		return err == nil
	}
}

// Guards against calls to a target that has said in an answer that it leaves, whatever the
// answer and whatever its later answers say.
func TestLeavingTargetGetsNoNewCalls(t *testing.T) {
	leaving, plain := platformtest.LeavingLine, always("200 OK", "", "x")
	answers := map[string]rawserver.Handler{
		"whole":               always("200 OK", leaving, "x"),
		"error":               always("500 Error", leaving, "x"),
		"error without seal":  write(func(r rawserver.Request) string { return platformtest.UnsealedResponse(r, "500 Error", leaving, "x") }),
		"not found":           always("404 None", leaving, "x"),
		"unproven refusal":    always("503 Busy", leaving, "x"),
		"refusal":             write(func(r rawserver.Request) string { return platformtest.NotExecutedWith(r, leaving) }),
		"stated twice":        always("200 OK", leaving+leaving, "x"),
		"head without a body": write(func(r rawserver.Request) string { return platformtest.StreamHeadWith(r, leaving) }),
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, once(answer, plain))
			_ = f.call("/once/a")
			for range 3 {
				started := time.Now()
				got := f.call("/once/a")
				f.assertResponse(got, 503, "")
				f.Assert(got.Field("retry-after"), qt.Not(qt.Equals), "")
				f.Assert(time.Since(started) < 200*time.Millisecond, qt.IsTrue)
			}
			f.Assert(f.targetRequests(), qt.Equals, 1)
		})
	}
	others := map[string]rawserver.Handler{
		"421 of another server":    write(func(r rawserver.Request) string { return platformtest.UnsealedResponse(r, "421 Other", leaving, "") }),
		"unsealed success":         write(func(r rawserver.Request) string { return platformtest.UnsealedResponse(r, "200 OK", leaving, "x") }),
		"answer to another call":   write(func(rawserver.Request) string { return platformtest.ResponseToOtherCallWith(leaving) }),
		"0":                        always("200 OK", strings.Replace(leaving, "1", "0", 1), "x"),
		"another value":            always("200 OK", strings.Replace(leaving, "1", "true", 1), "x"),
		"a value that begins with": always("200 OK", strings.Replace(leaving, "1", "1, 1", 1), "x"),
	}
	for name, answer := range others {
		t.Run("not so after "+name, func(t *testing.T) {
			f := newFixture(t, 1, once(answer, plain))
			_ = f.call("/once/a")
			f.assertResponse(f.call("/once/a"), 200, "x")
		})
	}
}

// Guards against a stream that is cut or moved because its target says that it leaves.
func TestStreamOfALeavingTargetGoesOn(t *testing.T) {
	for _, path := range []string{"/stream/a", "/resume/a"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
				_, _ = io.WriteString(c, platformtest.StreamHeadWith(r, platformtest.LeavingLine)+chunk("id: 1\ndata: x\n\n"))
				time.Sleep(150 * time.Millisecond)
				_, err := io.WriteString(c, chunk("id: 2\ndata: x\n\n")+"0\r\n\r\n")
				return err == nil
			})
			f.assertResponse(f.call(path), 200, wholeStream(2))
			f.Assert(f.targetRequests(), qt.Equals, 1)
		})
	}
}

// Guards against retries and resumed streams that go to a target that leaves.
func TestRetriesAvoidALeavingTarget(t *testing.T) {
	t.Run("a retry goes to another one", func(t *testing.T) {
		refusal := write(func(r rawserver.Request) string { return platformtest.NotExecutedWith(r, platformtest.LeavingLine) })
		f := newFixture(t, 2, once(refusal, always("200 OK", "", "x")))
		for range 10 {
			f.assertResponse(f.call("/once/a"), 200, "x")
		}
		f.Assert(min(len(f.targets[0].Requests()), len(f.targets[1].Requests())), qt.Equals, 1)
	})
	t.Run("a stream is not resumed there", func(t *testing.T) {
		cut := eventScript(9, 4)
		leaving := write(func(r rawserver.Request) string {
			return platformtest.Response(r, "200 OK", platformtest.LeavingLine, "x")
		})
		f := newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
			if strings.HasPrefix(r.Target, "/once") {
				return leaving(c, r)
			}
			return cut(c, r)
		})
		f.assertResponse(f.call("/once/a"), 200, "x")
		got := f.call("/resume/a")
		f.Assert(got.err, qt.IsNotNil) // The other target was tried.
		f.Assert(min(len(f.targets[0].Requests()), len(f.targets[1].Requests())), qt.Equals, 1)
	})
}
