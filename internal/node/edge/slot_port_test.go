package edge

import (
	"fmt"
	"net"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/testing/ports"
	"hickoryrock/platform"
)

// Guards against routers that do not start because of a port that they may never need, and against
// routers that start without it where they do.
func TestOccupiedPortForSlots(t *testing.T) {
	for _, hasPressure := range []bool{false, true} {
		t.Run(fmt.Sprint("pressure: ", hasPressure), func(t *testing.T) {
			c := qt.New(t)
			s := platform.Settings{
				Router: "edge", IP: "127.0.0.1", CallerAddress: ports.FreeAddress(c), ReadyAddress: ports.FreeAddress(c),
				StoreAddress: ports.FreeAddress(c), HasPressure: hasPressure, AssignsSlots: true,
			}
			first := freePair(c)
			s.PeerPorts = [2]int{first, first + 1}
			occupied, err := net.ListenPacket("udp4", net.JoinHostPort(s.IP, strconv.Itoa(first+1)))
			c.Assert(err, qt.IsNil)
			t.Cleanup(func() { _ = occupied.Close() })
			_, closeRouter, err := New("", s, zerolog.Nop())
			c.Assert(err != nil, qt.Equals, hasPressure, qt.Commentf("%v", err))
			if err == nil {
				closeRouter()
			}
		})
	}
}
