package forward_test

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// Guards against a promise that a call was not executed whose target has read it in part or
// whole: the router cannot know what a target does with the part.
func TestPartlySentCallMayHaveBeenExecuted(t *testing.T) {
	for name, bytes := range map[string]int{"empty": 0, "small": 1 << 10, "larger than one write": 64 << 10, "large": 2 << 20} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http1.ReadRequest(bufio.NewReader(c), 64<<10); err == nil {
						received.Add(1)
					}
					rawserver.Reset(c)
				}
			}()
			f := newFixture(t, 0, nil)
			address := l.Addr().String()
			f.view.Store(&state.View{Configuration: unhurriedConfiguration(), Targets: state.NewTargets([]*state.Target{
				{ID: "i-0", Service: "s", Address: address}, {ID: "i-1", Service: "s", Address: address},
			})})
			for i, path := range []string{"/once/a", "/safe/a"} {
				got := f.send(platformtest.Call(presentCall, "POST", path, int(unhurriedTimeout.Milliseconds()), strings.Repeat("a", bytes)))
				f.assertResponse(got, 502, "")
				f.Assert(int(received.Load()), qt.Equals, 1+2*i, qt.Commentf("%s", path))
			}
		})
	}
}

// unhurriedTimeout is longer than any call of these tests takes, also on a busy machine.
const unhurriedTimeout = 20 * time.Second

// unhurriedConfiguration returns a configuration whose calls end neither because a target is silent
// for a part of its latency objective nor at their deadline, each of which may precede the first byte
// that is sent to the target.
func unhurriedConfiguration() *state.Configuration {
	list := routes()
	for i := range list {
		list[i].Timeout = unhurriedTimeout
		if list[i].LatencyObjective > 0 {
			list[i].LatencyObjective = unhurriedTimeout
		}
	}
	configuration := &state.Configuration{
		Version: 1, Routes: list, Limits: platform.DefaultLimits(), Workspaces: map[string]state.Workspace{"key": {Name: "w"}},
	}
	configuration.Index()
	return configuration
}
