package slotgrant

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/slots"
)

const (
	service = "thumbnails"
	// testTimeout bounds the wait for a condition that is expected to hold; it is only reached
	// when a test fails.
	testTimeout = 20 * time.Second
	targetA     = 7
)

// longTimeouts gives a slow machine time to answer, and repeats waiting requests often.
var longTimeouts = WithTimeouts(testTimeout, 10*time.Millisecond, testTimeout)

type (
	// testFleet holds what the routers of a test know.
	testFleet struct {
		mu      sync.Mutex
		members []Member
		targets []slots.Target
		skew    time.Duration
	}

	// rawRouter is a socket at which a test plays a router.
	rawRouter struct {
		c    *qt.C
		conn *net.UDPConn
	}
)

// newFleet returns a fleet with one target that runs one call at once.
func newFleet() *testFleet {
	return &testFleet{targets: []slots.Target{{Hash: targetA, Slots: 1, Window: 1, IsEligible: true}}}
}

// start starts a router that does not belong to the members.
func (f *testFleet) start(c *qt.C, address string, opts ...Option) (*Client, func()) {
	c.Helper()
	client, stop, err := New(address, f.list, f.targetsOf, zerolog.Nop(), append([]Option{longTimeouts, WithClock(f.now)}, opts...)...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	return client, stop
}

func (f *testFleet) list() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

func (f *testFleet) setMembers(members ...Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}

func (f *testFleet) targetsOf(name string) []slots.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name != service {
		return nil
	}
	return f.targets
}

func (f *testFleet) now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Add(f.skew)
}

func (f *testFleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skew += d
}

func (f *testFleet) newRequest() Request {
	return Request{Service: service, Workspace: "w", Deadline: f.now().Add(testTimeout)}
}

// member returns a member with a rank of its own.
func member(address netip.AddrPort) Member {
	return Member{Address: address, Hash: uint64(address.Port()), CPUShare: 1}
}

func self(address netip.AddrPort) Member {
	m := member(address)
	m.IsSelf = true
	return m
}

func newRawRouter(c *qt.C) *rawRouter {
	c.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return &rawRouter{c, conn}
}

func (r *rawRouter) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.conn.LocalAddr().String())
}

func (r *rawRouter) send(to netip.AddrPort, m *peerv1.SlotMessage) {
	r.c.Helper()
	data, err := proto.Marshal(m)
	r.c.Assert(err, qt.IsNil)
	r.sendBytes(to, data)
}

func (r *rawRouter) sendBytes(to netip.AddrPort, data []byte) {
	r.c.Helper()
	_, err := r.conn.WriteToUDPAddrPort(data, to)
	r.c.Assert(err, qt.IsNil)
}

// receive returns the next message.
func (r *rawRouter) receive() *peerv1.SlotMessage {
	r.c.Helper()
	r.c.Assert(r.conn.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	buffer := make([]byte, 2*maxDatagramBytes)
	n, _, err := r.conn.ReadFromUDPAddrPort(buffer)
	r.c.Assert(err, qt.IsNil)
	m := new(peerv1.SlotMessage)
	r.c.Assert(proto.Unmarshal(buffer[:n], m), qt.IsNil)
	return m
}

// acquire returns the results of a request that is made in the background.
func acquire(ctx context.Context, client *Client, r Request) (<-chan Grant, <-chan error) {
	grants, errs := make(chan Grant, 1), make(chan error, 1)
	go func() {
		grant, err := client.Acquire(ctx, r)
		if err != nil {
			errs <- err
			return
		}
		grants <- grant
	}()
	return grants, errs
}

// mustAcquire returns a grant that is expected.
func mustAcquire(c *qt.C, client *Client, r Request) Grant {
	c.Helper()
	grant, err := client.Acquire(context.Background(), r)
	c.Assert(err, qt.IsNil)
	return grant
}

func receive[T any](c *qt.C, values <-chan T) T {
	c.Helper()
	select {
	case v := <-values:
		return v
	case <-time.After(testTimeout):
		c.Fatal("nothing received")
		panic("unreachable")
	}
}

func waitUntil(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatal(what)
		}
	}
}

// assigned returns the number of requests that wait or have a grant at a router.
func assigned(client *Client) int {
	client.coordinator.mu.Lock()
	defer client.coordinator.mu.Unlock()
	return len(client.coordinator.assignments)
}

// open returns the number of requests and grants of a router's own calls.
func open(client *Client) int {
	client.mu.Lock()
	defer client.mu.Unlock()
	return len(client.pending) + len(client.held)
}

func newGrant(process, serial uint64) *peerv1.SlotMessage {
	return newReplyMessage(slots.Reply{Key: slots.Key{Process: process, Serial: serial}, Kind: slots.Granted, Target: targetA})
}

// newWireRequest returns a request of process 1.
func newWireRequest(serial uint64) *peerv1.SlotMessage {
	now := time.Now()
	return newRequestMessage(service, slots.Request{
		Key: slots.Key{Process: 1, Serial: serial}, Objective: now.Add(testTimeout), Deadline: now.Add(testTimeout),
	}, now)
}
