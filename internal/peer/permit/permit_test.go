package permit_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/peer/permit"
	"hickoryrock/internal/peer/traffic"
	"hickoryrock/internal/peer/transport"
	"hickoryrock/internal/testing/ports"
)

const (
	testPingTimeout   = 200 * time.Millisecond
	eventuallyTimeout = 10 * time.Second
)

// fakeTable returns the same verdict for every request and counts releases.
type fakeTable struct {
	mu        sync.Mutex
	verdict   permit.Verdict
	gate      chan struct{}
	held      map[string]bool
	releases  int
	announced []permit.HeldPermit
}

func (t *fakeTable) Acquire(r permit.Request) permit.Verdict {
	if t.gate != nil {
		<-t.gate
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.verdict == permit.Granted {
		t.held[r.PermitID] = true
	}
	return t.verdict
}

func (t *fakeTable) Release(r permit.Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range r.PermitIDs {
		delete(t.held, p)
		t.releases++
	}
}

func (t *fakeTable) Announce(a permit.Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced = a.Permits
}

func (t *fakeTable) count() (held, releases int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held), t.releases
}

// serve serves a table behind a middleware and returns its address.
func serve(c testing.TB, table permit.Table, wrap func(http.Handler) http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c, err, qt.IsNil)
	mux := http.NewServeMux()
	mux.Handle(permit.NewHandler(table))
	stop := transport.Serve(listener, wrap(mux))
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = stop(ctx)
	})
	return listener.Addr().String()
}

func noMiddleware(h http.Handler) http.Handler { return h }

func newTable() *fakeTable {
	return &fakeTable{verdict: permit.Granted, held: make(map[string]bool)}
}

func newClient(c testing.TB, counter traffic.Counter) *permit.Client {
	h, closeHTTP := transport.NewClient(transport.SendPingTimeout(testPingTimeout), transport.PingTimeout(testPingTimeout), transport.Counter(counter))
	client, stop := permit.NewClient("router-a", permit.HTTPClient(h), permit.Metrics(metrics.NewSet()),
		permit.BatchInterval(10*time.Millisecond))
	c.Cleanup(func() { stop(); closeHTTP() })
	return client
}

func testCounter() traffic.Counter { return traffic.NewCounter(metrics.NewSet(), traffic.Permits) }

func acquire(client *permit.Client, address, id string) permit.Verdict {
	return client.Acquire(context.Background(), address, permit.Request{Service: "notes", Target: "engine-1", PermitID: id, Weight: 3})
}

func assertEventually(c *qt.C, what string, holds func() bool) {
	c.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.Fatalf("condition not met within %v: %s", eventuallyTimeout, what)
}

func TestPermit(t *testing.T) {
	c := qt.New(t)

	c.Run("an owner's verdict reaches the holder", func(c *qt.C) {
		table := newTable()
		counter := testCounter()
		address, client := serve(c, table, noMiddleware), newClient(c, counter)
		for _, v := range []permit.Verdict{permit.Granted, permit.Full, permit.Leaving, permit.NotOwner, permit.UnknownTarget} {
			table.verdict = v
			c.Assert(acquire(client, address, "p"), qt.Equals, v)
		}
		c.Assert(counter.Sent.Get() > 0 && counter.Received.Get() > 0, qt.IsTrue)
	})

	c.Run("an owner that cannot be reached grants nothing", func(c *qt.C) {
		c.Assert(acquire(newClient(c, testCounter()), ports.FreeAddress(c), "p"), qt.Equals, permit.Unreachable)
	})

	c.Run("a permit granted after its release is released again", func(c *qt.C) {
		table := newTable()
		table.gate = make(chan struct{})
		address, client := serve(c, table, noMiddleware), newClient(c, testCounter())
		c.Assert(acquire(client, address, "p"), qt.Equals, permit.Unreachable)
		assertEventually(c, "the release arrived", func() bool { return client.Pending() == 0 })
		_, before := table.count()
		c.Assert(before, qt.Equals, 1)
		close(table.gate)
		assertEventually(c, "the permit is released", func() bool {
			held, releases := table.count()
			return held == 0 && releases == 2
		})
		c.Assert(acquire(client, address, "p"), qt.Equals, permit.Unreachable)
	})

	c.Run("a release whose response is lost is retried", func(c *qt.C) {
		table := newTable()
		var calls atomic.Int32
		lossy := func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) > 3 {
					h.ServeHTTP(w, r)
					return
				}
				h.ServeHTTP(discardWriter{w}, r)
				panic(http.ErrAbortHandler)
			})
		}
		address, client := serve(c, table, lossy), newClient(c, testCounter())
		client.Release(address, "engine-1", "p")
		assertEventually(c, "the owner confirmed the release", func() bool { return client.Pending() == 0 && calls.Load() > 3 })
		_, releases := table.count()
		c.Assert(releases >= 4, qt.IsTrue)
	})

	c.Run("permits are announced", func(c *qt.C) {
		table := newTable()
		address, client := serve(c, table, noMiddleware), newClient(c, testCounter())
		held := []permit.HeldPermit{{ID: "p", Weight: 3}, {ID: "q", Weight: 1}}
		c.Assert(client.Announce(context.Background(), address, permit.Announcement{Target: "engine-1", Permits: held}), qt.IsNil)
		c.Assert(table.announced, qt.DeepEquals, held)
	})

	c.Run("a stalled connection is replaced", func(c *qt.C) {
		proxy := startProxy(c, serve(c, newTable(), noMiddleware))
		client := newClient(c, testCounter())
		c.Assert(acquire(client, proxy.address, "p"), qt.Equals, permit.Granted)
		proxy.stall()
		c.Assert(acquire(client, proxy.address, "q"), qt.Equals, permit.Unreachable)
		assertEventually(c, "a new connection works", func() bool {
			return acquire(client, proxy.address, "r") == permit.Granted
		})
		c.Assert(proxy.accepted.Load() > 1, qt.IsTrue)
	})
}

// discardWriter discards the response.
type discardWriter struct{ http.ResponseWriter }

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

// stallingProxy forwards TCP connections. After stall, the connections open at that
// time stay open but forward no more data.
type stallingProxy struct {
	address  string
	accepted atomic.Int32
	// stalled is the number of connections, oldest first, that no longer forward
	// data.
	stalled atomic.Int32
}

func startProxy(c *qt.C, to string) *stallingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	p := &stallingProxy{address: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			n := p.accepted.Add(1)
			go p.forward(n, in, out)
			go p.forward(n, out, in)
		}
	}()
	return p
}

func (p *stallingProxy) stall() { p.stalled.Store(p.accepted.Load()) }

func (p *stallingProxy) forward(n int32, to io.WriteCloser, from io.Reader) {
	defer to.Close()
	b := make([]byte, 4096)
	for {
		size, err := from.Read(b)
		if err != nil {
			return
		}
		if n <= p.stalled.Load() {
			continue
		}
		if _, err := to.Write(b[:size]); err != nil {
			return
		}
	}
}

// BenchmarkPermit measures the bytes above TCP to acquire and release one permit.
// Each release is sent on its own, as at the current call rates.
func BenchmarkPermit(b *testing.B) {
	counter := testCounter()
	address, client := serve(b, newTable(), noMiddleware), newClient(b, counter)
	acquire(client, address, "warm-up")
	for b.Loop() {
		acquire(client, address, "router-a-0123456789")
		client.Release(address, "engine-1", "router-a-0123456789")
		for client.Pending() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	b.ReportMetric(float64(counter.Sent.Get())/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(counter.Received.Get())/float64(b.N), "received-B/op")
}
