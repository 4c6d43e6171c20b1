package forward_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// setPriorities publishes a configuration in which all routes have a priority, and the service s the
// given slots of engines.
func (f *fixture) setPriorities(route int, workspace state.Workspace, slots int) {
	view := f.view.Load()
	configuration := &state.Configuration{
		Version: view.Configuration.Version + 1, Routes: routes(), Limits: view.Configuration.Limits,
		Workspaces: map[string]state.Workspace{"key": workspace},
		Services:   map[string]state.Service{"s": {Name: "s", Slots: slots}},
	}
	for i := range configuration.Routes {
		configuration.Routes[i].Priority = route
	}
	configuration.Index()
	f.view.Store(&state.View{Configuration: configuration, Targets: view.Targets})
}

// priorities returns the priorities of all requests that targets have received.
func (f *fixture) priorities() []string {
	var got []string
	for _, t := range f.targets {
		for _, r := range t.Requests() {
			got = append(got, platformtest.DecodeForwarded(r).Priority)
		}
	}
	return got
}

// Guards against engines that preempt the wrong calls: by a priority that the caller has chosen
// itself, by that of the route where the workspace has its own, or by another one in a retry.
func TestRequestPriorityAtEngines(t *testing.T) {
	pressure := func(c *forward.Config) { c.HasPressure = true }
	none := func(*forward.Config) {}
	ranked := func(priority int) state.Workspace {
		return state.Workspace{Name: "w", Priority: priority, HasPriority: true}
	}
	plain := state.Workspace{Name: "w"}
	answer, stream := always("200 OK", "", "x"), eventScript(2, 0)
	for _, test := range []struct {
		about     string
		opt       func(*forward.Config)
		path      string
		route     int
		workspace state.Workspace
		slots     int
		want      string
	}{
		{"the route's", pressure, "/once/a", 3, plain, 64, "3"},
		{"the most urgent", pressure, "/once/a", 0, plain, 64, "0"},
		{"the workspace's before the route's", pressure, "/once/a", 3, ranked(0), 64, "0"},
		{"the greatest", pressure, "/once/a", 9, plain, 64, "9"},
		{"more than engines know", pressure, "/once/a", 3, ranked(12), 64, "9"},
		{"a sticky route", pressure, "/chat/a", 2, plain, 0, "2"},
		{"a stream of engines", pressure, "/stream/a", 2, plain, 64, "2"},
		{"a plain service", pressure, "/once/a", 3, ranked(1), 0, ""},
		{"a stream of a plain service", pressure, "/stream/a", 3, ranked(1), 0, ""},
		{"without the contract", none, "/once/a", 3, ranked(1), 64, ""},
		{"a sticky route without the contract", none, "/chat/a", 3, plain, 64, ""},
	} {
		t.Run(test.about, func(t *testing.T) {
			script, body := answer, "x"
			if test.path == "/stream/a" {
				script, body = stream, wholeStream(2)
			}
			f := newFixture(t, 1, script, test.opt)
			f.setPriorities(test.route, test.workspace, test.slots)
			lines := platformtest.AuthorizationLine + platformtest.PriorityLine(7) // Must not be forwarded.
			f.assertResponse(f.send(platformtest.Request(test.path, lines, "x")), 200, body)
			f.Assert(f.priorities(), qt.DeepEquals, []string{test.want})
		})
	}
	for _, test := range []struct {
		about, path string
		// first answers the first attempt in such a way that another one follows.
		first, other rawserver.Handler
		want         string
	}{
		{"a retry", "/safe/a", write(platformtest.NotExecuted), answer, "x"},
		{"a retry after a lost connection", "/safe/a", reset, answer, "x"},
		{"a resumed stream", "/resume/a", eventScript(9, 4), eventScript(9, 4), wholeStream(9)},
	} {
		t.Run(test.about, func(t *testing.T) {
			var f *fixture
			f = newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
				if f.targetRequests() > 1 {
					return test.other(c, r)
				}
				f.setPriorities(8, plain, 0) // Applies to later calls only.
				return test.first(c, r)
			}, pressure)
			f.setPriorities(3, ranked(4), 64)
			f.assertResponse(f.call(test.path), 200, test.want)
			f.Assert(f.priorities(), qt.DeepEquals, []string{"4", "4"})
		})
	}
}
