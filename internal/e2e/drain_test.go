package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/engine"
)

// markLeaving sets the state of an engine in the platform's VM list to leaving.
func (f *fleet) markLeaving(name string) {
	vm, err := json.Marshal(objects.VM{Name: name, Role: "target", FailureDomain: "a", State: objects.VMLeaving})
	f.Assert(err, qt.IsNil)
	f.Assert(f.sendForStatus("PUT", f.platform+"/v1/vms", string(vm)), qt.Equals, http.StatusOK)
}

// TestEngineDrainMovesPrefixCache drains an engine with a cached chat and a stream in progress.
// The stream must complete, and the next request of the chat must find its prefix in the cache
// of the other engine.
func TestEngineDrainMovesPrefixCache(t *testing.T) {
	f := newFleet(t)
	first := f.startChat(f.routers[0])
	first.readUntil(1000)
	f.Assert(first.complete, qt.IsTrue)
	_, from := first.engineRuns()
	inFlight := f.startChat(f.routers[1])
	inFlight.readUntil(3)

	to := ""
	for i, address := range f.engines {
		if address == from {
			f.markLeaving(fmt.Sprintf("engine-%d", i+1))
		} else {
			to = address
		}
	}
	f.waitFor("the engine is draining", func() bool {
		var load engine.Load
		f.getJSON(from, "/load", &load)
		return load.Draining
	})
	f.waitFor("the cached prefixes have moved to the other engine", func() bool {
		var cachedTokens map[string]int
		f.getJSON(to, "/kv", &cachedTokens)
		return len(cachedTokens) > 0
	})
	inFlight.readUntil(1000)
	f.Assert(inFlight.complete, qt.IsTrue)

	again := f.startChat(f.routers[0])
	again.readUntil(1000)
	f.Assert(again.complete, qt.IsTrue)
	var runs []engine.RunRecord
	f.getJSON(to, "/runs", &runs)
	last := runs[len(runs)-1]
	f.Assert(last.Usage.PromptTokensDetails.CachedTokens > 0, qt.IsTrue)
	_, at := again.engineRuns()
	f.Assert(at, qt.Equals, to)
}
