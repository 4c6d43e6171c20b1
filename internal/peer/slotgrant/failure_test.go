package slotgrant

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/slots"
)

// statedTimeouts are the stated time limits.
var statedTimeouts = WithTimeouts(answerTimeout, repeatInterval, ackTimeout)

// newClient starts a router of a new fleet that asks for slots.
func newClient(t *testing.T, opts ...Option) (*qt.C, *testFleet, *Client) {
	c, f := qt.New(t), newFleet()
	client, _ := f.start(c, "127.0.0.1:0", opts...)
	return c, f, client
}

// ranked returns two raw routers, the one with the higher rank for the service first.
func ranked(c *qt.C) (first, second *rawRouter) {
	first, second = newRawRouter(c), newRawRouter(c)
	if top, _ := rank([]Member{member(first.address()), member(second.address())}, service); top.Address != first.address() {
		first, second = second, first
	}
	return first, second
}

// silentAcquire makes a request that no router is expected to answer.
func silentAcquire(c *qt.C, f *testFleet, client *Client) {
	c.Helper()
	_, err := client.Acquire(context.Background(), f.newRequest())
	c.Assert(err, qt.Equals, ErrNoCoordinator)
}

// answered makes a request that a raw router grants, and releases it.
func answered(c *qt.C, f *testFleet, client *Client, r *rawRouter) {
	c.Helper()
	grants, _ := acquire(context.Background(), client, f.newRequest())
	r.grantNext(client)
	grant := receive(c, grants)
	c.Assert(grant.Coordinator, qt.Equals, r.address().String())
	client.Release(grant, slots.Result{})
	c.Assert(r.receive().GetRelease(), qt.IsNotNil)
}

// grantNext grants the next request of a client; it skips what the client has sent for
// requests that it has given up.
func (r *rawRouter) grantNext(client *Client) {
	r.c.Helper()
	for {
		request := r.receive().GetRequest()
		client.mu.Lock()
		isPending := client.pending[request.GetSerial()] != nil
		client.mu.Unlock()
		if request != nil && isPending {
			r.send(client.Address(), newGrant(request.GetProcess(), request.GetSerial()))
			return
		}
	}
}

// A call that waited longer than stated for a coordinator that is silent would be late.
func TestSilentCoordinator(t *testing.T) {
	c, f, client := newClient(t, statedTimeouts)
	r := newRawRouter(c)
	f.setMembers(member(r.address()))

	start := time.Now()
	silentAcquire(c, f, client)
	took := time.Since(start)
	c.Assert(took >= answerTimeout, qt.IsTrue, qt.Commentf("%s", took))
	// A slow machine may delay a timer, but not by as much as a repetition or the deadline
	// would take.
	c.Assert(took < testTimeout/2, qt.IsTrue, qt.Commentf("%s", took))
	request, cancel := r.receive().GetRequest(), r.receive().GetRequest()
	c.Assert(request.GetCancel(), qt.IsFalse)
	c.Assert(cancel.GetCancel(), qt.IsTrue)
	c.Assert(cancel.GetSerial(), qt.Equals, request.GetSerial())
	c.Assert(open(client), qt.Equals, 0)
}

// A router that has used its share of the CPU is paused for longer than the time limit. It
// would take coordinators for silent whose answers it has not read yet.
func TestPauseOfThisProcessIsNotSilence(t *testing.T) {
	c, f, client := newClient(t, statedTimeouts)
	r := newRawRouter(c)
	f.setMembers(member(r.address()))
	calls := 0
	client.opts.pauseGrace, client.opts.timerNow = testTimeout, func() time.Time {
		calls++
		return time.Now().Add(time.Duration(calls) * time.Second) // All timers appear to be late.
	}
	grants, _ := acquire(context.Background(), client, f.newRequest())
	time.Sleep(2 * answerTimeout)
	r.grantNext(client)
	client.Release(receive(c, grants), slots.Result{})
	c.Assert(client.routing.silent, qt.HasLen, 0)
}

// Every call would lose 25 ms while the first router does not answer, and a router that
// answers again would remain unused.
func TestFailoverToSecondRankAndBack(t *testing.T) {
	// The clock of the failover is the test's, so that the second of failover does not end early.
	start, skew := time.Now(), atomic.Int64{}
	c, f, client := newClient(t, statedTimeouts, WithClock(func() time.Time { return start.Add(time.Duration(skew.Load())) }))
	first, second := ranked(c)
	f.setMembers(member(first.address()), member(second.address()))

	for range maxSilences {
		silentAcquire(c, f, client)
		c.Assert(first.receive().GetRequest().GetCancel(), qt.IsFalse)
		c.Assert(first.receive().GetRequest().GetCancel(), qt.IsTrue)
	}
	m, ok := client.routing.choose(f.list(), service, client.opts.now())
	c.Assert(ok && m.Address == second.address(), qt.IsTrue)
	skew.Store(int64(avoidTime - time.Millisecond))
	m, ok = client.routing.choose(f.list(), service, client.opts.now())
	c.Assert(ok && m.Address == second.address(), qt.IsTrue)

	// After one second the first one is asked again; a single silence is enough this time.
	skew.Store(int64(avoidTime))
	silentAcquire(c, f, client)
	c.Assert(first.receive().GetRequest().GetCancel(), qt.IsFalse)
	c.Assert(first.receive().GetRequest().GetCancel(), qt.IsTrue)
	m, ok = client.routing.choose(f.list(), service, client.opts.now())
	c.Assert(ok && m.Address == second.address(), qt.IsTrue)

	// An answer makes it the coordinator again, and two silences are needed from then on.
	skew.Store(int64(2 * avoidTime))
	client.opts.answerTimeout = testTimeout
	answered(c, f, client, first)
	client.routing.recordSilence(first.address(), client.opts.now())
	m, ok = client.routing.choose(f.list(), service, client.opts.now())
	c.Assert(ok && m.Address == first.address(), qt.IsTrue)
}

// The second router must be asked in fact, not only be chosen.
func TestSecondRankGrants(t *testing.T) {
	c, f, client := newClient(t)
	first, second := ranked(c)
	f.setMembers(member(first.address()), member(second.address()))
	for range maxSilences {
		client.routing.recordSilence(first.address(), f.now().Add(time.Hour))
	}
	answered(c, f, client, second)
}

// A router without a network would delay each call by 25 ms although it has just learned that
// nobody answers.
func TestNoRouterIsAskedWhileBothAreSilent(t *testing.T) {
	c, f, client := newClient(t)
	first, second := ranked(c)
	f.setMembers(member(first.address()), member(second.address()))
	for range maxSilences {
		client.routing.recordSilence(first.address(), f.now().Add(time.Hour))
		client.routing.recordSilence(second.address(), f.now().Add(time.Hour))
	}
	silentAcquire(c, f, client)
	// The next message that each of them receives is the test's.
	for _, r := range []*rawRouter{first, second} {
		r.send(r.address(), newGrant(1, 1))
		c.Assert(r.receive().GetReply(), qt.IsNotNil)
	}
}

// A call would wait until its deadline for a coordinator that has been killed.
func TestCoordinatorKilledWhileRequestWaits(t *testing.T) {
	c, f, client := newClient(t, WithTimeouts(testTimeout, repeatInterval, ackTimeout))
	coordinator, stop := f.start(c, "127.0.0.1:0")
	f.setMembers(member(coordinator.Address()))
	mustAcquire(c, client, f.newRequest())
	_, errs := acquire(context.Background(), client, f.newRequest())
	waitUntil(c, "request not received", func() bool { return assigned(coordinator) == 2 })
	stop()
	c.Assert(receive(c, errs), qt.Equals, ErrNoCoordinator)
}

// A restarted coordinator knows nothing of the requests that waited at its predecessor; those
// would wait until their deadlines.
func TestCoordinatorRestartedWhileRequestWaits(t *testing.T) {
	c, f, client := newClient(t)
	coordinator, stop := f.start(c, "127.0.0.1:0")
	address := coordinator.Address()
	// Repetitions wait until the coordinator has restarted: one that arrives
	// while nobody listens is lost, and the call gives up instead of sending another.
	isRestarted, requests := make(chan struct{}), atomic.Int64{}
	p := newProxy(c, address, func(m *peerv1.SlotMessage) int {
		if m.GetRequest() != nil && requests.Add(1) > 2 {
			<-isRestarted
		}
		return 1
	})
	goOn := sync.OnceFunc(func() { close(isRestarted) })
	c.Cleanup(goOn)
	f.setMembers(member(p.front.address()))
	old := mustAcquire(c, client, f.newRequest())
	grants, _ := acquire(context.Background(), client, f.newRequest())
	waitUntil(c, "request not received", func() bool { return assigned(coordinator) == 2 })
	stop()
	restarted, _ := f.start(c, address.String())
	goOn()
	grant := receive(c, grants)
	// The release of its predecessor's grant does not end this one.
	client.Release(old, slots.Result{Succeeded: true})
	_, errs := acquire(context.Background(), client, f.newRequest())
	waitUntil(c, "request not received", func() bool { return assigned(restarted) == 2 })
	client.Release(grant, slots.Result{Succeeded: true})
	waitUntil(c, "slot not released", func() bool { return assigned(restarted) == 1 })
	c.Assert(errs, qt.HasLen, 0)
}

// Routers that disagree on which routers are live have two coordinators, which grant the same
// slots. A release at the wrong one would leave the slot of the other one taken.
func TestTwoCoordinators(t *testing.T) {
	c := qt.New(t)
	left, right := newFleet(), newFleet()
	coordinatorL, _ := left.start(c, "127.0.0.1:0")
	coordinatorR, _ := right.start(c, "127.0.0.1:0")
	client, _ := left.start(c, "127.0.0.1:0")
	left.setMembers(member(coordinatorL.Address()))
	grantL := mustAcquire(c, client, left.newRequest())
	left.setMembers(member(coordinatorR.Address()))
	grantR := mustAcquire(c, client, left.newRequest())
	c.Assert(grantL.Target, qt.Equals, grantR.Target)
	client.Release(grantL, slots.Result{Succeeded: true})
	waitUntil(c, "slot not released", func() bool { return assigned(coordinatorL) == 0 })
	c.Assert(assigned(coordinatorR), qt.Equals, 1)
	client.Release(grantR, slots.Result{Succeeded: true})
	waitUntil(c, "slot not released", func() bool { return assigned(coordinatorR) == 0 })
}

// A call would be sent although it cannot succeed, or be retried at once.
func TestRefusal(t *testing.T) {
	c, f, client := newClient(t)
	f.targets[0].IsEligible = false
	coordinator, _ := f.start(c, "127.0.0.1:0")
	for _, m := range []Member{member(coordinator.Address()), self(client.Address())} {
		f.setMembers(m)
		_, err := client.Acquire(context.Background(), f.newRequest())
		var refusal *Refusal
		c.Assert(errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
		c.Assert(refusal.Error(), qt.Contains, refusal.RetryAfter.String())
	}
	c.Assert(assigned(coordinator)+assigned(client)+open(client), qt.Equals, 0)
}

// Calls would wait for a router that shuts down.
func TestStopEndsRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	coordinator, _ := f.start(c, "127.0.0.1:0")
	client, stop := f.start(c, "127.0.0.1:0", WithTimeouts(testTimeout, 10*testTimeout, testTimeout))
	f.setMembers(member(coordinator.Address()))
	mustAcquire(c, client, f.newRequest())
	r := f.newRequest()
	r.Deadline = r.Deadline.Add(10 * testTimeout)
	_, errs := acquire(context.Background(), client, r)
	waitUntil(c, "request not received", func() bool { return assigned(coordinator) == 2 })
	stop()
	stop()
	c.Assert(receive(c, errs), qt.Equals, ErrNoCoordinator)
	f.setMembers(self(client.Address()))
	silentAcquire(c, f, client)
}

// A call of a service that the coordinator does not know must not be refused: its view may be
// older than the caller's.
func TestUnknownService(t *testing.T) {
	c, f, client := newClient(t, statedTimeouts)
	coordinator, _ := f.start(c, "127.0.0.1:0")
	r := f.newRequest()
	r.Service = "other"
	for _, m := range []Member{member(coordinator.Address()), self(client.Address())} {
		f.setMembers(m)
		_, err := client.Acquire(context.Background(), r)
		c.Assert(err, qt.Equals, ErrNoCoordinator)
	}
	f.setMembers()
	silentAcquire(c, f, client)
}

// Operators would not see which router coordinates, or see a line for each call.
func TestChangeOfCoordinatorIsLogged(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	r := newRouting()
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	for _, address := range []netip.AddrPort{a, a, b, b} {
		r.recordAnswer(address, service, zerolog.New(&log))
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	c.Assert(lines, qt.HasLen, 2)
	var line map[string]string
	c.Assert(json.Unmarshal([]byte(lines[1]), &line), qt.IsNil)
	c.Assert(line, qt.DeepEquals, map[string]string{
		"level": "info", "service": service, "from": a.String(), "to": b.String(), "message": "slot coordinator changed",
	})
}
