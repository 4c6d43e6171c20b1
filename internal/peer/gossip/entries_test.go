package gossip_test

import (
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/platform/platformtest"
)

// Guards against addresses that no router has and that slow down the exchange of beacons, or
// end the process.
func TestOddPeerAddressesAreSkipped(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	a := f.start("a", f.storeAddress)
	before := a.DiscoveryTime()
	for n := range 100 {
		for _, address := range []string{
			"[::1]:%d", "[::ffff:127.0.0.1]:%d", "127.0.0.1:0%d", "127.0.0.1:70%03d", "a%d.example:80", "0.0.0.0:%d", "224.0.0.1:%d",
			"%d", "", "127.0.0.1:-%d",
		} {
			a.AddPeer(fmt.Sprintf(address, n))
		}
	}
	a.AddPeer("127.0.0.1:0")
	f.Assert(a.DiscoveryTime(), qt.Equals, before)
	for _, address := range []string{"[::1]:1", "[::1]:2", "[::1]:3"} {
		datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{0}, &peerv1.Beacon{
			Router: "r-" + address, PeerAddress: address, FailureDomain: "other", Incarnation: 1, Number: 1,
		})
		f.Assert(err, qt.IsNil)
		conn, err := net.Dial("udp4", a.address)
		f.Assert(err, qt.IsNil)
		_, err = conn.Write(datagram)
		f.Assert(err, qt.IsNil)
		f.Assert(conn.Close(), qt.IsNil)
	}
	b := f.start("b", f.storeAddress)
	b.AddPeer(a.address)
	f.eventually("both routers know each other", func() bool { return a.LiveCount() == 2 && b.LiveCount() == 2 })
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.Target("10.0.0.1:80", "ready", 0))
	f.eventually("both know the target", func() bool {
		return len(a.watcher.View().Targets.ByService["s"]) == 1 && len(b.watcher.View().Targets.ByService["s"]) == 1
	})
}
