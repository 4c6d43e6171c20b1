package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/peer/permit"
	"hickoryrock/internal/peer/traffic"
	"hickoryrock/internal/peer/transport"
	standin "hickoryrock/internal/standin/engine"
	"hickoryrock/internal/target/engine"
)

const (
	// idleTime is how long the traffic of idle connections is measured.
	idleTime       = 5 * time.Second
	measureCalls   = 100
	costIterations = 2000
)

type (
	// grantAll is a permit.Table that grants every request.
	grantAll struct{}

	// loopback is a permit client and owners that it reaches over the loopback interface.
	// The counter counts the client's bytes.
	loopback struct {
		client    *permit.Client
		counter   traffic.Counter
		addresses []string
	}
)

// Acquire implements permit.Table.
func (grantAll) Acquire(permit.Request) permit.Verdict { return permit.Granted }

// Release implements permit.Table.
func (grantAll) Release(permit.Release) {}

// Announce implements permit.Table.
func (grantAll) Announce(permit.Announcement) {}

var request = permit.Request{Service: "model-0", Target: targetName(0), PermitID: "x", Weight: 1}

func newLoopback(t *testing.T, owners int) *loopback {
	lb := &loopback{counter: traffic.NewCounter(metrics.NewSet(), traffic.Permits)}
	for range owners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		mux := http.NewServeMux()
		mux.Handle(permit.NewHandler(grantAll{}))
		stop := transport.Serve(l, mux, transport.Counter(traffic.NewCounter(metrics.NewSet(), traffic.Permits)))
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = stop(ctx)
		})
		lb.addresses = append(lb.addresses, l.Addr().String())
	}
	h, closeHTTP := transport.NewClient(transport.Counter(lb.counter))
	client, stop := permit.NewClient(routerName(0), permit.Metrics(metrics.NewSet()), permit.HTTPClient(h))
	t.Cleanup(func() { stop(); closeHTTP() })
	lb.client = client
	return lb
}

func (lb *loopback) bytes() (sent, received float64) {
	return float64(lb.counter.Sent.Get()), float64(lb.counter.Received.Get())
}

// acquireAndRelease acquires a number of permits from one owner and releases them
// together.
func (lb *loopback) acquireAndRelease(address string, permits int) {
	for i := range permits {
		id := strconv.Itoa(1000 + i)
		lb.client.Acquire(context.Background(), address, permit.Request{Service: "model-0", Target: targetName(0), PermitID: id, Weight: 1})
		lb.client.Release(address, targetName(0), id)
	}
	for lb.client.Pending() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestMeasurePermit(t *testing.T) {
	skipUnlessMeasuring(t)
	lb := newLoopback(t, 1)
	lb.acquireAndRelease(lb.addresses[0], 1)
	sent := series{name: "one permit and its release, released together", xUnit: "permits in a batch", yUnit: "B sent"}
	received := series{name: "one permit and its release, released together", xUnit: "permits in a batch", yUnit: "B received"}
	for _, batch := range []int{1, 4, 16} {
		s, r := lb.bytes()
		rounds := max(4, measureCalls/batch/4)
		for range rounds {
			lb.acquireAndRelease(lb.addresses[0], batch)
		}
		sentNow, receivedNow := lb.bytes()
		n := float64(rounds * batch)
		sent.add(float64(batch), (sentNow-s)/n)
		received.add(float64(batch), (receivedNow-r)/n)
	}
	sent.report(t)
	received.report(t)
	announced := series{name: "one announcement", xUnit: "permits held on the target", yUnit: "B sent and received"}
	for _, held := range []int{1, 4, 16} {
		announced.add(float64(held), lb.announceBytes(t, held))
	}
	announced.report(t)
	elapsed, cpu := costOf(func() { lb.client.Acquire(context.Background(), lb.addresses[0], request) })
	t.Logf("one acquire takes %.0f us, and %.0f us of CPU time at both ends together", elapsed, cpu)
}

// announceBytes returns the bytes sent and received for one announcement of held
// permits.
func (lb *loopback) announceBytes(t *testing.T, held int) float64 {
	a := permit.Announcement{Service: request.Service, Target: request.Target}
	for i := range held {
		a.Permits = append(a.Permits, permit.HeldPermit{ID: strconv.Itoa(1000 + i), Weight: 1})
	}
	sent, received := lb.bytes()
	for range measureCalls {
		qt.Assert(t, lb.client.Announce(context.Background(), lb.addresses[0], a), qt.IsNil)
	}
	sentNow, receivedNow := lb.bytes()
	return (sentNow + receivedNow - sent - received) / measureCalls
}

// costOf returns the elapsed time and the CPU time of one call in microseconds.
func costOf(f func()) (elapsed, cpu float64) {
	f()
	var before, after syscall.Rusage
	start := time.Now()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for range costIterations {
		f()
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	elapsed = float64(time.Since(start).Microseconds()) / costIterations
	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	return elapsed, float64(spent) / float64(time.Microsecond) / costIterations
}

// TestMeasureLoad measures one load report of an engine on an established
// connection.
func TestMeasureLoad(t *testing.T) {
	skipUnlessMeasuring(t)
	e, stopEngine := standin.New(standin.WithModels("model-0"))
	defer stopEngine()
	counter := traffic.NewCounter(metrics.NewSet(), traffic.LoadSums)
	server := httptest.NewUnstartedServer(e.Handler())
	server.Listener = counter.Listener(server.Listener)
	server.Start()
	defer server.Close()
	client, stop := engine.New()
	defer stop()
	address := server.Listener.Addr().String()
	elapsed, cpu := costOf(func() {
		_, failure := client.Load(context.Background(), address)
		qt.Assert(t, failure == nil, qt.IsTrue)
	})
	t.Logf("one load report: %.0f B sent, %.0f B received, %.0f us, %.0f us of CPU time including the engine's",
		float64(counter.Received.Get())/(costIterations+1), float64(counter.Sent.Get())/(costIterations+1), elapsed, cpu)
}

func TestMeasureConnections(t *testing.T) {
	skipUnlessMeasuring(t)
	opened := series{name: "first permit of a connection and its release", xUnit: "owners", yUnit: "B sent and received"}
	idle := series{name: "idle connections, pings included", xUnit: "owners", yUnit: "B/s sent and received by the client"}
	memory := series{name: "connections, both ends", xUnit: "owners", yUnit: "B of heap and stacks"}
	for _, owners := range []int{8, 64, 128} {
		t.Run(fmt.Sprint(owners), func(t *testing.T) {
			lb := newLoopback(t, owners)
			inUse := heapAndStacks()
			for _, a := range lb.addresses {
				lb.client.Acquire(context.Background(), a, request)
				lb.client.Release(a, request.Target, request.PermitID)
			}
			for lb.client.Pending() > 0 {
				time.Sleep(time.Millisecond)
			}
			memory.add(float64(owners), heapAndStacks()-inUse)
			sent, received := lb.bytes()
			opened.add(float64(owners), sent+received)
			time.Sleep(idleTime)
			sentNow, receivedNow := lb.bytes()
			idle.add(float64(owners), (sentNow+receivedNow-sent-received)/idleTime.Seconds())
		})
	}
	opened.report(t)
	idle.report(t)
	memory.report(t)
}
