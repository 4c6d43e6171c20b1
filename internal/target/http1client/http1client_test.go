package http1client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/target/http1client"
	"hickoryrock/internal/wire/http1"
)

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newCall(id, method string, body []byte) http1client.Call {
	return http1client.Call{
		Method: method, Target: "/p", Body: body,
		Fields: []http1.Field{http1.NewField("Host", "h"), http1.NewField("Call", id)},
		Match: func(fields []http1.Field) http1client.ResponseMatch {
			for _, f := range fields {
				if f.LowerName == "call" && f.Value == id {
					return http1client.MatchThisCall
				}
				if f.LowerName == "call" {
					return http1client.MatchOtherCall
				}
			}
			return http1client.MatchUnknown
		},
	}
}

type fixture struct {
	*qt.C
	pool   *http1client.Pool
	server *rawserver.Server
}

func newFixture(t *testing.T, script rawserver.Handler) fixture {
	c := qt.New(t)
	server, stop, err := rawserver.New(script)
	c.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	pool, closePool := http1client.New()
	t.Cleanup(closePool)
	return fixture{C: c, pool: pool, server: server}
}

func (f fixture) do(ctx context.Context, call http1client.Call) (string, *http1client.Failure) {
	resp, failure := f.pool.Do(ctx, http1client.Endpoint{Address: f.server.Address(), Key: "t"}, call)
	if failure != nil {
		return "", failure
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		f.pool.Discard(resp)
		return "", &http1client.Failure{Status: http1client.Unknown, Reason: "truncated", Err: err}
	}
	f.pool.Release(resp)
	return string(body), nil
}

func (f fixture) assertBody(id, method, want string) {
	f.Helper()
	got, failure := f.do(context.Background(), newCall(id, method, nil))
	f.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	f.Assert(got, qt.Equals, want)
}

// assertUnknown sends a call and checks that its outcome is reported as unknown.
func (f fixture) assertUnknown(id, method string) {
	f.Helper()
	_, failure := f.do(context.Background(), newCall(id, method, nil))
	f.Assert(failure, qt.IsNotNil)
	f.Assert(failure.Status, qt.Equals, http1client.Unknown, qt.Commentf("%v", failure))
}

func TestConnectionsAreReused(t *testing.T) {
	f := newFixture(t, func(c net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(c, response(r.HeaderField("call"), "x"))
		return err == nil
	})
	f.assertBody("1", "GET", "x")
	f.assertBody("2", "POST", "x")
	f.Assert(f.server.Connections(), qt.Equals, 1)
}

func TestCallOnBrokenPooledConnectionIsNotReplayed(t *testing.T) {
	f := newFixture(t, func(c net.Conn, r rawserver.Request) bool {
		if r.ConnSequence > 1 {
			rawserver.Reset(c)
			return false
		}
		_, err := io.WriteString(c, response(r.HeaderField("call"), "x"))
		return err == nil
	})
	f.assertBody("1", "GET", "x")
	f.assertUnknown("2", "GET")
	f.Assert(len(f.server.Requests()), qt.Equals, 2)
}

func TestResponseToEarlierCallIsSkipped(t *testing.T) {
	f := newFixture(t, func(c net.Conn, r rawserver.Request) bool {
		extra := ""
		if r.Sequence == 2 {
			extra = response("1", "late response to the first call")
		}
		_, err := io.WriteString(c, extra+response(r.HeaderField("call"), "own "+r.HeaderField("call")))
		return err == nil
	})
	f.assertBody("1", "GET", "own 1")
	f.assertBody("2", "GET", "own 2")
	f.assertBody("3", "GET", "own 3")
}

func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	f := newFixture(t, func(c net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(c, response(r.HeaderField("call"), "x")+response("other", "surplus"))
		return err == nil
	})
	f.assertBody("1", "GET", "x")
	time.Sleep(20 * time.Millisecond)
	f.assertBody("2", "GET", "x")
	f.Assert(f.server.Connections(), qt.Equals, 2)
}

func TestResponseToAnotherCallIsUnknownOutcome(t *testing.T) {
	f := newFixture(t, func(c net.Conn, _ rawserver.Request) bool {
		_, _ = io.WriteString(c, response("other", "x"))
		return false
	})
	f.assertUnknown("1", "GET")
}

func TestClosedPooledConnectionIsNotUsed(t *testing.T) {
	f := newFixture(t, func(c net.Conn, r rawserver.Request) bool {
		_, _ = io.WriteString(c, response(r.HeaderField("call"), "x"))
		return false
	})
	f.assertBody("1", "POST", "x")
	time.Sleep(20 * time.Millisecond)
	f.assertBody("2", "POST", "x")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	pool, stop := http1client.New()
	defer stop()
	_, failure := pool.Do(context.Background(), http1client.Endpoint{Address: address, Key: "t"}, newCall("1", "POST", nil))
	c.Assert(failure.Status, qt.Equals, http1client.NotSent)
	c.Assert(failure.Reason, qt.Equals, "connection-refused")
}

func TestTruncatedResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"sized":    "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 9\r\n\r\nabc",
		"chunked":  "HTTP/1.1 200 OK\r\nCall: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"head":     "HTTP/1.1 200 OK\r\nCall: 1\r\n",
		"nothing":  "",
		"not HTTP": "garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(c net.Conn, _ rawserver.Request) bool {
				_, _ = io.WriteString(c, raw)
				return false
			})
			f.assertUnknown("1", "POST")
		})
	}
}

func TestResetResponseWithoutLengthIsNotComplete(t *testing.T) {
	script := func(reset bool) rawserver.Handler {
		return func(c net.Conn, _ rawserver.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nCall: 1\r\n\r\nabc")
			time.Sleep(20 * time.Millisecond)
			if reset {
				rawserver.Reset(c)
			}
			return false
		}
	}
	newFixture(t, script(false)).assertBody("1", "POST", "abc")
	newFixture(t, script(true)).assertUnknown("1", "POST")
}

func TestEarlyResponseClosesConnection(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			// Responds before reading the body, and never reads it.
			_, _ = io.WriteString(conn, response("1", "early"))
		}
	}()
	pool, stop := http1client.New()
	defer stop()
	body := []byte(strings.Repeat("a", 8<<20))
	endpoint := http1client.Endpoint{Address: l.Addr().String(), Key: "t"}
	resp, failure := pool.Do(context.Background(), endpoint, newCall("1", "POST", body))
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	got, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "early")
	pool.Release(resp)
	_, failure = pool.Do(context.Background(), endpoint, newCall("1", "POST", nil))
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	c.Assert(len(accepted), qt.Equals, 2)
}

func TestCancellationReachesTarget(t *testing.T) {
	closed := make(chan struct{})
	f := newFixture(t, func(c net.Conn, _ rawserver.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		time.Sleep(20 * time.Millisecond)
		cancel(errors.New("caller disconnected"))
	}()
	_, failure := f.do(ctx, newCall("1", "POST", nil))
	f.Assert(failure.Status, qt.Equals, http1client.Unknown)
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		f.Fatal("connection to the target still open 500 ms after cancellation")
	}
}

// Guards against descriptors that are used up (RECOVER, case 2 of the review of hickoryrock): nothing
// asks for a connection to a target that has left, so that its idle connections stay.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	f := newFixture(t, func(conn net.Conn, r rawserver.Request) bool {
		_, err := io.WriteString(conn, response(r.HeaderField("call"), "x"))
		return err == nil
	})
	assertConnections := func(idleFor time.Duration, want int) {
		f.Helper()
		f.pool.CloseExpired(time.Now().Add(idleFor))
		_, failure := f.do(context.Background(), newCall("1", "POST", nil))
		f.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		f.Assert(f.server.Connections(), qt.Equals, want)
	}
	assertConnections(0, 1)
	assertConnections(2*time.Second, 1)
	assertConnections(10*time.Second, 2)
}
