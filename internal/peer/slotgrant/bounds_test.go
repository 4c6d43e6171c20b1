package slotgrant

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/slots"
)

// newTestCoordinator returns a coordinator without a network, and its replies.
func newTestCoordinator(c *qt.C, targets func(string) []slots.Target) (*coordinator, *[]slots.Reply) {
	replies := new([]slots.Reply)
	k := newCoordinator(targets, func(_ netip.AddrPort, r slots.Reply) { *replies = append(*replies, r) }, newOptions([]Option{
		// The ticks of the timer find nothing to do.
		WithClock(func() time.Time { return time.Time{} }),
	}))
	c.Cleanup(k.stop)
	return k, replies
}

func oneTarget(string) []slots.Target {
	return []slots.Target{{Hash: targetA, Slots: 1, Window: 1, IsEligible: true}}
}

func newRequest(serial uint64, now time.Time) slots.Request {
	return slots.Request{Key: slots.Key{Process: 1, Serial: serial}, Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}
}

// Malformed datagrams would end the process, or be taken for messages.
func TestMalformedDatagramsAreDropped(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	coordinator, _ := f.start(c, "127.0.0.1:0")
	r := newRawRouter(c)
	request := newWireRequest(1)
	request.GetRequest().Excluded = make([]uint64, maxExcluded+1)
	long := newWireRequest(1)
	long.GetRequest().Service = strings.Repeat("x", maxServiceBytes+1)
	before := droppedMalformed.Get()
	var sent uint64
	for _, m := range []*peerv1.SlotMessage{
		{},
		{Body: &peerv1.SlotMessage_Request{Request: &peerv1.SlotRequest{Service: service}}},
		{Body: &peerv1.SlotMessage_Request{Request: &peerv1.SlotRequest{Serial: 1}}},
		{Body: &peerv1.SlotMessage_Reply{Reply: &peerv1.SlotReply{Serial: 1}}},
		{Body: &peerv1.SlotMessage_Reply{Reply: &peerv1.SlotReply{Target: 1}}},
		{Body: &peerv1.SlotMessage_Reply{Reply: &peerv1.SlotReply{Serial: 1, Target: 1, Refused: true}}},
		{Body: &peerv1.SlotMessage_Reply{Reply: &peerv1.SlotReply{Serial: 1, Waiting: true, Refused: true}}},
		{Body: &peerv1.SlotMessage_Release{Release: &peerv1.SlotRelease{}}},
		request, long,
	} {
		r.send(coordinator.Address(), m)
		sent++
	}
	for _, data := range [][]byte{{0xff}, []byte("GET / HTTP/1.1\r\n"), make([]byte, maxDatagramBytes+1), make([]byte, 8000)} {
		r.sendBytes(coordinator.Address(), data)
		sent++
	}
	// A message that is followed by more unknown fields than fit into a datagram.
	large, err := proto.Marshal(newWireRequest(2))
	c.Assert(err, qt.IsNil)
	if len(large)%2 == 1 { // Else its first maxDatagramBytes bytes were malformed too.
		large = append(large, 15<<3, 0x80, 0)
	}
	r.sendBytes(coordinator.Address(), append(large, bytes.Repeat([]byte{15 << 3, 0}, maxDatagramBytes/2)...))
	sent++
	r.send(coordinator.Address(), newWireRequest(1))
	c.Assert(r.receive().GetReply().GetTarget(), qt.Equals, uint64(targetA))
	// No other test of the package runs at the same time.
	c.Assert(droppedMalformed.Get()-before, qt.Equals, sent)
}

// Figures of a peer that are out of range would hold leases for weeks or overflow.
func TestDecodedFiguresAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	decoded := func(m *peerv1.SlotMessage) message {
		data, err := proto.Marshal(m)
		c.Assert(err, qt.IsNil)
		out, err := decode(data, now)
		c.Assert(err, qt.IsNil)
		return out
	}
	const most = 1<<32 - 1
	request := decoded(&peerv1.SlotMessage{Body: &peerv1.SlotMessage_Request{Request: &peerv1.SlotRequest{
		Serial: 1, Service: service, Priority: most, ObjectiveMs: most, DeadlineMs: most,
	}}})
	c.Assert(request.request.Priority, qt.Equals, maxPriority)
	c.Assert(request.request.Deadline.Sub(now), qt.Equals, maxLease)
	c.Assert(request.request.Objective.Sub(now), qt.Equals, maxLease)
	release := decoded(&peerv1.SlotMessage{Body: &peerv1.SlotMessage_Release{Release: &peerv1.SlotRelease{
		Serial: 1, TookUs: 1<<64 - 1, Running: most, Queued: most,
	}}})
	c.Assert(release.result, qt.DeepEquals, slots.Result{Took: maxLease, Running: maxLoad, Queued: maxLoad})
	reply := decoded(&peerv1.SlotMessage{Body: &peerv1.SlotMessage_Reply{Reply: &peerv1.SlotReply{Serial: 1, Refused: true, RetryAfterMs: most}}})
	c.Assert(reply.reply.RetryAfter, qt.Equals, maxRetryAfter)
}

// What a router states must arrive as it was meant.
func TestRequestIsEncodedWithItsFigures(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	sent := slots.Request{
		Key: slots.Key{Process: 1 << 63, Serial: 5}, Workspace: 1 << 62, Priority: 3,
		Objective: now.Add(1499 * time.Microsecond), Deadline: now.Add(time.Second), Excluded: []uint64{1, 1 << 63},
	}
	data, err := proto.Marshal(newRequestMessage(service, sent, now))
	c.Assert(err, qt.IsNil)
	got, err := decode(data, now)
	c.Assert(err, qt.IsNil)
	sent.Objective = now.Add(2 * time.Millisecond) // Rounded up.
	c.Assert(got.request, qt.DeepEquals, sent)
	c.Assert(got.kind, qt.Equals, kindRequest)
	c.Assert(got.service, qt.Equals, service)
	c.Assert(millisecondsUntil(now.Add(-time.Hour), now), qt.Equals, uint32(0))

	// The largest request that is allowed fits into a datagram.
	sent.Excluded = slices.Repeat([]uint64{1 << 63}, maxExcluded)
	data, err = proto.Marshal(newRequestMessage(strings.Repeat("x", maxServiceBytes), sent, now))
	c.Assert(err, qt.IsNil)
	c.Assert(len(data) <= maxDatagramBytes, qt.IsTrue)
}

// A flood of service names or requests would take the router's memory.
func TestFloodIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	k, replies := newTestCoordinator(c, oneTarget)
	for i := range 1000 {
		k.request(fmt.Sprintf("s%d", i), newRequest(uint64(i+1), now), netip.AddrPort{}, now)
	}
	c.Assert(len(k.pools), qt.Equals, maxPools)
	c.Assert(len(k.assignments), qt.Equals, maxPools)
	for i := range 2 * maxAssignments {
		r := newRequest(uint64(i+1), now)
		r.Process = 2
		k.request("s0", r, netip.AddrPort{}, now)
	}
	c.Assert(len(k.assignments) < maxPools+300, qt.IsTrue, qt.Commentf("%d", len(k.assignments)))
	c.Assert(len(*replies) >= 2*maxAssignments, qt.IsTrue)

	// After their deadlines nothing is left but the pools, and those are dropped when idle.
	k.tick(now.Add(2 * time.Second))
	c.Assert(len(k.assignments), qt.Equals, 0)
	c.Assert(len(k.pools), qt.Equals, maxPools)
	k.tick(now.Add(idlePoolTime - time.Millisecond))
	c.Assert(len(k.pools), qt.Equals, maxPools)
	k.tick(now.Add(idlePoolTime))
	c.Assert(len(k.pools), qt.Equals, 0)
}

// Services with many slots would take more memory together than one of them may.
func TestAssignmentsOfAllServicesAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	k, _ := newTestCoordinator(c, func(string) []slots.Target {
		return []slots.Target{{Hash: targetA, Slots: 2 * maxAssignments, IsEligible: true}}
	})
	for i := range 2 * maxAssignments {
		k.request(fmt.Sprintf("s%d", i%8), newRequest(uint64(i+1), now), netip.AddrPort{}, now)
	}
	c.Assert(len(k.assignments), qt.Equals, maxAssignments)
	c.Assert(k.request("s1", newRequest(2, now), netip.AddrPort{}, now), qt.IsTrue) // A repeated one.
	c.Assert(len(k.assignments), qt.Equals, maxAssignments)
}

// A service that nobody offers must take no memory.
func TestUnknownServicesTakeNoMemory(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	k, replies := newTestCoordinator(c, func(string) []slots.Target { return nil })
	for i := range 1000 {
		c.Assert(k.request(fmt.Sprintf("s%d", i), newRequest(uint64(i+1), now), netip.AddrPort{}, now), qt.IsFalse)
		k.cancel(slots.Key{Process: 3, Serial: uint64(i)}, fmt.Sprintf("s%d", i), now)
	}
	c.Assert(len(k.pools)+len(k.assignments)+len(*replies), qt.Equals, 0)
}

// The list of targets is costly to make for each request, and a waiting request must learn of
// a target that becomes eligible although no other request arrives.
func TestTargetsAreRefreshed(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	lists := 0
	targets := oneTarget(service)
	k, replies := newTestCoordinator(c, func(string) []slots.Target {
		lists++
		return targets
	})
	for i := range 3 {
		k.request(service, newRequest(uint64(i+1), now), netip.AddrPort{}, now.Add(refreshInterval-1))
	}
	c.Assert(lists, qt.Equals, 1)
	c.Assert((*replies)[0].Kind, qt.Equals, slots.Granted)
	c.Assert((*replies)[1].Kind, qt.Equals, slots.Waiting)
	targets = append(targets, slots.Target{Hash: targetA + 1, Slots: 1, Window: 1, IsEligible: true})
	k.tick(now.Add(refreshInterval - 1))
	c.Assert(lists, qt.Equals, 1)
	k.tick(now.Add(2 * refreshInterval))
	c.Assert(lists, qt.Equals, 2)
	last := (*replies)[len(*replies)-1]
	c.Assert(last.Kind, qt.Equals, slots.Granted)
	c.Assert(last.Target, qt.Equals, uint64(targetA+1))
}

// A coordinator whose list of targets has become empty would refuse the calls of routers that
// have a better one.
func TestNoReplyWithoutTargets(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	targets := oneTarget(service)
	k, replies := newTestCoordinator(c, func(string) []slots.Target { return targets })
	c.Assert(k.request(service, newRequest(1, now), netip.AddrPort{}, now), qt.IsTrue)
	targets = nil
	c.Assert(k.request(service, newRequest(2, now), netip.AddrPort{}, now.Add(refreshInterval)), qt.IsFalse)
	c.Assert(*replies, qt.HasLen, 1)
}

// A request of this router is not repeated, so that it would wait for a lease that has ended
// until another request arrives.
func TestOwnRequestIsGrantedWhenLeaseEnds(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	client, _ := f.start(c, "127.0.0.1:0")
	f.setMembers(self(client.Address()))
	mustAcquire(c, client, f.newRequest())
	r := f.newRequest()
	r.Deadline = r.Deadline.Add(testTimeout)
	grants, _ := acquire(context.Background(), client, r)
	waitUntil(c, "request not received", func() bool { return assigned(client) == 2 })
	time.Sleep(3 * tickInterval) // The timer has expired before.
	f.advance(testTimeout + time.Second)
	receive(c, grants)
}

// A request that the pool refuses while it waits would be repeated until its deadline.
func TestWaitingRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	targets := oneTarget(service)
	k, replies := newTestCoordinator(c, func(string) []slots.Target { return targets })
	k.request(service, newRequest(1, now), netip.AddrPort{}, now)
	k.request(service, newRequest(2, now), netip.AddrPort{}, now)
	targets = []slots.Target{{Hash: targetA, Slots: 1}}
	k.tick(now.Add(refreshInterval))
	last := (*replies)[len(*replies)-1]
	c.Assert(last.Kind, qt.Equals, slots.Refused)
	c.Assert(last.Serial, qt.Equals, uint64(2))
	c.Assert(len(k.assignments), qt.Equals, 1)
}

// A slow router would delay the calls of all others, and routers that chose differently would
// have several coordinators.
func TestRank(t *testing.T) {
	c := qt.New(t)
	var members []Member
	for i := range uint64(20) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		members = append(members, Member{Address: address, Hash: i * 0x9e3779b97f4a7c15, CPUShare: []float64{0.8, 0.4, 0.39}[i%3]})
	}
	firsts := make(map[netip.AddrPort]bool)
	for i := range 200 {
		name := fmt.Sprintf("s%d", i)
		first, second := rank(members, name)
		c.Assert(first.CPUShare >= 0.4 && second.CPUShare >= 0.4, qt.IsTrue)
		c.Assert(first.Address, qt.Not(qt.Equals), second.Address)
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		firstReversed, secondReversed := rank(reversed, name)
		c.Assert(firstReversed, qt.Equals, first)
		c.Assert(secondReversed, qt.Equals, second)
		// The second one follows when the first one is lost.
		rest := slices.DeleteFunc(reversed, func(m Member) bool { return m.Address == first.Address })
		next, _ := rank(rest, name)
		c.Assert(next, qt.Equals, second)
		firsts[first.Address] = true
	}
	c.Assert(len(firsts) > 10, qt.IsTrue, qt.Commentf("%d", len(firsts)))
	first, second := rank(members[:1], service)
	c.Assert(first, qt.Equals, members[0])
	c.Assert(second.Address.IsValid(), qt.IsFalse)
	_, ok := newRouting().choose(nil, service, time.Now())
	c.Assert(ok, qt.IsFalse)
}

// Routers that come and go would fill the memory of those that do not answer.
func TestRoutingIsBounded(t *testing.T) {
	c := qt.New(t)
	r := newRouting()
	now := time.Now()
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	}
	for i := range 2 * maxSilentRouters {
		r.recordSilence(address(i), now)
		r.recordAnswer(address(0), fmt.Sprintf("s%d", i), zerolog.Nop())
	}
	c.Assert(len(r.silent) <= maxSilentRouters, qt.IsTrue)
	c.Assert(len(r.coordinators) <= maxRoutedServices, qt.IsTrue)
	r.recordSilence(address(5000), now.Add(2*forgetSilenceAfter))
	c.Assert(r.silent, qt.HasLen, 1)
}

// Grants that a fault of the caller leaves unreleased would fill the client.
func TestUnreleasedGrantsAreForgotten(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	client, _ := f.start(c, "127.0.0.1:0")
	f.setMembers(self(client.Address()))
	mustAcquire(c, client, f.newRequest())
	f.advance(testTimeout + 2*heldGrace)
	grant := mustAcquire(c, client, f.newRequest())
	c.Assert(open(client), qt.Equals, 1)
	client.Release(grant, slots.Result{})
	c.Assert(open(client), qt.Equals, 0)
	r := f.newRequest()
	r.Excluded = make([]uint64, maxExcluded+1)
	_, err := client.Acquire(context.Background(), r)
	c.Assert(err, qt.Equals, ErrNoCoordinator)
}

// FuzzDatagram guards against datagrams that end the process, at once or with a later request.
func FuzzDatagram(f *testing.F) {
	now := time.Now()
	key := slots.Key{Process: 1, Serial: 1}
	for _, m := range []*peerv1.SlotMessage{
		newWireRequest(1), newCancelMessage(key, service), newGrant(1, 1),
		newReplyMessage(slots.Reply{Key: key, Kind: slots.Waiting}),
		newReplyMessage(slots.Reply{Key: key, Kind: slots.Refused, RetryAfter: time.Second}),
		newReleaseMessage(key, service, slots.Result{Took: time.Second, Succeeded: true, HasLoad: true, Running: 1 << 30, Queued: 1 << 30}),
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	fleet := newFleet()
	client, stop, err := New("127.0.0.1:0", fleet.list, fleet.targetsOf, zerolog.Nop(), WithTimeouts(0, 0, 0))
	if err != nil {
		f.Fatal(err)
	}
	stop() // Nothing is sent.
	f.Fuzz(func(t *testing.T, data []byte) {
		k := newCoordinator(fleet.targetsOf, client.sendReply, client.opts)
		defer k.stop()
		client.coordinator = k
		client.process = 1
		client.pending[1] = &pending{service: service, deadline: now, changed: make(chan struct{}, 1)}
		client.handleDatagram(data, client.Address())
		client.handleDatagram(data, client.Address())
		k.request(service, newRequest(1, now), client.Address(), now)
		k.tick(now.Add(time.Hour))
		if len(client.pending) > 1 || len(client.held) > 1 {
			t.Fatalf("%d pending, %d held", len(client.pending), len(client.held))
		}
		clear(client.held)
		m, err := decode(data, now)
		if err != nil {
			return
		}
		if m.key.Serial == 0 || m.request.Deadline.Sub(now) > maxLease || m.result.Took < 0 || m.result.Took > maxLease || m.result.Running < 0 {
			t.Fatalf("decoded as %+v", m)
		}
	})
}
