package plain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/standin/order"
	"hickoryrock/internal/target/transport"
)

const key = "018f-booking-1"

type fixture struct {
	*qt.C
	service *order.Server
	server  *httptest.Server
	client  *Client
	metrics *metrics.Set
	address string
}

func newFixture(t *testing.T) *fixture {
	service := order.New("orders-1")
	srv := httptest.NewUnstartedServer(service.Handler())
	srv.Config.ConnContext = service.Connections().ConnContext
	srv.Start()
	set := metrics.NewSet()
	client, closeClient := New(
		WithTimeout(150*time.Millisecond), WithAtMostOnceTimeout(150*time.Millisecond), WithMetrics(set),
		WithMaxResponseBytes(1<<10))
	t.Cleanup(func() {
		closeClient()
		srv.CloseClientConnections()
		srv.Close()
	})
	return &fixture{
		C: qt.New(t), service: service, server: srv, client: client, metrics: set, address: srv.Listener.Addr().String(),
	}
}

func (fx *fixture) call(method string, atMostOnce bool, body string) *outcome.Failure {
	c := Call{Address: fx.address, Method: method, AtMostOnce: atMostOnce, Body: []byte(body)}
	if atMostOnce {
		c.Key = key
	}
	_, f := fx.client.Call(context.Background(), c)
	return f
}

func (fx *fixture) assertDone(f *outcome.Failure) {
	fx.Helper()
	if f != nil {
		fx.Fatal(f)
	}
}

func (fx *fixture) assertFailure(f *outcome.Failure, status outcome.Status, reason outcome.Reason) {
	fx.Helper()
	if f == nil {
		fx.Fatal("call succeeded, want a failure")
	}
	fx.Assert(f.Status, qt.Equals, status, qt.Commentf("%v", f))
	fx.Assert(f.Reason, qt.Equals, reason, qt.Commentf("%v", f))
}

// assertRuns checks how often the target ran a method.
func (fx *fixture) assertRuns(method string, n int) {
	fx.Helper()
	ran := 0
	for _, r := range fx.service.Runs() {
		if r.Method == method {
			ran++
		}
	}
	fx.Assert(ran, qt.Equals, n)
}

func (fx *fixture) assertCounted(name string, n uint64) {
	fx.Helper()
	fx.Assert(fx.metrics.GetOrCreateCounter(name).Get(), qt.Equals, n)
}

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		faults order.Faults
		status outcome.Status
		reason outcome.Reason
		runs   int
	}{
		"refused before running": {order.Faults{Refuse: true}, outcome.NotRun, outcome.ReasonTargetRefused, 0},
		"silent before running":  {order.Faults{SilenceBefore: true}, outcome.Unknown, outcome.ReasonTargetSilent, 0},
		"silent after running":   {order.Faults{SilenceAfter: true}, outcome.Unknown, outcome.ReasonTargetSilent, 1},
		"broken after running":   {order.Faults{RunThenBreak: true}, outcome.Unknown, outcome.ReasonConnectionLost, 1},
		"failed after running":   {order.Faults{Fail: true}, outcome.Unknown, outcome.ReasonTargetFailed, 1},
		"slow over the timeout":  {order.Faults{SlowMillis: 300}, outcome.Unknown, outcome.ReasonTargetSilent, -1},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.service.SetFaults(c.faults)
			fx.assertFailure(fx.call("book", true, `{"coat":7}`), c.status, c.reason)
			if c.runs >= 0 {
				fx.assertRuns("book", c.runs)
			}
			fx.assertCounted(`hickoryrock_target_calls_total{kind="plain",outcome="`+string(c.status)+
				`",reason="`+string(c.reason)+`"}`, 1)
		})
	}
	t.Run("no connection", func(t *testing.T) {
		fx := newFixture(t)
		fx.server.Close()
		fx.assertFailure(fx.call("book", true, ""), outcome.NotRun, outcome.ReasonTargetUnreachable)
	})
	t.Run("caller disconnected", func(t *testing.T) {
		fx := newFixture(t)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, f := fx.client.Call(ctx, Call{Address: fx.address, Method: "book", Key: key, AtMostOnce: true})
		fx.assertFailure(f, outcome.NotRun, outcome.ReasonCancelled)
		fx.assertRuns("book", 0)
	})
}

// TestBrokenReusedConnection resets a reused connection after the target has run the call.
func TestBrokenReusedConnection(t *testing.T) {
	for name, body := range map[string]string{"empty body": "", "body": `{"coat":7}`} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.assertDone(fx.call("status", false, ""))
			fx.service.SetFaults(order.Faults{RunThenBreak: true, Times: 1})
			fx.assertFailure(fx.call("book", true, body), outcome.Unknown, outcome.ReasonConnectionLost)
			fx.assertRuns("book", 1)
		})
	}
}

// TestDefaultTransportRepeatsCall demonstrates the failure that the client prevents: http.Transport
// replays the request, so that the target runs the call twice.
func TestDefaultTransportRepeatsCall(t *testing.T) {
	fx := newFixture(t)
	defaultClient := &http.Client{Transport: &http.Transport{}}
	post := func(method string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+fx.address+"/methods/"+method, nil)
		fx.Assert(err, qt.IsNil)
		req.Header.Set(HeaderKey, key)
		resp, err := defaultClient.Do(req)
		fx.Assert(err, qt.IsNil)
		var buf [256]byte
		for err == nil {
			_, err = resp.Body.Read(buf[:])
		}
		_ = resp.Body.Close()
	}
	post("status")
	fx.service.SetFaults(order.Faults{RunThenBreak: true, Times: 1})
	post("book")
	fx.assertRuns("book", 2)
}

// TestSilentIdleConnections silences several idle connections at once: only the first call on them
// may fail, since the next ones use new connections.
func TestSilentIdleConnections(t *testing.T) {
	fx := newFixture(t)
	fx.service.SetFaults(order.Faults{SlowMillis: 50})
	var calls sync.WaitGroup
	for range 3 {
		calls.Go(func() { _ = fx.call("stock", false, "") })
	}
	calls.Wait()
	fx.Assert(fx.service.Connections().Count(), qt.Equals, int64(3))

	fx.service.SetFaults(order.Faults{SilenceOpen: true})
	fx.assertFailure(fx.call("stock", false, "{}"), outcome.Unknown, outcome.ReasonTargetSilent)
	fx.assertDone(fx.call("stock", false, "{}"))
	fx.assertDone(fx.call("stock", false, "{}"))
}

func TestSilentConnection(t *testing.T) {
	fx := newFixture(t)
	fx.assertDone(fx.call("stock", false, "{}"))
	fx.service.SetFaults(order.Faults{SilenceOpen: true})

	fx.assertFailure(fx.call("stock", false, "{}"), outcome.Unknown, outcome.ReasonTargetSilent)
	fx.assertDone(fx.call("stock", false, "{}"))
	runs := fx.service.Runs()
	fx.Assert(runs[2].Connection > runs[1].Connection, qt.IsTrue)

	fx.assertDone(fx.call("book", true, ""))
	fx.service.SetFaults(order.Faults{SilenceAfter: true, Times: 1})
	fx.assertFailure(fx.call("book-again", true, ""), outcome.Unknown, outcome.ReasonTargetSilent)
	fx.assertDone(fx.call("stock", false, "{}"))
	fx.assertRuns("book-again", 1)
}

// TestRedirect checks that a target's redirect is not followed, which would run the call a second
// time elsewhere.
func TestRedirect(t *testing.T) {
	c := qt.New(t)
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		http.Redirect(w, r, "/methods/other", http.StatusTemporaryRedirect)
	}))
	defer srv.Close()
	client, stop := New(WithMetrics(metrics.NewSet()), WithTransport(transport.WithIdlePerTarget(1)))
	defer stop()
	_, f := client.Call(context.Background(), Call{Address: srv.Listener.Addr().String(), Method: "book", AtMostOnce: true})
	c.Assert(f.Status, qt.Equals, outcome.Unknown)
	c.Assert(calls, qt.Equals, 1)
}
