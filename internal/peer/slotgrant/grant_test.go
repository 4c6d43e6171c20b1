package slotgrant

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/slots"
)

// A slot that is not free again after its release would be lost until the call's deadline, and
// a waiting request that is not granted it would be late.
func TestReleaseGrantsWaitingRequest(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	coordinator, _ := f.start(c, "127.0.0.1:0")
	client, _ := f.start(c, "127.0.0.1:0")
	f.setMembers(member(coordinator.Address()))

	first := mustAcquire(c, client, f.newRequest())
	c.Assert(first.Target, qt.Equals, uint64(targetA))
	c.Assert(first.Coordinator, qt.Equals, coordinator.Address().String())
	grants, _ := acquire(context.Background(), client, f.newRequest())
	waitUntil(c, "second request not received", func() bool { return assigned(coordinator) == 2 })
	c.Assert(grants, qt.HasLen, 0)
	client.Release(first, slots.Result{Took: time.Millisecond, Succeeded: true, HasLoad: true})
	second := receive(c, grants)
	c.Assert(second.Waited > 0, qt.IsTrue)
	client.Release(second, slots.Result{Succeeded: true})
	client.Release(second, slots.Result{Succeeded: true})
	client.Release(Grant{}, slots.Result{})
	waitUntil(c, "slot not released", func() bool { return assigned(coordinator) == 0 })
	c.Assert(open(client), qt.Equals, 0)
}

// A router that asked itself through its socket would lose calls when the socket is full.
func TestOwnCoordinator(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	client, _ := f.start(c, "127.0.0.1:0")
	f.setMembers(self(client.Address()))
	c.Assert(client.socket.conn.Close(), qt.IsNil)

	first := mustAcquire(c, client, f.newRequest())
	ctx, cancel := context.WithCancel(context.Background())
	_, errs := acquire(ctx, client, f.newRequest())
	waitUntil(c, "second request not received", func() bool { return assigned(client) == 2 })
	cancel()
	c.Assert(receive(c, errs), qt.ErrorIs, context.Canceled)
	c.Assert(assigned(client), qt.Equals, 1)
	grants, _ := acquire(context.Background(), client, f.newRequest())
	waitUntil(c, "third request not received", func() bool { return assigned(client) == 2 })
	client.Release(first, slots.Result{Succeeded: true})
	client.Release(receive(c, grants), slots.Result{Succeeded: true})
	c.Assert(assigned(client), qt.Equals, 0)
	c.Assert(open(client), qt.Equals, 0)
}
