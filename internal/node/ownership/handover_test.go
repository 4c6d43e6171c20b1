package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/policy/permits"
	"hickoryrock/internal/target/dispatch"
)

const other = "b2"

// linkedFleet is a fleet whose former owner is a real Owner instead of a fake peer.
type linkedFleet struct {
	*fleet
	former *Owner
}

func (l *linkedFleet) Handover(_ context.Context, _, target, owner string, epoch uint64) (permits.Handover, bool) {
	return l.former.Handover(target, owner, epoch)
}

// TestHandover lets a router leave. After a handover its successor grants permits at once
// and counts those that the leaving router had granted; without one it must wait for the
// contest term.
func TestHandover(t *testing.T) {
	c := qt.New(t)
	for name, ceded := range map[string]bool{"ceded": true, "not ceded": false} {
		c.Run(name, func(c *qt.C) {
			synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
				former, successor := newFleet(self, other), newFleet(self, other)
				former.self, successor.self = other, self
				former.view(2, self, other)
				former.settle()
				successor.settle()
				successor.peers = &linkedFleet{fleet: successor, former: former.Owner}
				target := former.OwnedTargets()[0]
				p := permits.Permit{Holder: "router-5", ID: "1", Weight: 1}
				qt.Assert(t, former.Grant(target, p), qt.Equals, permits.Granted)

				if ceded {
					former.view(2, self)
				}
				successor.now = former.now
				successor.renewLease()
				successor.view(1, self)
				successor.pollLoads(t.Context())
				synctest.Wait()
				want := dispatch.Contested
				if ceded {
					want = dispatch.Granted
				}
				verdict, _ := successor.acquire(target)
				qt.Assert(t, verdict, qt.Equals, want)
				// Wait until the successor has used all its attempts.
				time.Sleep(handoverAttempts * handoverRetryInterval)
				if ceded {
					qt.Assert(t, successor.ledger.Sums(successor.now)[bookings].Load, qt.Equals, uint64(2))
				}
			})
		})
	}
}

// TestPermitIDs restarts a router under the same name. With equal IDs an owner would
// mistake the new process's permits for those of the old one.
func TestPermitIDs(t *testing.T) {
	c := qt.New(t)
	before, after := newHeldPermits(self), newHeldPermits(self)
	first := before.add(bookings, catalog.Target{}, 1)
	c.Assert(after.add(bookings, catalog.Target{}, 1).ID, qt.Not(qt.Equals), first.ID)
}
