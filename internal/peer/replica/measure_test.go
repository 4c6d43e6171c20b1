package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/platform/objects"
)

var measure = flag.Bool("measure", false, "measure the cost of changes by fleet size")

// changeInterval is the interval between changes at the required rate of 15,000 a
// day.
const changeInterval = 24 * time.Hour / 15_000

// TestMeasureChange logs the cost of changes by fleet size. Run it with -v and -args
// -measure. Message bodies are counted at both ends of each call.
func TestMeasureChange(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, n := range []int{8, 32, 128, 330} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			measureChanges(t, n, func(name string) objects.Object {
				return objects.Object{Key: objects.Key{Kind: resource.KindService, Name: name}, Data: serviceData(name, true)}
			})
		})
	}
	t.Run("330 with 300 targets per change", func(t *testing.T) { measureChanges(t, 330, modelDeployment) })
}

// modelDeployment returns a deployment of 300 targets: the required 5,400 servers,
// split over 3 models and 6 failure domains.
func modelDeployment(name string) objects.Object {
	d := resource.ModelDeployment{Name: name, Service: "care-reports", Model: "care", Version: "v1"}
	for i := range 300 {
		d.Targets = append(d.Targets, resource.Target{Name: fmt.Sprintf("engine-%d", i),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", rand.IntN(4), rand.IntN(250), i%250+1), FailureDomain: "region-1-domain-2"})
	}
	data, _ := resource.Encode(&d)
	return objects.Object{Key: d.Key(), Data: data}
}

// measureChanges logs the cost of changes for a fleet of n routers in six failure
// domains.
func measureChanges(t *testing.T, n int, next func(name string) objects.Object) {
	withFleet(t, n, 6, func(f *fleet) {
		time.Sleep(20 * time.Second)
		idleBytes, idleCalls, idlePlatform := f.measureRates(time.Minute, func() { time.Sleep(time.Minute) })
		const changes = 20
		var waits []time.Duration
		elapsed := changes * changeInterval
		changeBytes, changeCalls, changePlatform := f.measureRates(elapsed, func() {
			for i := range changes {
				start := time.Now()
				waits = append(waits, f.waitInForce(f.create(next(fmt.Sprintf("s%d", i)))))
				time.Sleep(changeInterval - time.Since(start))
			}
		})
		slices.Sort(waits)
		t.Logf("n=%d idle: mean %.0f B/s %.2f calls/s, max %.0f B/s %.2f calls/s per node, platform %.1f calls/s",
			n, idleBytes.mean, idleCalls.mean, idleBytes.highest, idleCalls.highest, idlePlatform)
		t.Logf("n=%d with changes: mean %.0f B/s %.2f calls/s, max %.0f B/s %.2f calls/s per node, platform %.1f calls/s",
			n, changeBytes.mean, changeCalls.mean, changeBytes.highest, changeCalls.highest, changePlatform)
		t.Logf("n=%d per change: %.0f B and %.2f calls per node above idle; in force after %v median, %v max",
			n, (changeBytes.mean-idleBytes.mean)*changeInterval.Seconds(), (changeCalls.mean-idleCalls.mean)*changeInterval.Seconds(),
			waits[len(waits)/2], waits[len(waits)-1])
	})
}

// TestMeasureCall logs the cost of one acknowledgement on an established connection,
// measured at the client and including HTTP/2 headers.
func TestMeasureCall(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	withLoopback(qt.New(t), func(c *qt.C, _ *Replica, transport *ConnectTransport, to Peer) {
		const calls = 1000
		m := &peerv1.AcknowledgeRequest{Sender: "r1", CompleteVersion: 1, Acknowledgements: []*peerv1.Acknowledgement{
			{Router: "r1", Version: 1 << 30, Incarnation: 1 << 60, FailureDomain: "jylland-1"}}}
		var body int
		var before uint64
		for i := range calls + 1 {
			resp, err := transport.Acknowledge(c.Context(), to, m)
			c.Assert(err, qt.IsNil)
			body = proto.Size(m) + proto.Size(resp)
			if i == 0 {
				before = controlBytes.Get()
			}
		}
		// The server runs in this process, so the message bodies are counted twice.
		wire := float64(controlBytes.Get()-before)/calls - float64(body)
		t.Logf("an acknowledgement: %d B of bodies, %.0f B on the wire", body, wire)
	})
}

// rate is the mean and the highest rate per second among the nodes.
type rate struct{ mean, highest float64 }

// measureRates returns the nodes' bytes and calls per second and the platform's calls
// per second while during runs.
func (f *fleet) measureRates(elapsed time.Duration, during func()) (bytes, calls rate, platform float64) {
	f.network.mu.Lock()
	clear(f.network.traffic)
	f.network.mu.Unlock()
	before := f.platformCalls.Load()
	during()
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for _, t := range f.network.traffic {
		b, c := float64(t.bytes)/elapsed.Seconds(), float64(t.calls)/elapsed.Seconds()
		bytes = rate{mean: bytes.mean + b/float64(len(f.nodes)), highest: max(bytes.highest, b)}
		calls = rate{mean: calls.mean + c/float64(len(f.nodes)), highest: max(calls.highest, c)}
	}
	return bytes, calls, float64(f.platformCalls.Load()-before) / elapsed.Seconds()
}
