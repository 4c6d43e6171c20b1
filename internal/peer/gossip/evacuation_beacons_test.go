package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetstats"
)

// link passes the beacons of one router to another, in the order and as often as a test says.
type link struct {
	*qt.C
	sender, receiver *Fleet
}

func newLink(t *testing.T) *link {
	l := &link{C: qt.New(t)}
	l.sender, l.receiver = l.newFleet("a", 1), l.newFleet("b", 2)
	return l
}

func (l *link) newFleet(name string, incarnation uint64) *Fleet {
	watcher := storewatch.New(nil, zerolog.Nop(), nil, nil, storewatch.WithEvacuations(time.Second))
	f, closeFleet, err := New(Identity{Router: name, PeerAddress: "127.0.0.1:0", FailureDomain: "d", Incarnation: incarnation},
		func() State { return State{} }, targetstats.NewTracker(func(targetstats.Change) {}), affinity.NewCacheIndex(),
		watcher, zerolog.Nop())
	l.Assert(err, qt.IsNil)
	l.Cleanup(closeFleet)
	return f
}

// know lets the sender know a set.
func (l *link) know(era, number uint64, domains ...string) {
	l.sender.watcher.ApplyEvacuations(state.Revision{Era: era, Number: number}, domains, "other")
}

// newDatagram returns the sender's next beacon.
func (l *link) newDatagram(hasIdentity bool) []byte {
	b := l.sender.newBeacon()
	if hasIdentity {
		l.sender.setIdentity(b)
		b.PeerAddress = "127.0.0.1:7341"
	}
	data := l.sender.encode(b)
	l.Assert(data, qt.IsNotNil)
	return data
}

// deliver passes a datagram to the receiver.
func (l *link) deliver(data []byte) { l.receiver.handleDatagram(data) }

// assertKnown checks which failure domains the receiver knows to be evacuated.
func (l *link) assertKnown(domains ...string) {
	l.Helper()
	set, known := l.receiver.watcher.Evacuations()
	l.Assert(known, qt.IsTrue)
	l.Assert(set.Names(), qt.DeepEquals, append([]string{}, domains...))
}

// Guards against evacuations that are lost for good with some beacons, and against beacons that
// arrive late and take back later ones.
func TestBeaconsWithEvacuations(t *testing.T) {
	t.Run("the next one with the identity makes up for lost ones", func(t *testing.T) {
		l := newLink(t)
		l.know(1, 5)
		l.deliver(l.newDatagram(true))
		l.assertKnown()
		l.know(1, 6, "east")
		l.newDatagram(true) // Lost.
		l.deliver(l.newDatagram(false))
		l.assertKnown()
		l.deliver(l.newDatagram(true))
		l.assertKnown("east")
	})
	t.Run("a late one takes nothing back", func(t *testing.T) {
		l := newLink(t)
		l.know(1, 5, "east")
		first := l.newDatagram(true)
		l.know(1, 6)
		second := l.newDatagram(true)
		l.know(2, 3, "west")
		third := l.newDatagram(true)
		l.deliver(third)
		l.assertKnown("west")
		l.deliver(first)
		l.deliver(second)
		l.assertKnown("west")
	})
	t.Run("a repeated one changes nothing", func(t *testing.T) {
		l := newLink(t)
		l.know(1, 5, "east", "west")
		data := l.newDatagram(true)
		l.deliver(data)
		l.deliver(data)
		l.assertKnown("east", "west")
	})
	t.Run("a router that was cut off keeps what it knows and learns the rest", func(t *testing.T) {
		l := newLink(t)
		l.know(1, 5, "east")
		l.deliver(l.newDatagram(true))
		for number := uint64(6); number < 30; number++ {
			l.know(1, number, "west")
			l.newDatagram(true)
		}
		l.assertKnown("east")
		l.deliver(l.newDatagram(true))
		l.assertKnown("west")
	})
	t.Run("one without a set tells nothing", func(t *testing.T) {
		l := newLink(t)
		l.receiver.watcher.ApplyEvacuations(state.Revision{Era: 1, Number: 5}, []string{"east"}, "other")
		l.deliver(l.newDatagram(true))
		l.assertKnown("east")
	})
	t.Run("the largest set fits", func(t *testing.T) {
		l := newLink(t)
		var domains []string
		for i := range storewatch.MaxEvacuatedDomains {
			name := make([]byte, 128)
			for j := range name {
				name[j] = byte('a' + i%26)
			}
			name[0] = byte('A' + i/26)
			domains = append(domains, string(name))
		}
		l.know(1, 5, domains...)
		data := l.newDatagram(true)
		l.Assert(len(data) < maxDatagramBytes, qt.IsTrue)
		l.deliver(data)
		set, _ := l.receiver.watcher.Evacuations()
		l.Assert(set.Domains, qt.HasLen, storewatch.MaxEvacuatedDomains)
	})
	t.Run("a regular beacon has them with the identity only", func(t *testing.T) {
		l := newLink(t)
		l.know(1, 5, "east")
		for _, hasIdentity := range []bool{true, false} {
			b := new(peerv1.Beacon)
			l.Assert(proto.Unmarshal(l.newDatagram(hasIdentity)[1:], b), qt.IsNil)
			l.Assert(b.GetEvacuations() != nil, qt.Equals, hasIdentity)
		}
	})
}
