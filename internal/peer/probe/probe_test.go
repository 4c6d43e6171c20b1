package probe_test

import (
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/peer/membership"
	"hickoryrock/internal/peer/probe"
	"hickoryrock/internal/peer/traffic"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/testing/ports"
)

const (
	testPeriod = 100 * time.Millisecond
	// detectionTimeout is much longer than failure detection takes at testPeriod.
	detectionTimeout = 10 * time.Second
)

type router struct {
	*probe.Node
	name string
	stop func()
	// metrics holds the node's counters.
	metrics *metrics.Set
	// blocked drops datagrams from other routers and the responses to them.
	blocked *atomic.Bool
}

func startFleet(c *qt.C, n int) []router {
	vms := make([]objects.VM, n)
	listen := make([]string, n)
	blocked := make([]*atomic.Bool, n)
	for i := range vms {
		listen[i] = ports.FreeAddress(c)
		var address string
		address, blocked[i] = startProxy(c, listen[i])
		vms[i] = objects.VM{Name: "router-" + strconv.Itoa(i), Role: "router", PeerAddress: address, FailureDomain: "a", State: objects.VMLive}
	}
	fleet := make([]router, n)
	for i, vm := range vms {
		self := membership.Member{Name: vm.Name, PeerAddress: vm.PeerAddress, FailureDomain: vm.FailureDomain}
		set := metrics.NewSet()
		node, stop, err := probe.New(self, probe.Listen(listen[i]), probe.Period(testPeriod), probe.Metrics(set))
		c.Assert(err, qt.IsNil)
		node.Seed(vms)
		node.Ready()
		fleet[i] = router{Node: node, name: vm.Name, stop: stop, metrics: set, blocked: blocked[i]}
	}
	return fleet
}

// startProxy forwards datagrams to an address, and responses back, unless the returned
// flag is set. It also returns the proxy's address.
func startProxy(c *qt.C, to string) (string, *atomic.Bool) {
	in, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = in.Close() })
	blocked := &atomic.Bool{}
	go func() {
		out := make(map[string]net.Conn)
		b := make([]byte, 2048)
		for {
			n, from, err := in.ReadFrom(b)
			if err != nil {
				return
			}
			if blocked.Load() {
				continue
			}
			if out[from.String()] == nil {
				back, err := net.Dial("udp", to)
				if err != nil {
					return
				}
				c.Cleanup(func() { _ = back.Close() })
				out[from.String()] = back
				go forwardResponses(in, back, from, blocked)
			}
			_, _ = out[from.String()].Write(b[:n])
		}
	}()
	return in.LocalAddr().String(), blocked
}

// forwardResponses forwards responses to the sender of the original datagrams.
func forwardResponses(in net.PacketConn, back net.Conn, to net.Addr, blocked *atomic.Bool) {
	b := make([]byte, 2048)
	for {
		n, err := back.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !blocked.Load() {
			_, _ = in.WriteTo(b[:n], to)
		}
	}
}

func assertEventually(c *qt.C, what string, holds func() bool) {
	c.Helper()
	for deadline := time.Now().Add(detectionTimeout); time.Now().Before(deadline); time.Sleep(testPeriod / 10) {
		if holds() {
			return
		}
	}
	c.Fatalf("condition not met within %v: %s", detectionTimeout, what)
}

func assertLive(c *qt.C, fleet []router, want int) {
	c.Helper()
	for _, r := range fleet {
		assertEventually(c, r.name+" sees "+strconv.Itoa(want)+" live routers", func() bool { return len(r.View().Live) == want })
	}
}

func TestNode(t *testing.T) {
	c := qt.New(t)

	c.Run("a stopped router is removed from the live view", func(c *qt.C) {
		fleet := startFleet(c, 4)
		for _, r := range fleet[1:] {
			defer r.stop()
		}
		assertLive(c, fleet, 4)
		fleet[0].stop()
		assertLive(c, fleet[1:], 3)
	})

	c.Run("a leaving router is removed from the live view", func(c *qt.C) {
		fleet := startFleet(c, 3)
		for _, r := range fleet {
			defer r.stop()
		}
		assertLive(c, fleet, 3)
		fleet[0].Leave()
		assertLive(c, fleet, 2)
	})

	c.Run("partitioned routers rediscover each other", func(c *qt.C) {
		fleet := startFleet(c, 3)
		for _, r := range fleet {
			defer r.stop()
		}
		assertLive(c, fleet, 3)
		for _, r := range fleet {
			r.blocked.Store(true)
		}
		assertLive(c, fleet, 1)
		for _, r := range fleet {
			r.blocked.Store(false)
		}
		assertLive(c, fleet, 3)
	})

	c.Run("totals spread and bytes are counted by purpose", func(c *qt.C) {
		fleet := startFleet(c, 3)
		for _, r := range fleet {
			defer r.stop()
			r.SetLoads([]membership.Load{{Service: "notes", Units: 5, Targets: 1}})
		}
		for _, r := range fleet {
			assertEventually(c, r.name+" has the total", func() bool {
				t := r.Totals()
				return len(t) == 1 && t[0].Units == 15 && t[0].Targets == 3
			})
			for _, p := range []traffic.Purpose{traffic.Membership, traffic.LoadSums} {
				counter := traffic.NewCounter(r.metrics, p)
				assertEventually(c, r.name+" counts "+string(p), func() bool {
					return counter.Sent.Get() > 0 && counter.Received.Get() > 0
				})
			}
		}
	})
}
