package gossip_test

import (
	"fmt"
	"net"
	"strings"
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

// Guards against routers that disagree on their targets, or learn nothing more from each other,
// because of entries of other writers.
func TestChangesSpreadBesideOddEntries(t *testing.T) {
	f := newFixture(t)
	f.configure(1)
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	small := strings.Repeat("[", 300) + strings.Repeat("]", 300)
	a, b := f.start("a", f.storeAddress), f.start("b", f.failingStoreAddress)
	b.AddPeer(a.address)
	assertAgree := func(what string, targets int) {
		f.Helper()
		f.eventually(what, func() bool {
			ours, theirs := a.watcher.View().Targets, b.watcher.View().Targets
			return len(ours.ByService["s"]) == targets && len(theirs.ByService["s"]) == targets &&
				ours.Digest == theirs.Digest && ours.Revision == theirs.Revision && ours.Revision.Number == f.store.Revision()
		})
	}
	f.target("i-1", "ready")
	assertAgree("both know the target", 1)
	for name, raw := range map[string]string{
		"odd-nested":  string(platformtest.Entry("odd-nested", deep)),
		"odd-small":   string(platformtest.Entry("odd-small", small)),
		"odd-number":  string(platformtest.Entry("odd-number", `{"slots":NaN}`)),
		"odd-large":   string(platformtest.Entry("odd-large", `"`+strings.Repeat("x", 1_000_000)+`"`)),
		"odd-utf8":    "{\"metadata\":{\"name\":\"odd-utf8\"},\"spec\":{\"service\":\"\xff\"}}",
		"odd-name":    "{\"metadata\":{\"name\":\"\xff\"}}",
		"odd-unnamed": `{"metadata":{"name":5}}`,
		"odd-null":    `null`,
	} {
		f.store.SetRaw(platformtest.KindTargets, name, raw)
		assertAgree("both have seen "+name, 1)
	}
	f.store.SetRaw(platformtest.KindTargets, "i-1", string(platformtest.Entry("i-1", deep)))
	assertAgree("neither uses the target", 0)
	f.target("i-1", "ready")
	f.target("i-2", "ready")
	assertAgree("both know two targets", 2)
	late := f.start("late", f.failingStoreAddress)
	late.AddPeer(a.address)
	f.eventually("a router that starts later knows them", func() bool {
		targets := late.watcher.View().Targets
		return len(targets.ByService["s"]) == 2 && targets.Digest == a.watcher.View().Targets.Digest
	})
	f.store.Remove(platformtest.KindTargets, "odd-nested")
	f.store.Remove(platformtest.KindTargets, "odd-unnamed")
	f.store.Remove(platformtest.KindTargets, "i-2")
	assertAgree("both know that one target and two odd entries have left", 1)
}
