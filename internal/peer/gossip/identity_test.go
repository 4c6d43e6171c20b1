package gossip_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against routers that compare different numbers for the same router, and so disagree for
// good on which of them coordinate slots.
func TestRoutersKnowTheSameCPUShares(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	f.cpuShare = 0.1925 // Beacons carry thousandths.
	a := f.start("a", f.storeAddress)
	b := f.start("b", f.storeAddress)
	b.AddPeer(a.address)
	shares := func(r *router) map[string]float64 {
		known := make(map[string]float64)
		identities, _ := r.ServingIdentities()
		for _, identity := range identities {
			known[identity.Router] = identity.CPUShare
		}
		return known
	}
	f.eventually("both know each other", func() bool { return len(shares(a)) == 2 && len(shares(b)) == 2 })
	f.Assert(shares(a), qt.DeepEquals, shares(b))
	f.Assert(shares(a), qt.DeepEquals, map[string]float64{"a": 0.192, "b": 0.192})
}
