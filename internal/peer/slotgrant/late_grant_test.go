package slotgrant

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/slots"
)

// A grant to a call that has gone on without it would take a slot until the call's deadline.
func TestLateGrantIsCancelled(t *testing.T) {
	c, f, client := newClient(t, statedTimeouts)
	r := newRawRouter(c)
	f.setMembers(member(r.address()))
	silentAcquire(c, f, client)
	request := r.receive().GetRequest()
	c.Assert(r.receive().GetRequest().GetCancel(), qt.IsTrue)
	r.send(client.Address(), newGrant(request.GetProcess(), request.GetSerial()))
	cancel := r.receive().GetRequest()
	c.Assert(cancel.GetCancel(), qt.IsTrue)
	c.Assert(cancel.GetProcess(), qt.Equals, request.GetProcess())
	c.Assert(cancel.GetSerial(), qt.Equals, request.GetSerial())

	// So would one to an earlier process at this address.
	r.send(client.Address(), newGrant(request.GetProcess()+1, 5))
	cancel = r.receive().GetRequest()
	c.Assert(cancel.GetCancel(), qt.IsTrue)
	c.Assert(cancel.GetProcess(), qt.Equals, request.GetProcess()+1)
	c.Assert(open(client), qt.Equals, 0)
}

// A grant that arrives in the instant in which a call gives up would be used by nobody; a call
// that only stops to wait can still use it.
func TestGrantWhileGivingUp(t *testing.T) {
	c, f, client := newClient(t)
	r := newRawRouter(c)
	for _, isUsed := range []bool{true, false} {
		a := client.newAttempt(f.newRequest(), member(r.address()), f.now())
		reply := slots.Reply{Key: a.request.Key, Kind: slots.Granted, Target: targetA}
		c.Assert(client.deliver(reply, r.address()), qt.IsTrue)
		if isUsed {
			got, err := a.giveUpSilent()
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, reply)
			c.Assert(client.routing.silent, qt.HasLen, 0)
			c.Assert(open(client), qt.Equals, 1)
			client.Release(Grant{serial: got.Serial}, slots.Result{})
			c.Assert(r.receive().GetRelease().GetSerial(), qt.Equals, got.Serial)
			continue
		}
		a.discard()
		c.Assert(r.receive().GetRequest().GetCancel(), qt.IsTrue)
	}
	c.Assert(open(client), qt.Equals, 0)
}

// A repeated grant must not end the lease of a call that is in progress, and one of another
// target, as from a restarted coordinator, must not take a slot.
func TestRepeatedGrant(t *testing.T) {
	c, f, client := newClient(t)
	r := newRawRouter(c)
	f.setMembers(member(r.address()))
	grants, _ := acquire(context.Background(), client, f.newRequest())
	// A grant for the request of this number of an earlier process is not that of this one.
	waitUntil(c, "nothing requested", func() bool { return open(client) == 1 })
	r.send(client.Address(), newGrant(client.process+1, 1))
	request := r.receive().GetRequest()
	c.Assert(r.receive().GetRequest().GetProcess(), qt.Equals, client.process+1)
	c.Assert(grants, qt.HasLen, 0)
	r.send(client.Address(), newGrant(request.GetProcess(), request.GetSerial()))
	grant := receive(c, grants)
	r.send(client.Address(), newGrant(request.GetProcess(), request.GetSerial()))
	other := newGrant(request.GetProcess(), request.GetSerial())
	other.GetReply().Target++
	r.send(client.Address(), other)
	c.Assert(r.receive().GetRequest().GetCancel(), qt.IsTrue) // For the other target.
	client.Release(grant, slots.Result{Took: time.Second, Succeeded: true, HasLoad: true, Running: 2, Queued: 3})
	release := r.receive().GetRelease()
	c.Assert(release.GetSerial(), qt.Equals, request.GetSerial())
	c.Assert(release.GetService(), qt.Equals, service)
	c.Assert(release.GetTookUs(), qt.Equals, uint64(1e6))
	c.Assert(release.GetSucceeded() && release.GetHasLoad(), qt.IsTrue)
	c.Assert([]uint32{release.GetRunning(), release.GetQueued()}, qt.DeepEquals, []uint32{2, 3})
}

// A call that has ended would keep its place among those that wait, or be granted a slot.
func TestCancelledContext(t *testing.T) {
	c, f, client := newClient(t)
	coordinator, _ := f.start(c, "127.0.0.1:0")
	f.setMembers(member(coordinator.Address()))
	first := mustAcquire(c, client, f.newRequest())
	ctx, cancel := context.WithCancel(context.Background())
	_, errs := acquire(ctx, client, f.newRequest())
	waitUntil(c, "request not received", func() bool { return assigned(coordinator) == 2 })
	cancel()
	c.Assert(receive(c, errs), qt.ErrorIs, context.Canceled)
	waitUntil(c, "request not cancelled", func() bool { return assigned(coordinator) == 1 })
	client.Release(first, slots.Result{Succeeded: true})
	waitUntil(c, "slot not released", func() bool { return assigned(coordinator) == 0 })

	_, err := client.Acquire(ctx, f.newRequest())
	c.Assert(err, qt.ErrorIs, context.Canceled)
	_, err = client.Acquire(context.Background(), Request{Service: service, Deadline: time.Now().Add(-time.Second)})
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(open(client), qt.Equals, 0)
}
