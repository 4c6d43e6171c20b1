package slotgrant

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/slots"
)

// proxy passes datagrams between one client and a coordinator.
type proxy struct {
	front, back *rawRouter
	coordinator netip.AddrPort
	client      atomic.Pointer[netip.AddrPort]
	// copies returns how many copies of a message are passed on.
	copies func(*peerv1.SlotMessage) int
}

func newProxy(c *qt.C, coordinator netip.AddrPort, copies func(*peerv1.SlotMessage) int) *proxy {
	p := &proxy{front: newRawRouter(c), back: newRawRouter(c), coordinator: coordinator, copies: copies}
	var loops sync.WaitGroup
	loops.Go(func() {
		p.pass(p.front.conn, p.back.conn, func(from netip.AddrPort) netip.AddrPort {
			p.client.Store(&from)
			return p.coordinator
		})
	})
	loops.Go(func() {
		p.pass(p.back.conn, p.front.conn, func(netip.AddrPort) netip.AddrPort { return *p.client.Load() })
	})
	c.Cleanup(func() {
		_, _ = p.front.conn.Close(), p.back.conn.Close()
		loops.Wait()
	})
	return p
}

func (p *proxy) pass(from, to *net.UDPConn, destination func(netip.AddrPort) netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := from.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		m, address := new(peerv1.SlotMessage), destination(sender)
		if proto.Unmarshal(buffer[:n], m) != nil {
			return
		}
		for range p.copies(m) {
			_, _ = to.WriteToUDPAddrPort(buffer[:n], address)
		}
	}
}

// A waiting request whose grant is lost would wait until it gives up, and the slot would be
// taken meanwhile.
func TestLostGrantIsRepeated(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	coordinator, _ := f.start(c, "127.0.0.1:0")
	client, _ := f.start(c, "127.0.0.1:0")
	var grants atomic.Int64
	p := newProxy(c, coordinator.Address(), func(m *peerv1.SlotMessage) int {
		if m.GetReply().GetTarget() != 0 && grants.Add(1) == 2 {
			return 0
		}
		return 1
	})
	f.setMembers(member(p.front.address()))
	first := mustAcquire(c, client, f.newRequest())
	second, _ := acquire(context.Background(), client, f.newRequest())
	waitUntil(c, "request not received", func() bool { return assigned(coordinator) == 2 })
	client.Release(first, slots.Result{Succeeded: true})
	receive(c, second)
	c.Assert(grants.Load() >= 3, qt.IsTrue)
	c.Assert(assigned(coordinator), qt.Equals, 1)
}

// A slot whose release is lost would remain taken for ever.
func TestLostReleaseEndsWithLease(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	coordinator, _ := f.start(c, "127.0.0.1:0")
	client, _ := f.start(c, "127.0.0.1:0")
	p := newProxy(c, coordinator.Address(), func(m *peerv1.SlotMessage) int {
		if m.GetRelease() != nil {
			return 0
		}
		return 1
	})
	f.setMembers(member(p.front.address()))
	first := mustAcquire(c, client, f.newRequest())
	client.Release(first, slots.Result{Succeeded: true})
	r := f.newRequest()
	r.Deadline = r.Deadline.Add(testTimeout)
	second, _ := acquire(context.Background(), client, r)
	waitUntil(c, "request not received", func() bool { return assigned(coordinator) == 2 })
	f.advance(testTimeout + time.Second)
	receive(c, second)
	waitUntil(c, "lease not forgotten", func() bool { return assigned(coordinator) == 1 })
}

// Calls would lose their grants, or slots be lost, if the network repeats or loses datagrams.
func TestRepeatedAndLostDatagrams(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.targets[0].Slots, f.targets[0].Window = 3, 3
	coordinator, _ := f.start(c, "127.0.0.1:0")
	client, _ := f.start(c, "127.0.0.1:0", WithTimeouts(answerTimeout, 5*time.Millisecond, ackTimeout))
	var passed atomic.Uint64
	p := newProxy(c, coordinator.Address(), func(m *peerv1.SlotMessage) int {
		isEnd := m.GetRelease() != nil || m.GetRequest().GetCancel()
		// Releases are not lost, since the leases last longer than the test.
		if n := passed.Add(1); n%7 == 0 && !isEnd {
			return 0
		}
		return 2
	})
	f.setMembers(member(p.front.address()))
	var calls sync.WaitGroup
	var granted, running, most atomic.Int64
	for range 8 {
		calls.Go(func() {
			for range 25 {
				grant, err := client.Acquire(context.Background(), f.newRequest())
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				granted.Add(1)
				n := running.Add(1)
				for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
				}
				time.Sleep(time.Millisecond)
				running.Add(-1)
				client.Release(grant, slots.Result{Succeeded: true})
			}
		})
	}
	calls.Wait()
	c.Assert(granted.Load() > 0, qt.IsTrue)
	c.Assert(most.Load() <= 3, qt.IsTrue, qt.Commentf("%d", most.Load()))
	c.Assert(open(client), qt.Equals, 0)
	waitUntil(c, "slots lost", func() bool { return assigned(coordinator) == 0 })
}

// A repeated request that had a second grant would take two slots, and one that arrives after
// the end of its grant would take a slot that nobody releases.
func TestRepeatedRequestHasOneGrant(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.targets[0].Slots, f.targets[0].Window = 2, 2
	coordinator, _ := f.start(c, "127.0.0.1:0")
	r := newRawRouter(c)
	for range 3 {
		r.send(coordinator.Address(), newWireRequest(1))
		c.Assert(r.receive().GetReply().GetTarget(), qt.Equals, uint64(targetA))
	}
	c.Assert(assigned(coordinator), qt.Equals, 1)
	r.send(coordinator.Address(), newWireRequest(2))
	c.Assert(r.receive().GetReply().GetTarget(), qt.Equals, uint64(targetA))
	for range 2 {
		r.send(coordinator.Address(), newWireRequest(3))
		c.Assert(r.receive().GetReply().GetWaiting(), qt.IsTrue)
	}
	for range 2 {
		r.send(coordinator.Address(), newReleaseMessage(slots.Key{Process: 1, Serial: 1}, service, slots.Result{}))
	}
	reply := r.receive().GetReply()
	c.Assert(reply.GetSerial(), qt.Equals, uint64(3))
	c.Assert(reply.GetTarget(), qt.Equals, uint64(targetA))
	// The slot of the fourth request is still taken by the third, although the release came twice.
	r.send(coordinator.Address(), newWireRequest(4))
	c.Assert(r.receive().GetReply().GetWaiting(), qt.IsTrue)
	r.send(coordinator.Address(), newWireRequest(1))
	c.Assert(r.receive().GetReply().GetTarget(), qt.Equals, uint64(0))
	c.Assert(assigned(coordinator), qt.Equals, 3)
}

// A request that arrives after its cancellation would take a slot that nobody releases.
func TestRequestAfterItsCancellation(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	coordinator, _ := f.start(c, "127.0.0.1:0")
	r := newRawRouter(c)
	r.send(coordinator.Address(), newWireRequest(1))
	c.Assert(r.receive().GetReply().GetTarget(), qt.Equals, uint64(targetA))
	r.send(coordinator.Address(), newCancelMessage(slots.Key{Process: 1, Serial: 2}, service))
	r.send(coordinator.Address(), newCancelMessage(slots.Key{Process: 1, Serial: 1}, ""))
	r.send(coordinator.Address(), newWireRequest(2))
	c.Assert(r.receive().GetReply().GetTarget(), qt.Equals, uint64(0))
	c.Assert(assigned(coordinator), qt.Equals, 0)
}

// A router that asks again from another address would wait for a grant that is sent to its old
// one.
func TestReplyGoesToLatestAddress(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	coordinator, _ := f.start(c, "127.0.0.1:0")
	old, latest := newRawRouter(c), newRawRouter(c)
	old.send(coordinator.Address(), newWireRequest(1))
	c.Assert(old.receive().GetReply().GetTarget(), qt.Equals, uint64(targetA))
	for _, r := range []*rawRouter{old, latest} {
		r.send(coordinator.Address(), newWireRequest(2))
		c.Assert(r.receive().GetReply().GetWaiting(), qt.IsTrue)
	}
	old.send(coordinator.Address(), newReleaseMessage(slots.Key{Process: 1, Serial: 1}, service, slots.Result{}))
	c.Assert(latest.receive().GetReply().GetTarget(), qt.Equals, uint64(targetA))
}
